package figowner

import "time"

// Report is a load report of a backend server.
type Report struct {
	// StartedAt is the start time of the server process, by the server's clock.
	StartedAt time.Time
	// Age is the age of the report when the server sent it.
	Age time.Duration
	// Running holds the requests that occupy memory.
	Running []Running
	// Waiting is the number of queued requests, which occupy no memory yet.
	Waiting int
	// QueueTokens is the unfinished prefill work, in tokens.
	QueueTokens int64
	// PiecesFree and PiecesTotal are the server's free and total KV cache memory, in pieces.
	PiecesFree, PiecesTotal int64
	// TokensPerSecond is the server's recent speed.
	TokensPerSecond float64
	// LinkBytesPerSecond is the rate of the server's transfer link, or zero if unknown.
	LinkBytesPerSecond float64
	// Models and Adapters are the names of the loaded models and adapters.
	Models, Adapters []string
	// Fence is the highest fencing number that the server has accepted.
	Fence uint64
}

// Running is one request that occupies memory on the server.
type Running struct {
	// ID is the request's ID.
	ID string
	// Pieces is the number of pieces that the request occupies.
	Pieces int64
	// Tokens is the number of tokens generated so far.
	Tokens int64
}

// Order is a management order to a backend server.
type Order struct {
	// Fence is the fencing number.
	Fence uint64
	// Kind is the name of the order in the engine protocol.
	Kind OrderKind
	// Name is the name of the model, adapter, version or role that the order refers to.
	Name string
}

// OrderKind is the kind of an order.
type OrderKind string

const (
	// LoadModel loads a model.
	LoadModel OrderKind = "loadModel"
	// UnloadModel unloads a model.
	UnloadModel OrderKind = "unloadModel"
	// LoadAdapter loads an adapter.
	LoadAdapter OrderKind = "loadAdapter"
	// SetVersion changes the version of a model.
	SetVersion OrderKind = "setVersion"
	// SetRole changes the server's role.
	SetRole OrderKind = "setRole"
)

// repeatable returns whether an order may safely be applied twice and in any sequence with other
// orders of its kind.
func (k OrderKind) repeatable() bool { return k == LoadModel || k == LoadAdapter }
