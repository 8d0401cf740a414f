package figproxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

const (
	// prefillTokensPerSecond is the speed of a prefill server in prompt tokens per second.
	// firstEventOverhead is the time for the KV cache transfer and the first decode step.
	// Both together give the time from placement to the first event.
	prefillTokensPerSecond = 55000
	firstEventOverhead     = 80 * time.Millisecond
	// lateWaitFraction is the longest wait for room, as a fraction of the latency target, of
	// a request that will miss its target anyway. A longer wait would only take room from
	// requests that can still meet theirs; instead the caller gets a Retry-After.
	lateWaitFraction = 1.0 / 3
	// retryQueueWait is the longest wait for room at another server after a server failed
	// the request. Callers give up a stream after 2 s without an event.
	retryQueueWait = 700 * time.Millisecond
	// coldStartRecheck is the longest pause before the queue is checked again while a server
	// in a cold start limits the rate of its sends. Placements that took longer are
	// logged.
	coldStartRecheck = 40 * time.Millisecond
)

// placementTiming is the deadline for placing a model request, which means reserving memory
// for it at a decode server.
type placementTiming struct {
	// deadline is when the wait for a placement ends.
	deadline time.Time
	// targetMissed says that the first event can't meet the latency target any more. Such
	// requests queue behind those that can still meet it.
	targetMissed bool
}

// placementTimingOf returns the placement deadline of a request. A caller timeout below the
// route's time limit means that the caller has retried and spent the difference on earlier
// attempts, which count towards the latency target.
func placementTimingOf(
	arrived time.Time, callerTimeout, limit, target time.Duration, promptTokens int64,
) placementTiming {
	elapsed := time.Duration(0)
	if callerTimeout > 0 && callerTimeout < limit {
		elapsed = limit - callerTimeout
	}
	firstEventDelay := firstEventOverhead +
		time.Duration(float64(promptTokens)/prefillTokensPerSecond*float64(time.Second))
	deadline := arrived.Add(target - firstEventDelay - elapsed)
	if deadline.After(arrived) {
		return placementTiming{deadline: deadline}
	}
	return placementTiming{deadline: arrived.Add(time.Duration(lateWaitFraction * float64(target))), targetMissed: true}
}

// reserveDecode waits in the pool's queue for a server of role Decode or Plain with enough
// free memory for the prompt, and reserves that memory in x.reservation. resume says that the
// request resumes a stream. The error is that of the last pick, if any, combined with that of
// the queue.
func (x *exchange) reserveDecode(resume bool) (*figcatalogue.Server, error) {
	now := x.Clock.Now()
	timing := placementTimingOf(x.Arrived, x.CallerTimeout, x.route.TimeLimit, x.route.LatencyTarget, x.PromptTokens)
	retry := resume || x.sends > 0
	if retry {
		timing = placementTiming{deadline: now.Add(retryQueueWait)}
	}
	if timing.deadline.After(x.answerDeadline) {
		timing.deadline = x.answerDeadline
	}
	tokens := x.PromptTokens
	var s *figcatalogue.Server
	var pickErr error
	ctx, cancel := context.WithDeadline(x.ctx, timing.deadline)
	defer cancel()
	item := figqueue.Item{
		Tokens:   tokens,
		Bytes:    int64(len(x.Body)),
		Deadline: timing.deadline,
		Priority: x.queuePriority(retry, timing.targetMissed),
		Place: func(context.Context) figqueue.PlaceResult {
			s, pickErr = x.pickServer(x.DataCentre, tokens, figview.Decode, figview.Plain)
			return x.tryReserve(s, tokens, pickErr)
		},
	}
	if x.account != nil {
		item.Account = x.account.Name
	}
	err := x.Queue(x.pool).Do(ctx, item)
	waited := x.Clock.Now().Sub(now)
	if err == nil {
		if waited > coldStartRecheck {
			klog.InfoS("placed", "requestId", x.ID, "server", s.Name, "waited", waited, "late", timing.targetMissed)
		}
		return s, nil
	}
	klog.InfoS("no server could be reserved for the request", "requestId", x.ID, "pool", x.pool, "waited", waited,
		"late", timing.targetMissed, "need", tokens, "err", err, "reason", pickErr)
	if pickErr != nil {
		err = errors.CombineErrors(pickErr, err)
	}
	return nil, err
}

// queuePriority orders requests in the queue: retries first, then requests that can meet
// their latency target, then those that can't, and those beyond their account's rate last.
func (x *exchange) queuePriority(retry, targetMissed bool) int {
	switch {
	case retry:
		return 1
	case x.overRate:
		return -2
	case targetMissed:
		return -1
	default:
		return 0
	}
}

// tryReserve reserves tokens of memory at s, unless the pick of a server failed with err. It
// tells the queue whether the request is placed, rejected, or has to wait for room; if the
// wait is for a cold start, the queue is checked again after it.
func (x *exchange) tryReserve(s *figcatalogue.Server, tokens int64, err error) figqueue.PlaceResult {
	if err == nil {
		x.reservation = x.Picker.Reserve(x.Clock.Now(), s, tokens)
		return figqueue.Placed
	}
	var noServer *figbalancer.NoServerError
	if !errors.As(err, &noServer) || (!noServer.NoCapacity && noServer.RetryAfter == 0) {
		return figqueue.Rejected
	}
	if noServer.RetryAfter > 0 {
		x.Timer.After(min(noServer.RetryAfter, coldStartRecheck), x.Queue(x.pool).Wake)
	}
	return figqueue.NoCapacity
}

// releaseReservation releases x.reservation, if there is one.
func (x *exchange) releaseReservation() {
	if x.reservation != nil {
		x.reservation.Release()
		x.reservation = nil
	}
}
