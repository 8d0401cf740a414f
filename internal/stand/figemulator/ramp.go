package figemulator

import (
	"sync"
	"time"
)

// overloadFactor is the factor by which an overloaded cold server is slower.
const overloadFactor = 10

// warmAge is the time since start that a server reports if it begins without a cold start.
const warmAge = time.Hour

// ramp emulates the cold start of a backend server. The work in progress that the
// server can handle starts at initialLimit and grows by the work that it finishes,
// as caches and compiled code warm up by use. Work is counted in tokens on an
// engine and in calls on a plain service. A single request never overloads it.
type ramp struct {
	mu           sync.Mutex
	startedAt    time.Time
	isCold       bool
	initialLimit int
	batch        int
	running      int
	work         int
	finished     int
	violations   int
}

// newRamp returns a ramp with an initial work limit of first. A server that isn't
// cold has no work limit and reports a start time warmAge ago.
func newRamp(isCold bool, first, batch int) *ramp {
	started := time.Now()
	if !isCold {
		started = started.Add(-warmAge)
	}
	return &ramp{startedAt: started, isCold: isCold, initialLimit: first, batch: batch}
}

// enter registers a request that starts, and counts a violation if the server is
// overloaded with it. It returns false if the batch is full.
func (r *ramp) enter(work int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.batch {
		return false
	}
	r.running++
	r.work += work
	if r.overloaded() {
		r.violations++
	}
	return true
}

// leave removes a request. Its work raises the work limit if done is true.
func (r *ramp) leave(work int, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	r.work -= work
	if done {
		r.finished += work
	}
}

// overloaded reports whether a cold server has more work in progress than its limit. The caller must hold r.mu.
func (r *ramp) overloaded() bool {
	return r.isCold && r.running > 1 && r.work > r.initialLimit+r.finished
}

// slowed returns d, multiplied by overloadFactor while the server is overloaded.
func (r *ramp) slowed(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.overloaded() {
		return d * overloadFactor
	}
	return d
}

// beginColdStart begins a cold start, and sets a new start time if newStartTime is true.
func (r *ramp) beginColdStart(newStartTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isCold = true
	r.finished = 0
	if newStartTime {
		r.startedAt = time.Now()
	}
}

// Violations returns the number of requests that arrived while the cold server was overloaded or that overloaded it.
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
