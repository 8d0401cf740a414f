package figemulator

import (
	"sync"
	"time"
)

// buckledFactor is how much slower a server works that got more than it can bear.
const buckledFactor = 10

// warmAge is the age that a server without a cold start reports.
const warmAge = time.Hour

// ramp is the cold start of a backend server. It bears a little work in progress
// at first, and as much more as it has finished, as caches and compiled code warm
// up by use. Work is counted in tokens on an engine and in calls on a plain
// service; one request alone can always be borne.
type ramp struct {
	mu         sync.Mutex
	startedAt  time.Time
	isCold     bool
	first      int
	batch      int
	running    int
	work       int
	finished   int
	violations int
}

// newRamp returns the ramp of a server that bears first at the start of a cold
// start, and any work when warm. A warm server reports a start long ago.
func newRamp(isCold bool, first, batch int) *ramp {
	started := time.Now()
	if !isCold {
		started = started.Add(-warmAge)
	}
	return &ramp{startedAt: started, isCold: isCold, first: first, batch: batch}
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

// leave takes out a request; the server warms up by those that are done.
func (r *ramp) leave(work int, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.work -= work
	if done {
		r.finished += work
	}
}

// buckles says whether the server has more work than it can bear.
func (r *ramp) buckles() bool {
	return r.isCold && r.running > 1 && r.work > r.first+r.finished
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

// begin starts a cold start. The start time stays unless told is true.
func (r *ramp) begin(told bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCold = true
	r.finished = 0
	if told {
		r.startedAt = time.Now()
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
