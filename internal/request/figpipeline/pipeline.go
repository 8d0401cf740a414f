// Package figpipeline runs one request through all stages, from admission to its outcome: it
// reserves tokens of the client account's budget, waits in the pool's queue, reserves capacity on
// backend servers, sends the request to them and relays the answer to the caller. The policies
// (budget, queueing, placement, retries) are in other packages, which Pipeline calls.
//
// # Usage
//
//	p := &figpipeline.Pipeline{
//		Clock:   clock,
//		Reserve: budget.Reserve,
//		Queue:   queues.Of,
//		Place:   placer.Place,
//		Engine:  figengine.OpenAI(sender),
//		…
//	}
//	p.Run(ctx, call, reply)
//
// The stages of a model request are admit, queue, place, prefill, transfer and
// decode; those of a plain call are admit, queue, place and call. When a server fails before the
// answer has begun, a request that is safe to repeat is queued and placed again, as long as the
// retry budget and the caller's deadline allow. In pools with Resume, this also holds for a stream
// that has begun: another engine continues it.
package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/engine/figengine"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// ErrCallerLeft is the cause (see context.Cause) of the context given to Run when the caller has
// closed the connection.
var ErrCallerLeft = errors.New("the caller closed the connection")

// Pipeline holds the dependencies that all requests share. All fields are required. It is safe for
// concurrent use if they are.
type Pipeline struct {
	// Clock gives the current time, Timer runs waits and timeouts.
	Clock figtimer.Clock
	Timer *figtimer.Timer
	// Reserve reserves tokens of a client account's budget. It returns a *figbudget.Refusal if it
	// can't.
	Reserve func(ctx context.Context, account string, tokens int64) (*figbudget.Reservation, error)
	// Queue returns the queue of the pool with the given id.
	Queue func(pool string) *figqueue.Queue
	// Place chooses backend servers for a request and reserves capacity on them.
	Place func(ctx context.Context, r figplace.Request) (*figplace.Placement, error)
	// Engine sends requests to model engines.
	Engine figengine.Engine
	// Sender sends requests to plain services.
	Sender *figsend.Sender
	// RunningRequests tracks the running requests of each API key, to end them when the key is
	// withdrawn.
	RunningRequests *figkey.RunningRequests
	// Retries is the retry budget that all requests of this instance share.
	Retries *figsend.RetryBudget
	// Backoff returns the delay before a retry.
	Backoff figtimer.Backoff
	// MaxBodyBytes is the maximum size of a plain service's answer, in bytes.
	MaxBodyBytes int64
	// Hold reserves memory for a part of an answer that is collected, and waits for room until ctx ends. It is released when
	// the request has ended.
	Hold func(ctx context.Context, bytes int64) error
	// OnRequestEnd is called once for each request, after its end, with its metrics.
	OnRequestEnd func(figmetric.Request)
}

// Run processes one call and returns after the request has ended and its resources are released. It
// calls the functions of r on the calling goroutine only. ctx must be cancelled when the caller closes
// the connection, with ErrCallerLeft as its cause, or when the instance shuts down.
func (f *Pipeline) Run(ctx context.Context, q *Call, r *ResponseWriter) {
	life, inner := figlifecycle.New(ctx, figlifecycle.Options{ID: q.ID, Idempotent: q.Idempotent})
	x := &activeRequest{Pipeline: f, Call: q, reply: r, lifecycle: life}
	defer x.finish()
	defer life.Recover()
	endWith := func(ctx context.Context) {
		if c, ok := contextCause(ctx); ok {
			life.End(c)
		}
	}
	defer context.AfterFunc(ctx, func() { endWith(ctx) })()
	deadline, cancel := context.WithDeadline(inner, q.Deadline)
	defer cancel()
	defer context.AfterFunc(deadline, func() { endWith(deadline) })()
	// A stage that returns because a context was cancelled may get here before the functions of
	// context.AfterFunc have run. Without these calls, finish would then record Internal as the reason.
	defer endWith(deadline)
	defer endWith(ctx)
	if q.KeyID != "" {
		life.RegisterRelease("key", f.RunningRequests.Add(q.KeyID, func(err error) {
			life.End(figlifecycle.CauseOf(figlifecycle.KeyWithdrawn, err))
		}))
	}
	if !x.admit(deadline) {
		return
	}
	if q.Model != nil {
		x.runAttempts(deadline, x.tryModel)
		return
	}
	x.runAttempts(deadline, x.tryPlain)
}

