package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

// place waits for the request's turn and for room.
func (x *activeRequest) place(ctx context.Context) (*figplace.Placement, bool) {
	x.lifecycle.Advance(figlifecycle.Queued)
	var p *figplace.Placement
	var refused error
	avoid := x.excludedServers
	item := figqueue.Item{
		Account:  x.accountID(),
		Weight:   x.weight(),
		Priority: x.priority(),
		Tokens:   x.estimatedCost(),
		Bytes:    int64(len(x.Body)),
		Deadline: x.placementDeadline(),
		Place: func(ctx context.Context) figqueue.Verdict {
			p, refused = x.Place(ctx, x.placeRequest(avoid))
			if refused != nil && len(avoid) > 0 {
				// Rather a server that has failed before than none at all.
				avoid = avoid[1:]
			}
			return placeVerdict(refused)
		},
	}
	if err := x.Queue(x.Pool.ID).Do(ctx, item); err != nil {
		x.lifecycle.End(x.queueCause(err, refused))
		return nil, false
	}
	if !x.lifecycle.Hold("placement", func() { x.releasePlacement(p) }) {
		return nil, false
	}
	return p, x.lifecycle.Advance(figlifecycle.Placed)
}

// releasePlacement gives up a placement. A decode that was not read to its end may still run
// on the server for a while.
func (x *activeRequest) releasePlacement(p *figplace.Placement) {
	if x.decodeMayRun.Swap(false) {
		p.Abandon()
	}
	p.Release()
}

func (x *activeRequest) placeRequest(avoid []string) figplace.Request {
	r := figplace.Request{
		ID:       x.ID,
		Pool:     x.Pool.ID,
		Arrived:  x.Arrived,
		Deadline: x.Deadline,
		Avoid:    avoid,
	}
	if x.triedBefore() {
		r.Arrived = time.Time{} // late is better than never
	}
	if x.Model != nil {
		r.Model = x.Model.Name
		r.PromptTokens = x.Model.PromptTokens
		r.OutputTokens = x.Model.OutputTokens
		r.Prefix = x.Model.Prefix
	}
	return r
}

func (x *activeRequest) accountID() string {
	if x.Account == nil {
		return ""
	}
	return x.Account.ID
}

func (x *activeRequest) weight() int64 {
	if x.Account == nil {
		return 1
	}
	return x.Account.Weight
}

func (x *activeRequest) priority() int {
	if x.Account == nil {
		return 0
	}
	return x.Account.Priority
}

// placementDeadline returns when the request must have been placed: a first token after
// its target is worth nothing, so that room goes to those that can still meet it.
func (x *activeRequest) placementDeadline() time.Time {
	if x.Model == nil || x.triedBefore() || x.Pool.FirstToken <= 0 {
		return x.Deadline
	}
	if by := x.Arrived.Add(x.Pool.FirstToken); by.Before(x.Deadline) {
		return by
	}
	return x.Deadline
}

// triedBefore says that servers have worked on the request already: what was spent on
// it is not thrown away because it is late.
func (x *activeRequest) triedBefore() bool { return x.streaming || len(x.excludedServers) > 0 }

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
func (x *activeRequest) queueCause(err, refused error) figlifecycle.Cause {
	c := figlifecycle.Cause{Reason: figlifecycle.QueueFull, Err: err}
	var r *figqueue.Refusal
	if errors.As(err, &r) {
		c.RetryAfter = r.RetryAfter
	}
	var none *figplace.NoServer
	var full *figplace.NoRoom
	switch {
	case errors.As(refused, &none):
		c.Reason = figlifecycle.NoServer
		c.Err = refused
	case !x.Clock.Now().Before(x.Deadline):
		c.Reason = figlifecycle.Deadline
	case errors.As(refused, &full):
		c.RetryAfter = max(c.RetryAfter, full.RetryAfter)
	}
	return c
}
