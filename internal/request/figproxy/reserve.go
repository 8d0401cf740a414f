package figproxy

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
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
	// slowPlacement is the time from which a placement is logged.
	slowPlacement = 40 * time.Millisecond
	// placementMargin is how long after the caller's deadline the end of a request is reported
	// at the latest.
	placementMargin = time.Second
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
	elapsed := elapsedBefore(callerTimeout, limit)
	firstEventDelay := firstEventOverhead +
		time.Duration(float64(promptTokens)/prefillTokensPerSecond*float64(time.Second))
	deadline := arrived.Add(target - firstEventDelay - elapsed)
	if deadline.After(arrived) {
		return placementTiming{deadline: deadline}
	}
	return placementTiming{deadline: arrived.Add(time.Duration(lateWaitFraction * float64(target))), targetMissed: true}
}

// elapsedBefore returns the time that a caller has spent on earlier attempts, as far as its timeout shows.
func elapsedBefore(callerTimeout, limit time.Duration) time.Duration {
	if callerTimeout > 0 && callerTimeout < limit {
		return limit - callerTimeout
	}
	return 0
}

// reserveDecode asks for a placement with enough free memory for the request, which becomes
// x.placement. resume says that the request resumes a stream.
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
	request := &figcoordinator.Request{
		Pool: x.pool, DataCentre: x.DataCentre, PromptTokens: x.PromptTokens, Tokens: x.PromptTokens + x.outputTokens(),
		Priority: x.queuePriority(retry, timing.targetMissed), Wait: timing.deadline.Sub(now),
		Lasts: x.callerDeadline.Sub(now) + placementMargin, NoPrefill: resume || x.trial || x.prefillSends > 0, Excluded: x.avoid,
	}
	if x.account != nil {
		request.Account = x.account.Name
	}
	var err error
	x.placement, err = x.Placer.Place(x.ctx, request)
	waited := x.Clock.Now().Sub(now)
	if err != nil {
		klog.InfoS("no server could be reserved for the request", "requestId", x.ID, "pool", x.pool, "waited", waited,
			"late", timing.targetMissed, "need", request.Tokens, "err", err)
		return nil, err
	}
	s := x.placement.Decode
	if waited > slowPlacement {
		klog.InfoS("placed", "requestId", x.ID, "server", s.Name, "waited", waited, "late", timing.targetMissed)
	}
	return s, nil
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

// releasePlacement ends x.placement, if there is one, because nothing was sent to its decode
// server.
func (x *exchange) releasePlacement() {
	if x.placement != nil {
		x.placement.End(figbalancer.Result{}, true, 0)
		x.placement = nil
	}
}
