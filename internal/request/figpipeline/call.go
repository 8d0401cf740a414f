package figpipeline

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Call is one caller's request after the front end has parsed and checked it. It shares no memory with
// the connection that it came from.
type Call struct {
	// ID is the request id, unique in the fleet.
	ID string
	// Arrived is when the request was read.
	Arrived time.Time
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Account is the client account that the caller's key belongs to; nil on routes without a key.
	Account *figtree.Account
	// Secret is the key as the caller sent it. It must not be sent to backend servers or logged.
	Secret string
	// KeyID is the public part of the key; empty without a key.
	KeyID string
	// Pool is the pool of backend servers that serves the request.
	Pool *figtree.Pool
	// Method and Path are as the caller sent them. Path includes the query.
	Method, Path string
	// Header holds the header fields to forward to a backend server, without the key.
	Header []figsend.Header
	// Body is the body as the caller sent it.
	Body []byte
	// Model holds the parameters of a model request; nil on plain routes.
	Model *ModelCall
	// Idempotent says whether the call may be sent again after a failure.
	Idempotent bool
}

// ModelCall holds the parameters of a model request that the router uses.
type ModelCall struct {
	// Name is the model, as the caller named it.
	Name string
	// Stream says whether the caller wants server-sent events.
	Stream bool
	// IncludeUsage says whether the caller wants an event with the token usage at the end of the
	// stream.
	IncludeUsage bool
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int64
	// OutputTokens is the maximum length of the answer, in tokens.
	OutputTokens int64
	// PrefixHashes holds the hashes of the prompt's leading blocks.
	PrefixHashes []uint64
}

// ResponseWriter writes the answer to the caller. The pipeline calls either SendError once and nothing
// else, or Begin once, which for a stream is followed by calls of Write and one of End.
type ResponseWriter struct {
	// Begin sends the status, the header and, unless whole is nil, the complete body. With nil, a
	// stream begins.
	Begin func(status int, header []figsend.Header, whole []byte)
	// Write sends a part of a stream. It waits for a slow caller for a limited time only, and returns
	// an error when the caller is too slow (ErrSlowCaller) or has closed the connection.
	Write func(ctx context.Context, part []byte) error
	// End closes a stream. cut is nil if the stream is complete, and otherwise says how the request
	// ended.
	End func(cut *figlifecycle.Result)
	// SendError sends the error of a request that ended before its answer began.
	SendError func(r *figlifecycle.Result)
}

// estimatedCost returns the tokens to reserve at admission: the prompt plus the maximum output of a
// model request, or the pool's fixed cost of a plain call, at least 1.
func (q *Call) estimatedCost() int64 {
	if q.Model == nil {
		return max(q.Pool.CallCost, 1)
	}
	return q.Model.PromptTokens + q.Model.OutputTokens
}
