package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

// place waits in the pool's queue until the request is placed on servers. It returns false if the
// request has ended.
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
		Place: func(ctx context.Context) figqueue.PlaceResult {
			p, refused = x.Place(ctx, x.placeRequest(avoid))
			if refused != nil && len(avoid) > 0 {
				// Placement on a server that failed before is better than none, so the next try may use it.
				avoid = avoid[1:]
			}
			return placeVerdict(refused)
		},
	}
	if err := x.Queue(x.Pool.ID).Do(ctx, item); err != nil {
		x.lifecycle.End(x.queueCause(err, refused))
		return nil, false
	}
	if !x.lifecycle.RegisterRelease("placement", func() { x.releasePlacement(p) }) {
		return nil, false
	}
	return p, x.lifecycle.Advance(figlifecycle.Placed)
}

// releasePlacement releases the reserved capacity. If the decode stream was not read to its end, the
// placement is marked as abandoned first, because the server may still be working on the request.
func (x *activeRequest) releasePlacement(p *figplace.Placement) {
	if x.decodeMayRun.Swap(false) {
		p.MarkAbandoned()
	}
	p.Release()
}

// placeRequest returns the request for Place. The servers in avoid are excluded.
func (x *activeRequest) placeRequest(avoid []string) figplace.Request {
	r := figplace.Request{
		ID:              x.ID,
		Pool:            x.Pool.ID,
		Arrived:         x.Arrived,
		Deadline:        x.Deadline,
		ExcludedServers: avoid,
	}
	if x.triedBefore() {
		r.Arrived = time.Time{} // no waiting time, so that Place does not refuse it as too late
	}
	if x.Model != nil {
		r.Model = x.Model.Name
		r.PromptTokens = x.Model.PromptTokens
		r.OutputTokens = x.Model.OutputTokens
		r.Prefix = x.Model.PrefixHashes
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

// placementDeadline returns the time by which the request must be placed. For a first attempt this is
// when the first token is due: later the answer is of no use, and the capacity should go to requests
// that can still be in time. A request that was tried before has until the caller's deadline.
func (x *activeRequest) placementDeadline() time.Time {
	if x.Model == nil || x.triedBefore() || x.Pool.FirstTokenTarget <= 0 {
		return x.Deadline
	}
	if by := x.Arrived.Add(x.Pool.FirstTokenTarget); by.Before(x.Deadline) {
		return by
	}
	return x.Deadline
}

// triedBefore says whether a server may have worked on the request in an earlier attempt. Such a
// request need not meet the target for the first token, because that work would be lost.
func (x *activeRequest) triedBefore() bool { return x.streaming || len(x.excludedServers) > 0 }

// placeVerdict returns how the queue should continue when Place returned err.
func placeVerdict(err error) figqueue.PlaceResult {
	var none *figplace.NoServerError
	var full *figplace.NoCapacityError
	switch {
	case err == nil:
		return figqueue.Placed
	case errors.As(err, &none), errors.As(err, &full) && full.TooLate:
		return figqueue.Rejected
	default:
		return figqueue.NoCapacity
	}
}

// queueCause returns the cause with which a request ends when the queue returned err. refused is the
// last error of Place, or nil. A request that missed its placement deadline but not the caller's
// deadline ends with the reason QueueFull.
func (x *activeRequest) queueCause(err, refused error) figlifecycle.Cause {
	c := figlifecycle.Cause{Reason: figlifecycle.QueueFull, Err: err}
	var r *figqueue.Refusal
	if errors.As(err, &r) {
		c.RetryAfter = r.RetryAfter
	}
	var none *figplace.NoServerError
	var full *figplace.NoCapacityError
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
