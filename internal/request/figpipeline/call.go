package figpipeline

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Call is one caller's request after the front end has read and checked it.
// Nothing in it is shared with the connection it came from.
type Call struct {
	// ID is the request id, unique in the fleet.
	ID string
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the caller no longer wants an answer.
	Deadline time.Time
	// Account is the client account whose key came with it; nil on open routes.
	Account *figtree.Account
	// Secret is the key as the caller sent it; it never leaves the instance.
	Secret string
	// KeyID is the public part of that key.
	KeyID string
	// Pool serves the request.
	Pool *figtree.Pool
	// Method and Path, with the query, as the caller sent them.
	Method, Path string
	// Header holds what may go on to a backend server, without the key.
	Header []figsend.Header
	// Body is the caller's body.
	Body []byte
	// Model holds what a model request says of itself; nil on plain routes.
	Model *ModelCall
	// Idempotent calls may be sent again after a failure.
	Idempotent bool
}

// ModelCall is the part of a model request that the router acts on.
type ModelCall struct {
	// Name is the model, as the caller named it.
	Name string
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// Usage says whether the caller wants the usage as a last event.
	Usage bool
	// PromptTokens is the estimate for the prompt, in tokens.
	PromptTokens int64
	// OutputTokens is the most that the answer may have, in tokens.
	OutputTokens int64
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
}

// Reply is where the answer goes. The flow calls Begin at most once, then Write
// any number of times, then End once. Refuse stands for all three.
type Reply struct {
	// Begin sends the status and header. Whole is the body, or nil for a stream.
	Begin func(status int, header []figsend.Header, whole []byte)
	// Write hands on a part of a stream. It waits for a slow caller only so long
	// and returns an error when the caller is too slow or has gone.
	Write func(ctx context.Context, part []byte) error
	// End closes a stream; a nil body means that it is whole.
	End func(cut *figlifecycle.Result)
	// Refuse answers with an error instead of an answer.
	Refuse func(r *figlifecycle.Result)
}

// estimatedCost returns what is charged when the call is admitted, in tokens.
func (q *Call) estimatedCost() int64 {
	if q.Model == nil {
		return max(q.Pool.CallCost, 1)
	}
	return q.Model.PromptTokens + q.Model.OutputTokens
}
