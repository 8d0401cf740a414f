package figqueue

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the exponential average of a rateMeter.
	rateTimeConstant = 5 * time.Second
	// minLoadedTime is the time under load that a rateMeter needs before its rate counts as known.
	minLoadedTime = 500 * time.Millisecond
	// minRetryAfter is the least Refusal.RetryAfter, except for a request whose context had ended before it was queued.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter bounds Refusal.RetryAfter and every other estimate of a wait.
	maxRetryAfter = 30 * time.Second
)

// rateMeter measures the tokens per second that are placed while requests wait, as an exponential average.
type rateMeter struct {
	// tokens and seconds are the placed tokens and the time under load; older ones count exponentially less.
	tokens    float64
	seconds   float64
	updatedAt time.Time
}

// advance moves the meter to now. The elapsed time counts only if loaded, that is if requests waited during it.
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

// add counts tokens as placed. Negative tokens undo an earlier add.
func (m *rateMeter) add(tokens int64) { m.tokens += float64(tokens) }

// perSecond returns the rate in tokens per second, or zero while it isn't known.
func (m *rateMeter) perSecond() float64 {
	if m.seconds < minLoadedTime.Seconds() {
		return 0
	}
	return m.tokens / m.seconds
}

// timeFor returns how long placing the given number of tokens takes, at most maxRetryAfter. It returns zero while the
// rate isn't known or is zero.
func (m *rateMeter) timeFor(tokens float64) time.Duration {
	rate := m.perSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, maxRetryAfter.Seconds()) * float64(time.Second))
}

// admit reports whether the queue accepts an item, and otherwise the reason. If the queue is full, admit evicts waiting
// requests of the accounts with the most tokens for their weight, as far as evict allows.
func (s *scheduler) admit(f *flow, item Item, now time.Time) (Reason, bool) {
	if len(f.waiting) >= s.opts.MaxAccountRequests || f.bytes+item.Bytes > s.opts.MaxAccountBytes {
		return AccountQueueFull, false
	}
	if item.Bytes > s.opts.MaxBytes {
		return QueueFull, false
	}
	if s.missesDeadline(f, item, now) {
		return DeadlineUnmet, false
	}
	for s.waitingCount >= s.opts.MaxRequests || s.bytes+item.Bytes > s.opts.MaxBytes {
		if !s.evict(f, item) {
			return QueueFull, false
		}
	}
	return 0, true
}

// evict refuses the last waiting request of the flow with the most waiting tokens for its weight. It returns false if no
// other flow has more than f would have with the item.
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

// missesDeadline reports whether the item's deadline has passed or comes before the estimated end of its wait. While the
// rate isn't known, the estimated wait is zero.
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

// tokensAhead estimates the tokens that are placed before the item: all waiting ones of its own account; all of each
// account whose first request has a higher priority; and of each account whose first request has the same priority, at
// most the tokens that its weight gives it until the item is placed. Accounts whose first request has a lower priority
// count nothing.
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

// timeToDrain estimates how long placing all waiting requests takes, from minRetryAfter to maxRetryAfter.
func (s *scheduler) timeToDrain() time.Duration {
	return max(s.rate.timeFor(float64(s.tokens)), minRetryAfter)
}
