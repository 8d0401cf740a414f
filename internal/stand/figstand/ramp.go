package figstand

import (
	"sync"
	"time"
)

// buckledFactor is how much slower a server works that got more than it can bear.
const buckledFactor = 10

// warmAge is the age that a server without a cold start reports.
const warmAge = time.Hour

// ramp is the cold start of a backend server: the work in progress that it can
// bear grows linearly from cold to warm. Work is counted in tokens on an engine
// and in calls on a plain service; one request alone can always be borne.
type ramp struct {
	mu         sync.Mutex
	startedAt  time.Time
	began      time.Time
	length     time.Duration
	cold, warm int
	batch      int
	running    int
	work       int
	violations int
}

func newRamp(length time.Duration, cold, warm, batch int) *ramp {
	now := time.Now()
	started := now
	if length == 0 {
		started = now.Add(-warmAge)
	}
	return &ramp{startedAt: started, began: now, length: length, cold: cold, warm: warm, batch: batch}
}

// bearable returns the work in progress that the server can bear at now.
func (r *ramp) bearable(now time.Time) int {
	passed := now.Sub(r.began)
	if r.length <= 0 || passed >= r.length {
		return r.warm
	}
	return r.cold + int(float64(r.warm-r.cold)*float64(passed)/float64(r.length))
}

// enter counts a request that starts, and a violation if its work is too much
// for a cold server. It returns false if the batch is full.
func (r *ramp) enter(work int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.batch {
		return false
	}
	r.running++
	r.work += work
	if r.buckles() {
		r.violations++
	}
	return true
}

func (r *ramp) leave(work int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.work -= work
}

// buckles says whether the server has more work than it can bear.
func (r *ramp) buckles() bool {
	return r.running > 1 && r.work > r.bearable(time.Now())
}

// slowed returns d, or a multiple of it while the server buckles.
func (r *ramp) slowed(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buckles() {
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
