// Package figpipeline takes one request from admission to its outcome: it reserves
// the client account's tokens, waits its turn, places the request on backend
// servers, sends it, and relays the answer. What it decides is decided in other
// packages; this one joins them, so that each stage is one short file.
//
// # Usage
//
//	f := &figpipeline.Flow{
//		Clock:   clock,
//		Reserve: budget.Reserve,
//		Queue:   queues.Of,
//		Place:   placer.Place,
//		Engine:  figengine.OpenAI(sender),
//		…
//	}
//	f.Run(ctx, call, reply)
//
// The stages of a model request are admit, queue, place, prefill, transfer and
// decode; those of a plain call are admit, queue, place and call. A request that
// may be repeated goes back to the queue when a server fails before the answer
// has begun, within the retry budget and the caller's deadline.
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

// ErrCallerLeft is the cause of a context that ends because the caller has gone.
var ErrCallerLeft = errors.New("the caller has left")

// Flow holds what the stages of a request need. All fields are required.
type Flow struct {
	// Clock and Timer give the time and waits.
	Clock figtimer.Clock
	Timer *figtimer.Timer
	// Reserve takes tokens from a client account's budget.
	Reserve func(ctx context.Context, account string, tokens int64) (*figbudget.Reservation, error)
	// Queue returns the queue of a pool.
	Queue func(pool string) *figqueue.Queue
	// Place chooses backend servers and reserves room on them.
	Place func(ctx context.Context, r figplace.Request) (*figplace.Placement, error)
	// Engine talks to model engines.
	Engine figengine.Engine
	// Sender talks to plain services.
	Sender *figsend.Sender
	// Sessions knows the running requests of each key.
	Sessions *figkey.Sessions
	// Retries bounds the retries of the instance.
	Retries *figsend.RetryBudget
	// Backoff gives the wait before a retry.
	Backoff figtimer.Backoff
	// AnswerLimit bounds the answer of a plain service, in bytes.
	AnswerLimit int64
	// Ended is told of every request that has ended.
	Ended func(figmetric.Request)
}

// Run answers one call and returns when it has its outcome. The reply is used
// on this goroutine only. ctx ends when the caller leaves, with ErrCallerLeft as
// its cause, or when the instance ends.
func (f *Flow) Run(ctx context.Context, q *Call, r *Reply) {
	life, inner := figlifecycle.New(ctx, figlifecycle.Options{ID: q.ID, Idempotent: q.Idempotent})
	x := &activeRequest{Flow: f, Call: q, reply: r, lifecycle: life}
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
	// A stage that returns because a context ended may be here before its function.
	defer endWith(deadline)
	defer endWith(ctx)
	if q.KeyID != "" {
		life.Hold("key", f.Sessions.Add(q.KeyID, func(err error) {
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

// contextCause says how a request ends whose context has ended, and false if it has
// not or if the request itself ended it.
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

// finish gives the caller the end of its answer and reports the request. It waits
// for the releases, which may run on another goroutine.
func (x *activeRequest) finish() {
	x.lifecycle.End(figlifecycle.CauseOf(figlifecycle.Internal, errors.New("no stage ended the request")))
	<-x.lifecycle.Done()
	res, _ := x.lifecycle.Result()
	if r, ok := x.lifecycle.Reply(); ok {
		x.reply.Refuse(&r)
	} else if x.streaming {
		x.endStream(&res)
	}
	x.Ended(x.requestMetrics(&res))
	x.log(&res)
}

func (x *activeRequest) endStream(r *figlifecycle.Result) {
	if r.Outcome == figlifecycle.Answered {
		x.reply.End(nil)
		return
	}
	x.reply.End(r)
}

// requestMetrics sums the request up for metrics.
func (x *activeRequest) requestMetrics(r *figlifecycle.Result) figmetric.Request {
	m := figmetric.Request{
		Outcome: r.Outcome.String(),
		Reason:  r.Reason.String(),
		Took:    x.Clock.Now().Sub(x.Arrived),
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

// log writes one line for a request that did not end well. Keys and prompts are
// never in it.
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
