package figowner

import "time"

const (
	// breakAfter is the evidence at which a breaker opens.
	breakerThreshold = 3
	// evidenceLife is how long a piece of evidence counts.
	failureMemory = 10 * time.Second
	// firstPause and lastPause bound how long a breaker stays open.
	minOpenTime = time.Second
	maxOpenTime = 30 * time.Second
)

// Breaker keeps work away from a server that fails by its own fault.
type Breaker struct {
	count          int
	lastFailureAt  time.Time
	openUntil      time.Time
	openTime       time.Duration
	tripped        bool
	probeGrantedAt time.Time
}

// weight is how much a piece of evidence counts.
func (e Evidence) weight() int {
	switch e {
	case Unreachable:
		return breakerThreshold
	case ServerError, Stalled:
		return 1
	default:
		return 0
	}
}

// Failed takes evidence and says whether the breaker has opened by it.
func (b *Breaker) RecordFailure(now time.Time, e Evidence) bool {
	w := e.weight()
	if w == 0 {
		return false
	}
	if now.Sub(b.lastFailureAt) > failureMemory {
		b.count = 0
	}
	b.lastFailureAt = now
	b.count += w
	if b.count < breakerThreshold && !b.tripped {
		return false
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openTime = min(max(minOpenTime, 2*b.openTime), maxOpenTime)
	b.openUntil = now.Add(b.openTime)
	b.count = 0
	b.tripped = true
	return true
}

// Worked takes the news of a success. After a pause it closes the breaker.
func (b *Breaker) RecordSuccess(now time.Time) {
	if now.Before(b.openUntil) {
		return
	}
	b.count, b.openTime, b.tripped = 0, 0, false
}

// Open says whether no work may be granted.
func (b *Breaker) IsOpen(now time.Time) bool { return now.Before(b.openUntil) }

// Probing says whether the pause is over but no success has been seen, so that
// one request at a time may go.
func (b *Breaker) HalfOpen(now time.Time) bool { return b.tripped && !b.IsOpen(now) }

// Probed takes the news that a request was granted while the breaker was probing.
func (b *Breaker) ProbeGranted(now time.Time) { b.probeGrantedAt = now }

// ProbeWait returns how long a probe that has no outcome yet keeps others away.
// It is the breaker's pause at most, so that a probe that hangs isn't the last.
func (b *Breaker) ProbeWait(now time.Time) time.Duration {
	return max(0, b.openTime-now.Sub(b.probeGrantedAt))
}

// Wait returns how long the breaker stays open.
func (b *Breaker) RemainingOpenTime(now time.Time) time.Duration { return max(0, b.openUntil.Sub(now)) }
