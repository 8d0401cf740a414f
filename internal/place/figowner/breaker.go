package figowner

import "time"

const (
	// breakerThreshold is the total weight of failures at which a breaker opens.
	breakerThreshold = 3
	// failureMemory is the time without another failure after which earlier failures no longer count.
	failureMemory = 10 * time.Second
	// minOpenTime and maxOpenTime limit how long a breaker stays open.
	minOpenTime = time.Second
	maxOpenTime = 30 * time.Second
)

// Breaker is a circuit breaker for one server. It opens after repeated failures of the server. Each
// failed probe doubles its open time, up to maxOpenTime.
type Breaker struct {
	count          int
	lastFailureAt  time.Time
	openUntil      time.Time
	openTime       time.Duration
	tripped        bool
	probeGrantedAt time.Time
}

// weight returns how much a failure counts towards breakerThreshold. Kinds that are not the server's
// fault weigh zero.
func (k FailureKind) weight() int {
	switch k {
	case Unreachable:
		return breakerThreshold
	case ServerError, StreamFailed:
		return 1
	default:
		return 0
	}
}

// RecordFailure records a failure and returns whether the breaker opened because of it. In a half-open
// breaker any failure with a weight reopens it.
func (b *Breaker) RecordFailure(now time.Time, k FailureKind) bool {
	w := k.weight()
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

// RecordSuccess records a success. It clears the failure count and closes a half-open breaker. An open
// breaker ignores it.
func (b *Breaker) RecordSuccess(now time.Time) {
	if now.Before(b.openUntil) {
		return
	}
	b.count, b.openTime, b.tripped = 0, 0, false
}

// IsOpen returns whether the breaker is open, so that nothing may be granted.
func (b *Breaker) IsOpen(now time.Time) bool { return now.Before(b.openUntil) }

// HalfOpen returns whether the open time is over but no request has succeeded since. One request at a
// time may then probe the server.
func (b *Breaker) HalfOpen(now time.Time) bool { return b.tripped && !b.IsOpen(now) }

// ProbeGranted records that a request was granted as a probe.
func (b *Breaker) ProbeGranted(now time.Time) { b.probeGrantedAt = now }

// ProbeWait returns how long an unfinished probe keeps other requests from the server. The time is
// limited to the breaker's open time, so that a probe that hangs doesn't prevent further probes.
func (b *Breaker) ProbeWait(now time.Time) time.Duration {
	return max(0, b.openTime-now.Sub(b.probeGrantedAt))
}

// RemainingOpenTime returns how much longer the breaker stays open.
func (b *Breaker) RemainingOpenTime(now time.Time) time.Duration { return max(0, b.openUntil.Sub(now)) }
