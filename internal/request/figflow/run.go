package figflow

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlife"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// triesLimit bounds the tries of one request, whatever the retry budget allows.
const triesLimit = 4

// run is one request on its way.
type run struct {
	*Flow
	*Call

	reply *Reply
	life  *figlife.Life
	// prefilled counts the prompt tokens that prefill servers computed for it, in
	// all tries.
	prefilled int64
	// streaming says that the answer began as a stream.
	streaming bool
	avoid     []string

	// sent says that a server may have worked on the request.
	sent                       atomic.Bool
	promptTokens, outputTokens atomic.Int64
	firstToken, lastToken      time.Time
}

// verdict is what became of one try.
type verdict uint8

const (
	// ended means that the request has its outcome.
	ended verdict = iota
	// again means that it may be tried on other servers.
	again
)

// admit reserves the cost of the call. The reservation is settled on what was
// used when the request ends, however it ends.
func (x *run) admit(ctx context.Context) bool {
	if x.Account == nil {
		return x.life.Advance(figlife.Admitted)
	}
	res, err := x.Reserve(ctx, x.Account.ID, x.cost())
	if err != nil {
		x.life.End(budgetCause(err))
		return false
	}
	x.life.Hold("budget", func() { res.Settle(x.used()) })
	return x.life.Advance(figlife.Admitted)
}

func budgetCause(err error) figlife.Cause {
	var r *figbudget.Refusal
	if !errors.As(err, &r) {
		return figlife.CauseOf(figlife.OverBudget, err)
	}
	reason := figlife.OverBudget
	if r.Reason == figbudget.AboveBurst {
		reason = figlife.OverBurst
	}
	return figlife.Cause{Reason: reason, Err: err, RetryAfter: r.RetryAfter}
}

// used returns what the request is charged in the end: nothing if no server can
// have worked on it, else the prompt and the tokens that were generated.
func (x *run) used() int64 {
	if !x.sent.Load() {
		return 0
	}
	if x.Model == nil {
		return x.cost()
	}
	prompt := x.promptTokens.Load()
	if prompt == 0 {
		prompt = x.Model.PromptTokens
	}
	return prompt + x.outputTokens.Load()
}

// serve places the request and tries it, again on other servers as long as the
// retry budget and the deadline allow.
func (x *run) serve(ctx context.Context, try func(context.Context, *figplace.Placement) (verdict, error)) {
	for n := 1; ; n++ {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		v, err := try(ctx, p)
		x.life.Release("placement")
		if v == ended {
			x.Retries.Success(x.Clock.Now())
			return
		}
		if n == triesLimit || !x.Retries.Take(x.Clock.Now()) {
			x.life.End(figlife.CauseOf(failureReason(err), err))
			return
		}
		if x.Timer.Sleep(ctx, x.Backoff.Delay(n-1)) != nil {
			return
		}
	}
}

// place waits for the request's turn and for room.
func (x *run) place(ctx context.Context) (*figplace.Placement, bool) {
	x.life.Advance(figlife.Queued)
	var p *figplace.Placement
	var refused error
	item := figqueue.Item{
		Account:  x.accountID(),
		Weight:   x.weight(),
		Priority: x.priority(),
		Tokens:   x.cost(),
		Bytes:    int64(len(x.Body)),
		Deadline: x.placeBy(),
		Place: func(ctx context.Context) figqueue.Verdict {
			p, refused = x.Place(ctx, x.placeRequest())
			return placeVerdict(refused)
		},
	}
	if err := x.Queue(x.Pool.ID).Do(ctx, item); err != nil {
		x.life.End(x.queueCause(err, refused))
		return nil, false
	}
	if !x.life.Hold("placement", p.Release) {
		return nil, false
	}
	return p, x.life.Advance(figlife.Placed)
}

func (x *run) placeRequest() figplace.Request {
	r := figplace.Request{
		ID:       x.ID,
		Pool:     x.Pool.ID,
		Arrived:  x.Arrived,
		Deadline: x.Deadline,
		Avoid:    x.avoid,
	}
	if x.Model != nil {
		r.Model = x.Model.Name
		r.PromptTokens = x.Model.PromptTokens
		r.OutputTokens = x.Model.OutputTokens
		r.Prefix = x.Model.Prefix
	}
	return r
}

func (x *run) accountID() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.ID
}

func (x *run) weight() int64 {
	if x.Account == nil {
		return 1
	}
	return x.Account.Weight
}

func (x *run) priority() int {
	if x.Account == nil {
		return 0
	}
	return x.Account.Priority
}

// placeBy returns when the request must have been placed: a first token after
// its target is worth nothing, so that room goes to those that can still meet it.
func (x *run) placeBy() time.Time {
	if x.Model == nil || x.Pool.FirstToken <= 0 {
		return x.Deadline
	}
	if by := x.Arrived.Add(x.Pool.FirstToken); by.Before(x.Deadline) {
		return by
	}
	return x.Deadline
}

func placeVerdict(err error) figqueue.Verdict {
	var none *figplace.NoServer
	var full *figplace.NoRoom
	switch {
	case err == nil:
		return figqueue.Placed
	case errors.As(err, &none), errors.As(err, &full) && full.TooLate:
		return figqueue.Rejected
	default:
		return figqueue.NoRoom
	}
}

// queueCause says why the queue refused the request; refused is what the last try
// to place it ended with. A request that would be too late before its own
// deadline is refused for want of room.
func (x *run) queueCause(err, refused error) figlife.Cause {
	c := figlife.Cause{Reason: figlife.QueueFull, Err: err}
	var r *figqueue.Refusal
	if errors.As(err, &r) {
		c.RetryAfter = r.RetryAfter
	}
	var none *figplace.NoServer
	var full *figplace.NoRoom
	switch {
	case errors.As(refused, &none):
		c.Reason = figlife.NoServer
		c.Err = refused
	case !x.Clock.Now().Before(x.Deadline):
		c.Reason = figlife.Deadline
	case errors.As(refused, &full):
		c.RetryAfter = max(c.RetryAfter, full.RetryAfter)
	}
	return c
}

// failed tells the placement of a server's failure and says whether the request
// may be tried again. A server is avoided in the next try.
func (x *run) failed(p *figplace.Placement, server string, err error) (verdict, error) {
	p.Fail(server, evidenceOf(err))
	x.avoid = append(x.avoid, server)
	if x.Idempotent || figsend.RanOf(err) == figsend.NotRun && figsend.KindOf(err) != figsend.KindRefused {
		return again, err
	}
	x.life.End(figlife.CauseOf(failureReason(err), err))
	return ended, err
}

func failureReason(err error) figlife.Reason {
	switch figsend.KindOf(err) {
	case figsend.KindTooLarge:
		return figlife.TooLarge
	case figsend.KindInvalid:
		return figlife.BadRequest
	case figsend.KindDeadline:
		return figlife.Deadline
	default:
		return figlife.ServerFailed
	}
}

// evidenceOf says what a failed send shows of the server.
func evidenceOf(err error) figplace.Evidence {
	switch figsend.KindOf(err) {
	case figsend.KindConnect, figsend.KindSilent:
		return figowner.Unreachable
	case figsend.KindStalled, figsend.KindCut:
		return figowner.Stalled
	case figsend.KindRefused:
		return figowner.Refused
	case figsend.KindInvalid, figsend.KindCancelled, figsend.KindDeadline, figsend.KindTooLarge:
		return figowner.CallerError
	default:
		return figowner.ServerError
	}
}
