package figqueue

import (
	"cmp"
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

// advanceRate moves the pool's meter to now, with its parts by importance.
func (s *scheduler) advanceRate(now time.Time, loaded bool) {
	before := s.rate.tokens
	s.rate.advance(now, loaded)
	if before > 0 && s.rate.tokens != before {
		for level := range s.placedAt {
			s.placedAt[level] *= s.rate.tokens / before
		}
	}
}

// admit reports whether the queue accepts an entry, and otherwise the reason. If the queue is full, admit refuses waiting
// requests that are less important, and then evicts those of the accounts with the most tokens for their weight, as far
// as evict allows.
func (s *scheduler) admit(f *flow, e *entry, now time.Time) (Reason, bool) {
	item := &e.item
	if item.Bytes > s.opts.MaxAccountBytes || s.accountFull(f, item) && s.leastImportant(e, f, f) == nil {
		return AccountQueueFull, false
	}
	if item.Bytes > s.opts.MaxBytes {
		return QueueFull, false
	}
	if s.missesDeadline(f, e, now) {
		return DeadlineUnmet, false
	}
	for s.accountFull(f, item) {
		if !s.displace(s.leastImportant(e, f, f)) {
			return AccountQueueFull, false
		}
	}
	for s.waitingCount >= s.opts.MaxRequests || s.bytes+item.Bytes > s.opts.MaxBytes {
		if !s.displace(s.leastImportant(e, f, nil)) && !s.evict(f, e) {
			return QueueFull, false
		}
	}
	return 0, true
}

// accountFull reports whether an item exceeds what its account may have waiting.
func (s *scheduler) accountFull(f *flow, item *Item) bool {
	return len(f.waiting) >= s.opts.MaxAccountRequests || f.bytes+item.Bytes > s.opts.MaxAccountBytes
}

// evict refuses the last waiting request of the flow with the most waiting tokens for its weight, unless that is more
// important than e. It returns false if no other flow has more than f would have with the entry.
func (s *scheduler) evict(f *flow, e *entry) bool {
	var largest *flow
	maxLoad := float64(f.tokens+e.item.Tokens) / f.weight
	level := s.importanceOf(f, &e.item)
	for _, g := range s.flows {
		if g == f || len(g.waiting) == 0 || s.importanceOf(g, &g.waiting[len(g.waiting)-1].item) < level {
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

// missesDeadline reports whether the entry's deadline has passed or comes before the estimated end of its wait. While the
// rate isn't known, the estimated wait is zero.
func (s *scheduler) missesDeadline(f *flow, e *entry, now time.Time) bool {
	deadline := e.item.Deadline
	if deadline.IsZero() {
		return false
	}
	if !now.Before(deadline) {
		return true
	}
	var wait time.Duration
	if ahead := s.tokensAhead(f, e); s.oneImportance(e) {
		wait = max(s.rate.timeFor(ahead), f.rate.timeFor(float64(f.tokens-f.lateTokensAfter(e))))
	} else {
		wait = s.rate.timeFor(min(ahead, s.tokensByFloor(e)))
	}
	return now.Add(wait).After(deadline)
}

// oneImportance reports whether the waiting requests and e are equally important.
func (s *scheduler) oneImportance(e *entry) bool {
	return !e.item.AccountImportance && !s.mixed() && s.countAt[e.item.Importance] == s.waitingCount
}

// lateTokensAfter returns the tokens of callers that returned late and wait behind e.
func (f *flow) lateTokensAfter(e *entry) int64 {
	sum := int64(0)
	if f.lateCount == 0 || e.late {
		return sum
	}
	for _, w := range f.waiting {
		if w.late && w.item.Priority <= e.item.Priority {
			sum += w.item.Tokens
		}
	}
	return sum
}

// tokensAhead estimates the tokens that are placed before the entry. Of its own account these are all waiting ones of at
// least its importance, but for late ones behind it. Of each other account, they are those that go before it and, of
// those equal in class, importance and being late, at most what the account's weight gives it until the entry is placed.
// If all are equally important and no caller returned late, the first request of an account stands for all of them.
func (s *scheduler) tokensAhead(f *flow, e *entry) float64 {
	level, byEntry := s.importanceOf(f, &e.item), !s.oneImportance(e) || s.lateCount > 0
	sum := -float64(f.lateTokensAfter(e))
	for _, n := range f.tokensAt[:level+1] {
		sum += float64(n)
	}
	sum = max(0, sum)
	own := sum + float64(e.item.Tokens)
	for _, g := range s.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		equal := 0.0
		for _, w := range g.waiting {
			tokens := float64(w.item.Tokens)
			if !byEntry {
				tokens = float64(g.tokens)
			}
			order := cmp.Or(
				cmp.Compare(e.item.Priority, w.item.Priority), cmp.Compare(s.importanceOf(g, &w.item), level), compareLate(w, e),
			)
			switch {
			case order < 0:
				sum += tokens
			case order == 0:
				equal += tokens
			}
			if !byEntry {
				break
			}
		}
		sum += min(equal, own/f.weight*g.weight)
	}
	return sum
}
