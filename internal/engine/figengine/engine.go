package figengine

import (
	"context"
	"encoding/json"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Engine talks to model engines of one protocol. All fields are set by the
// constructors and safe for concurrent use.
type Engine struct {
	// Prefill computes the KV cache of a prompt and returns where it is. It may
	// be repeated.
	Prefill func(ctx context.Context, server figview.Server, p *ModelRequest) (*PrefillResult, error)
	// Decode generates tokens. A nil result makes the server do its own prefill.
	// The stream's Answer is set if the engine answered with an error.
	Decode func(ctx context.Context, server figview.Server, p *ModelRequest, r *PrefillResult) (*figsend.Stream, error)
	// Load asks a server for its load.
	Load func(ctx context.Context, server figview.Server) (*Load, error)
	// Cancel ends the request called id on a server.
	Cancel func(ctx context.Context, server figview.Server, id string) error
	// Order gives a server an order under a fencing number. It is sent once.
	Order func(ctx context.Context, server figview.Server, o *Order) error
	// Events returns the changes of a server's prefix cache after a sequence number.
	Events func(ctx context.Context, server figview.Server, after uint64) (*Events, error)
	// Export asks a server for the transfer parameters of a request's KV cache.
	Export func(ctx context.Context, server figview.Server, id string) (*PrefillResult, error)
	// Import makes a server fetch a KV cache.
	Import func(ctx context.Context, server figview.Server, r *PrefillResult) error
}

// ModelRequest is one request for a model.
type ModelRequest struct {
	// ID is the request id.
	ID string
	// Path is the caller's path, such as /v1/chat/completions.
	Path string
	// Header holds the caller's header fields.
	Header []figsend.Header
	// Body is the caller's JSON. It is not changed.
	Body []byte
	// Secret is the caller's key, which must not reach a server.
	Secret string
	// Stream says that the caller wants a stream of events.
	Stream bool
	// MaxTokens bounds the output in tokens. Zero leaves what the body says.
	MaxTokens int
	// Priority is the engine's priority; a lower number goes first.
	Priority int
	// ResumeFrom is the number of tokens that were already given out. Zero
	// starts from the first.
	ResumeFrom int
	// Deadline ends the work on it.
	Deadline time.Time
}

// PrefillResult says where the KV cache of a prompt is.
type PrefillResult struct {
	// ID is the request id under which the engine holds it.
	ID string
	// Transfer holds the engine's transfer parameters as they came.
	Transfer json.RawMessage
	// PromptTokens is the length of the prompt in tokens, CachedTokens the part
	// that the engine found in its prefix cache.
	PromptTokens, CachedTokens int
}

// Load is a server's report of its load.
type Load struct {
	// StartedAt is when the engine's process started.
	StartedAt time.Time `json:"startedAt"`
	// AgeMillis is how old the report was when it was sent, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Running holds the requests that hold engine memory.
	Running []Running `json:"running"`
	// Waiting counts the requests in the engine's queue, QueueTokens their tokens.
	Waiting     int `json:"waiting"`
	QueueTokens int `json:"queueTokens"`
	// PiecesFree and PiecesTotal count pieces of engine memory.
	PiecesFree  int `json:"piecesFree"`
	PiecesTotal int `json:"piecesTotal"`
	// TokensPerSecond is the recent rate of the engine.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// LinkBytesPerSecond is the rate of its transfer link.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
	// Models and Adapters are the names of what is loaded.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// Running is one request that holds engine memory.
type Running struct {
	// ID is the request id.
	ID string `json:"id"`
	// Pieces is the engine memory that it holds, in pieces.
	Pieces int `json:"pieces"`
	// Tokens is how many tokens it has generated.
	Tokens int `json:"tokens"`
}

// Order is an order to a server.
type Order struct {
	// Fence is the fencing number of the owner who gives it.
	Fence uint64 `json:"fence"`
	// Kind is loadModel, unloadModel, loadAdapter, setVersion or setRole.
	Kind string `json:"kind"`
	// Name is the model, adapter, version or role.
	Name string `json:"name"`
}

// Events are changes of a server's prefix cache.
type Events struct {
	// Next is the sequence number to ask after.
	Next uint64 `json:"next"`
	// Gap says that changes were lost.
	Gap bool `json:"gap"`
	// Events holds the changes, oldest first.
	Events []Event `json:"events"`
}

// Event is one change of a prefix cache.
type Event struct {
	// Kind is stored or evicted.
	Kind string `json:"kind"`
	// Hash is the hash of the prompt prefix block.
	Hash uint64 `json:"hash"`
}