// contextCause returns the cause with which a request ends when ctx has ended. It returns false if ctx
// has not ended. If ctx ended because the request did, the cause has no effect: the first call of
// Lifecycle.End decides.
func contextCause(ctx context.Context) (figlifecycle.Cause, bool) {
	switch {
	case ctx.Err() == nil:
		return figlifecycle.Cause{}, false
	case errors.Is(context.Cause(ctx), ErrCallerLeft):
		return figlifecycle.Cause{Reason: figlifecycle.CallerGone}, true
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return figlifecycle.Cause{Reason: figlifecycle.Deadline}, true
	default:
		return figlifecycle.Cause{Reason: figlifecycle.Draining}, true
	}
}

// finish ends the request if no stage has, completes the answer or sends the error, and reports the
// request to metrics and the log. It first waits for the registered releases, which may run on another
// goroutine.
func (x *activeRequest) finish() {
	x.lifecycle.End(figlifecycle.CauseOf(figlifecycle.Internal, errors.New("no stage ended the request")))
	<-x.lifecycle.Done()
	res, _ := x.lifecycle.Result()
	if r, ok := x.lifecycle.ClaimError(); ok {
		x.reply.SendError(&r)
	} else if x.streaming {
		x.endStream(&res)
	}
	x.OnRequestEnd(x.requestMetrics(&res))
	x.log(&res)
}

// endStream closes the stream to the caller, as complete only if the request was answered.
func (x *activeRequest) endStream(r *figlifecycle.Result) {
	if r.Outcome == figlifecycle.Answered {
		x.reply.End(nil)
		return
	}
	x.reply.End(r)
}

// requestMetrics returns the metrics of the ended request. Wasted tokens are prefill tokens that led
// to no first token, or that exceed the length of the prompt because the prefill was repeated.
func (x *activeRequest) requestMetrics(r *figlifecycle.Result) figmetric.Request {
	m := figmetric.Request{
		Outcome:  r.Outcome.String(),
		Reason:   r.Reason.String(),
		Duration: x.Clock.Now().Sub(x.Arrived),
	}
	if x.Account != nil {
		m.Account = x.Account.ID
		m.Class = x.Account.Class
	}
	if x.Model == nil {
		return m
	}
	m.PromptTokens = x.promptTokens.Load()
	m.OutputTokens = x.outputTokens.Load()
	m.PrefillTokens = x.prefillTokens
	if x.firstToken.IsZero() {
		m.WastedTokens = x.prefillTokens
		return m
	}
	m.WastedTokens = max(0, x.prefillTokens-m.PromptTokens)
	m.FirstToken = x.firstToken.Sub(x.Arrived)
	if n := m.OutputTokens - 1; n > 0 {
		m.BetweenTokens = x.lastToken.Sub(x.firstToken) / time.Duration(n)
	}
	return m
}

// log writes one line for a request that was not answered. The line must never contain keys or
// prompts.
func (x *activeRequest) log(r *figlifecycle.Result) {
	if r.Outcome == figlifecycle.Answered {
		return
	}
	account := ""
	if x.Account != nil {
		account = x.Account.ID
	}
	klog.InfoS("request ended", "requestId", x.ID, "account", account, "outcome", r.Outcome,
		"reason", r.Reason, "step", r.Step(), "sends", r.Sends, "err", r.Err)
}
