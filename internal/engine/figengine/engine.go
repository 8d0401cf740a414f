package figengine

import (
	"context"
	"encoding/json"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Engine is the client for one engine protocol. The constructors set all fields. The functions are
// safe for concurrent use.
type Engine struct {
	// Prefill computes the KV cache of a prompt and returns where the cache is. It is safe to repeat.
	Prefill func(ctx context.Context, server figview.Server, p *ModelRequest) (*PrefillResult, error)
	// Decode generates tokens. r is the result of the prefill; with nil, the server computes the
	// prefill itself. If the engine answers with an error status, Decode returns no error but a stream
	// whose Answer is set, except that an expired prefill result is an error of the kind KindRefused.
	Decode func(ctx context.Context, server figview.Server, p *ModelRequest, r *PrefillResult) (*figsend.Stream, error)
	// Load returns the server's load report.
	Load func(ctx context.Context, server figview.Server) (*Load, error)
	// Cancel ends the request with the given id on the server.
	Cancel func(ctx context.Context, server figview.Server, id string) error
	// SendOrder sends an order, with a fencing number, to the server. It doesn't retry, because orders
	// are not idempotent.
	SendOrder func(ctx context.Context, server figview.Server, o *Order) error
	// Events returns the changes of the server's prefix cache after the given sequence number.
	Events func(ctx context.Context, server figview.Server, after uint64) (*Events, error)
	// Export returns the transfer parameters for the KV cache of the request with the given id.
	Export func(ctx context.Context, server figview.Server, id string) (*PrefillResult, error)
	// Import makes the server fetch the KV cache that r describes.
	Import func(ctx context.Context, server figview.Server, r *PrefillResult) error
}

// ModelRequest is one caller's request to a model.
type ModelRequest struct {
	// ID is the request id.
	ID string
	// Path is the path of the caller's request, such as /v1/chat/completions.
	Path string
	// Header holds the caller's header fields to forward.
	Header []figsend.Header
	// Body is the caller's JSON body. It is not modified.
	Body []byte
	// Secret is the caller's key. A request whose content contains it is not sent.
	Secret string
	// Stream says whether the caller wants a stream of events.
	Stream bool
	// MaxTokens is the maximum length of the output in tokens. Zero keeps the limit of the body.
	MaxTokens int
	// Priority is the priority on the engine, which serves lower numbers first.
	Priority int
	// ResumeFrom is the number of tokens that the caller has already received; the engine continues
	// after them. Zero starts at the beginning.
	ResumeFrom int
	// Deadline is when calls for this request are cancelled. Zero means no deadline.
	Deadline time.Time
}

// PrefillResult describes where the KV cache of a prompt is.
type PrefillResult struct {
	// ID is the id of the request under which the engine keeps the KV cache.
	ID string
	// Transfer holds the engine's transfer parameters, unmodified.
	Transfer json.RawMessage
	// PromptTokens is the length of the prompt in tokens, CachedTokens the part of it that the engine
	// found in its prefix cache.
	PromptTokens, CachedTokens int
}

// Load is a server's load report.
type Load struct {
	// StartedAt is when the engine process started.
	StartedAt time.Time `json:"startedAt"`
	// AgeMillis is the age of the report when the server sent it, in milliseconds.
	AgeMillis int64 `json:"ageMillis"`
	// Running lists the requests that occupy engine memory.
	Running []Running `json:"running"`
	// Waiting is the number of requests in the engine's queue, QueueTokens the sum of their tokens.
	Waiting     int `json:"waiting"`
	QueueTokens int `json:"queueTokens"`
	// PiecesFree and PiecesTotal are the free and the total number of pieces of engine memory.
	PiecesFree  int `json:"piecesFree"`
	PiecesTotal int `json:"piecesTotal"`
	// TokensPerSecond is the engine's recent rate of tokens.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// LinkBytesPerSecond is the transfer rate of the server's link for KV caches.
	LinkBytesPerSecond float64 `json:"linkBytesPerSecond"`
	// Models and Adapters are the names of the loaded models and adapters.
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	// Fence is the highest fencing number that the engine has seen.
	Fence uint64 `json:"fence"`
}

// Running is a request that occupies engine memory.
type Running struct {
	// ID is the request id.
	ID string `json:"id"`
	// Pieces is the number of pieces of engine memory that the request occupies.
	Pieces int `json:"pieces"`
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
}

// Order is a control order to a server.
type Order struct {
	// Fence is the fencing number of the owner that sends the order.
	Fence uint64 `json:"fence"`
	// Kind is one of loadModel, unloadModel, loadAdapter, setVersion and setRole.
	Kind string `json:"kind"`
	// Name is the name of the model, adapter, version or role.
	Name string `json:"name"`
}

// Events holds changes of a server's prefix cache.
type Events struct {
	// Next is the sequence number for the next call.
	Next uint64 `json:"next"`
	// Gap says whether changes are missing, because the server no longer had them.
	Gap bool `json:"gap"`
	// Events lists the changes, oldest first.
	Events []Event `json:"events"`
}

// Event is one change of a server's prefix cache.
type Event struct {
	// Kind is stored or evicted.
	Kind string `json:"kind"`
	// Hash is the hash of the block of a prompt prefix.
	Hash uint64 `json:"hash"`
}
