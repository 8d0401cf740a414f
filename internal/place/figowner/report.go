package figowner

import "time"

// Report is what a backend server says of itself.
type Report struct {
	// StartedAt is when its process started, by its own clock.
	StartedAt time.Time
	// Age is how old the report was when the server sent it.
	Age time.Duration
	// Running holds the requests that hold engine memory.
	Running []Running
	// Waiting is the number of requests that hold none yet.
	Waiting int
	// QueueTokens is the prefill work that isn't done.
	QueueTokens int64
	// PiecesFree and PiecesTotal are its engine memory.
	PiecesFree, PiecesTotal int64
	// TokensPerSecond is its speed of late.
	TokensPerSecond float64
	// LinkBytesPerSecond is the rate of its transfer link.
	LinkBytesPerSecond float64
	// Models and Adapters hold what is resident.
	Models, Adapters []string
	// Fence is the highest fencing number that it has accepted.
	Fence uint64
}

// Running is one request that holds engine memory.
type Running struct {
	// ID is the request's ID.
	ID string
	// Pieces is the memory it holds.
	Pieces int64
	// Tokens is the number of tokens generated so far.
	Tokens int64
}

// Order is one order to a backend server.
type Order struct {
	// Fence is the fencing number.
	Fence uint64
	// Kind is the order's name in the engine protocol.
	Kind OrderKind
	// Name is the model, adapter, version or role.
	Name string
}

// OrderKind names an order.
type OrderKind string

const (
	// LoadModel makes a model resident.
	LoadModel OrderKind = "loadModel"
	// UnloadModel drops a model.
	UnloadModel OrderKind = "unloadModel"
	// LoadAdapter makes an adapter resident.
	LoadAdapter OrderKind = "loadAdapter"
	// SetVersion changes the version of a model.
	SetVersion OrderKind = "setVersion"
	// SetRole changes the server's role.
	SetRole OrderKind = "setRole"
)

// repeatable says whether an order given twice, in whatever order with others of
// its kind, does no harm.
func (k OrderKind) repeatable() bool { return k == LoadModel || k == LoadAdapter }
