package figowner

import "time"

const (
	// breakAfter is the evidence at which a breaker opens.
	breakAfter = 3
	// evidenceLife is how long a piece of evidence counts.
	evidenceLife = 10 * time.Second
	// firstPause and lastPause bound how long a breaker stays open.
	firstPause = time.Second
	lastPause  = 30 * time.Second
)

// Breaker keeps work away from a server that fails by its own fault.
type Breaker struct {
	count  int
	last   time.Time
	until  time.Time
	pause  time.Duration
	probes bool
	probed time.Time
}

// weight is how much a piece of evidence counts.
func (e Evidence) weight() int {
	switch e {
	case Unreachable:
		return breakAfter
	case ServerError, Stalled:
		return 1
	default:
		return 0
	}
}

// Failed takes evidence and says whether the breaker has opened by it.
func (b *Breaker) Failed(now time.Time, e Evidence) bool {
	w := e.weight()
	if w == 0 {
		return false
	}
	if now.Sub(b.last) > evidenceLife {
		b.count = 0
	}
	b.last = now
	b.count += w
	if b.count < breakAfter && !b.probes {
		return false
	}
	if now.Before(b.until) {
		return false
	}
	b.pause = min(max(firstPause, 2*b.pause), lastPause)
	b.until = now.Add(b.pause)
	b.count = 0
	b.probes = true
	return true
}

// Worked takes the news of a success. After a pause it closes the breaker.
func (b *Breaker) Worked(now time.Time) {
	if now.Before(b.until) {
		return
	}
	b.count, b.pause, b.probes = 0, 0, false
}

// Open says whether no work may be granted.
func (b *Breaker) Open(now time.Time) bool { return now.Before(b.until) }

// Probing says whether the pause is over but no success has been seen, so that
// one request at a time may go.
func (b *Breaker) Probing(now time.Time) bool { return b.probes && !b.Open(now) }

// Probed takes the news that a request was granted while the breaker was probing.
func (b *Breaker) Probed(now time.Time) { b.probed = now }

// ProbeWait returns how long a probe that has no outcome yet keeps others away.
// It is the breaker's pause at most, so that a probe that hangs isn't the last.
func (b *Breaker) ProbeWait(now time.Time) time.Duration {
	return max(0, b.pause-now.Sub(b.probed))
}

// Wait returns how long the breaker stays open.
func (b *Breaker) Wait(now time.Time) time.Duration { return max(0, b.until.Sub(now)) }
