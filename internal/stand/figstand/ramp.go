package figstand

import (
	"sync"
	"time"
)

// buckledFactor is how much slower a server works that got more than it can bear.
const buckledFactor = 10

// ramp is the cold start of a backend server: the number of requests that it can
// bear at once grows linearly from cold to warm.
type ramp struct {
	mu         sync.Mutex
	startedAt  time.Time
	began      time.Time
	length     time.Duration
	cold, warm int
	running    int
	violations int
}

func newRamp(length time.Duration, cold, warm int) *ramp {
	now := time.Now()
	return &ramp{startedAt: now, began: now, length: length, cold: cold, warm: warm}
}

// bearable returns how many requests the server can bear at now.
func (r *ramp) bearable(now time.Time) int {
	passed := now.Sub(r.began)
	if r.length <= 0 || passed >= r.length {
		return r.warm
	}
	return r.cold + int(float64(r.warm-r.cold)*float64(passed)/float64(r.length))
}

// enter counts a request that starts, and a violation if it is one too many for
// a cold server. It returns false if even a warm one has no room.
func (r *ramp) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.warm {
		return false
	}
	r.running++
	if r.running > r.bearable(time.Now()) {
		r.violations++
	}
	return true
}

func (r *ramp) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
}

// slowed returns d, or a multiple of it while the server buckles.
func (r *ramp) slowed(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running > r.bearable(time.Now()) {
		return d * buckledFactor
	}
	return d
}

// begin starts the ramp again. The start time stays unless told is true.
func (r *ramp) begin(told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began = time.Now()
	if told {
		r.startedAt = r.began
	}
}

// Violations returns how many requests came that a cold server could not bear.
func (r *ramp) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// StartedAt returns the start time that the server reports.
func (r *ramp) StartedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.startedAt
}
