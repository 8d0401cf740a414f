package figqueue

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant of the measured rate of placing.
	rateTimeConstant = 5 * time.Second
	// drainLeast is the time under load after which the measured rate counts.
	minLoadedTime = 500 * time.Millisecond
	// retryLeast and retryMost bound the pause that a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// drain measures how many tokens a second are placed while requests wait.
type rateMeter struct {
	tokens    float64
	seconds   float64
	updatedAt time.Time
}

// advance counts the time up to now as time under load, if it was.
func (m *rateMeter) advance(now time.Time, loaded bool) {
	elapsed := now.Sub(m.updatedAt).Seconds()
	m.updatedAt = now
	if !loaded || elapsed <= 0 {
		return
	}
	decay := math.Exp(-elapsed / rateTimeConstant.Seconds())
	m.tokens *= decay
	m.seconds = m.seconds*decay + elapsed
}

func (m *rateMeter) add(tokens int64) { m.tokens += float64(tokens) }

// perSecond returns the rate, or zero while it isn't known.
func (m *rateMeter) perSecond() float64 {
	if m.seconds < minLoadedTime.Seconds() {
		return 0
	}
	return m.tokens / m.seconds
}

// time returns how long it takes to place so many tokens, or zero while the rate
// isn't known.
func (m *rateMeter) timeFor(tokens float64) time.Duration {
	rate := m.perSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// admits says whether there is room for an item, and why not. A full queue
// makes room at the cost of the account that has the most in it.
func (s *scheduler) admit(f *flow, item Item, now time.Time) (Reason, bool) {
	if len(f.waiting) >= s.opts.AccountRequests || f.bytes+item.Bytes > s.opts.AccountBytes {
		return AccountQueueFull, false
	}
	if item.Bytes > s.opts.Bytes {
		return QueueFull, false
	}
	if s.missesDeadline(f, item, now) {
		return DeadlineUnmet, false
	}
	for s.waitingCount >= s.opts.Requests || s.bytes+item.Bytes > s.opts.Bytes {
		if !s.evict(f, item) {
			return QueueFull, false
		}
	}
	return 0, true
}

// evict refuses the last request of the flow with the most tokens for its
// weight, if that has more than f would have with the item.
func (s *scheduler) evict(f *flow, item Item) bool {
	var largest *flow
	maxLoad := float64(f.tokens+item.Tokens) / f.weight
	for _, g := range s.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		if load := float64(g.tokens) / g.weight; load > maxLoad {
			largest, maxLoad = g, load
		}
	}
	if largest == nil {
		return false
	}
	s.refuseWaiting(largest.waiting[len(largest.waiting)-1], QueueFull)
	return true
}

// late says whether the item's deadline has passed or can't be met.
func (s *scheduler) missesDeadline(f *flow, item Item, now time.Time) bool {
	if item.Deadline.IsZero() {
		return false
	}
	if !now.Before(item.Deadline) {
		return true
	}
	wait := max(s.rate.timeFor(s.tokensAhead(f, item)), f.rate.timeFor(float64(f.tokens)))
	return now.Add(wait).After(item.Deadline)
}

// ahead returns how many tokens go before the item: its own account's, those of
// higher priority, and of the others as many as the sharing gives them meanwhile.
func (s *scheduler) tokensAhead(f *flow, item Item) float64 {
	own := float64(f.tokens + item.Tokens)
	sum := float64(f.tokens)
	for _, g := range s.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		head := g.waiting[0].item
		switch {
		case head.Priority > item.Priority:
			sum += float64(g.tokens)
		case head.Priority == item.Priority:
			sum += min(float64(g.tokens), own/f.weight*g.weight)
		}
	}
	return sum
}

// clearTime returns how long what waits now takes at the measured rate.
func (s *scheduler) timeToDrain() time.Duration {
	return max(s.rate.timeFor(float64(s.tokens)), minRetryAfter)
}
