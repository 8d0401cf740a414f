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
	// prefillTokensPerSecond is the number of prompt tokens that a prefill server computes in a
	// second, and firstEventOverhead what the transfer and the first step add. They give the
	// time from a placement to the first event.
	prefillTokensPerSecond = 55000
	firstEventOverhead     = 80 * time.Millisecond
	// lateWaitFraction bounds how long a request that is late already waits for room, as a
	// part of the target: for as long as others could still be on time it would only
	// take their room. Its caller is told when to come back instead.
	lateWaitFraction = 1.0 / 3
	// retryQueueWait bounds how long a request that a server failed waits for room
	// elsewhere: callers give up a stream after 2 s without an event.
	retryQueueWait = 700 * time.Millisecond
	// coldStartRecheck is how long a request waits before it asks again for a server in a
	// cold start.
	coldStartRecheck = 40 * time.Millisecond
)

// placementTiming says by when a model request must have been placed.
type placementTiming struct {
	// deadline is the latest time for a placement.
	deadline time.Time
	// targetMissed says that its first event can't be on time any more. Such requests go
	// behind those that can.
	targetMissed bool
}

// placementTimingOf works out by when a request must have been placed. A caller that has
// come back says so by the patience that it has left: the latency target counts
// from its first attempt.
func placementTimingOf(arrived time.Time, callerTimeout, limit, target time.Duration, promptTokens int64) placementTiming {
	elapsed := time.Duration(0)
	if callerTimeout > 0 && callerTimeout < limit {
		elapsed = limit - callerTimeout
	}
	firstEventDelay := firstEventOverhead + time.Duration(float64(promptTokens)/prefillTokensPerSecond*float64(time.Second))
	deadline := arrived.Add(target - firstEventDelay - elapsed)
	if deadline.After(arrived) {
		return placementTiming{deadline: deadline}
	}
	return placementTiming{deadline: arrived.Add(time.Duration(lateWaitFraction * float64(target))), targetMissed: true}
}

// reserveDecode waits for a decode server with memory for the request and reserves it there.
func (x *exchange) reserveDecode(resume bool) (*figcatalogue.Server, error) {
	now := x.Clock.Now()
	timing := placementTimingOf(x.Arrived, x.Patience, x.route.TimeLimit, x.route.Target, x.PromptTokens)
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
		Place: func(context.Context) figqueue.Verdict {
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
	klog.InfoS("not placed", "requestId", x.ID, "pool", x.pool, "waited", waited, "late", timing.targetMissed, "need", tokens, "err", err, "reason", pickErr)
	if pickErr != nil {
		err = errors.CombineErrors(pickErr, err)
	}
	return nil, err
}

// queuePriority puts requests that servers have worked on first, then late requests, and those beyond
// their account's rate last.
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

// tryReserve reserves the memory of a request that was placed.
func (x *exchange) tryReserve(s *figcatalogue.Server, tokens int64, err error) figqueue.Verdict {
	if err == nil {
		x.reservation = x.Picker.Reserve(x.Clock.Now(), s, tokens)
		return figqueue.Placed
	}
	var noServer *figbalancer.NoServer
	if !errors.As(err, &noServer) || (!noServer.Full && noServer.Wait == 0) {
		return figqueue.Rejected
	}
	if noServer.Wait > 0 {
		x.Timer.After(min(noServer.Wait, coldStartRecheck), x.Queue(x.pool).Wake)
	}
	return figqueue.NoRoom
}

// releaseReservation gives back what is reserved, if anything is.
func (x *exchange) releaseReservation() {
	if x.reservation != nil {
		x.reservation.Release()
		x.reservation = nil
	}
}
