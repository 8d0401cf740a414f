package figlifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// Options describes a request to New.
type Options struct {
	// ID is the request id.
	ID string
	// Idempotent says that the route's declaration allows to repeat it.
	Idempotent bool
	// TrustRefusals lets a request that may not be repeated go to another server
	// after one has said that it did not run it.
	TrustRefusals bool
}

// Cause is why a request ends.
type Cause struct {
	// Reason is the reason that callers, logs and metrics see.
	Reason Reason
	// Detail replaces the reason's sentence for callers. Empty keeps it.
	Detail string
	// Err carries step and peer for logs. It may be nil.
	Err error
	// RetryAfter is how long the caller is asked to wait. Zero says nothing.
	RetryAfter time.Duration
}

// CauseOf returns a cause without a detail.
func CauseOf(r Reason, err error) Cause { return Cause{Reason: r, Err: err} }

// Result is what a request ended with.
type Result struct {
	Cause

	// ID is the request id.
	ID string
	// Outcome is one of the closed set.
	Outcome Outcome
	// Phase is the last phase before the end.
	Phase Phase
	// Idempotent is what the request was declared as.
	Idempotent bool
	// Sends counts the sends that were begun for it.
	Sends int
}

// Step returns the step at which the request failed: that of the error, or the
// last phase.
func (r *Result) Step() string {
	if step, _ := figerror.Where(r.Err); step != "" {
		return step
	}
	return r.Phase.String()
}

// hold is one thing that the request holds.
type registeredRelease struct {
	name    string
	release func()
}

// Life is the state machine of one request. It is safe for concurrent use.
type Life struct {
	id     string
	cancel context.CancelCauseFunc
	done   chan struct{}

	mu       sync.Mutex
	state    state
	releases []*registeredRelease
	result   Result
}

// New begins the life of a request. The context ends with the request.
func New(ctx context.Context, opts Options) (*Life, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &Life{
		id:     opts.ID,
		cancel: cancel,
		done:   make(chan struct{}),
		state:  state{idempotent: opts.Idempotent, trustRefusals: opts.TrustRefusals},
	}
	return l, ctx
}

// ID returns the request id.
func (l *Life) ID() string { return l.id }

// Phase returns the current phase.
func (l *Life) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.phase
}

// Done returns a channel that is closed when the request has ended and all its
// releases have run.
func (l *Life) Done() <-chan struct{} { return l.done }

// Advance moves the request to a later phase, or back to Queued or Placed for
// another try. It returns false if the request has ended or the phase doesn't
// follow.
func (l *Life) Advance(to Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.advance(to)
}

// FirstByte claims the right to write the server's answer. It returns true at
// most once, and never after the end.
func (l *Life) FirstByte() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.claimAnswer()
}

// Reply returns the result of an ended request, and true if an error has to be
// written to the caller: at most once, and never when the answer has begun.
func (l *Life) Reply() (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result, l.state.claimError()
}

// Result returns the result, and false if the request has not ended.
func (l *Life) Result() (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result, l.state.phase == Ended
}

// End ends the request for a cause. The first call decides the outcome, ends
// the context, runs all releases and returns true. Later calls return false at
// once; Done tells when the releases have run.
func (l *Life) End(c Cause) bool {
	l.mu.Lock()
	phase := l.state.phase
	outcome := l.state.end(c.Reason)
	if outcome == NoOutcome {
		l.mu.Unlock()
		return false
	}
	l.result = Result{
		Cause:      c,
		ID:         l.id,
		Outcome:    outcome,
		Phase:      phase,
		Idempotent: l.state.idempotent,
		Sends:      len(l.state.sends),
	}
	releases := l.releases
	l.releases = nil
	l.mu.Unlock()

	l.cancel(errors.Newf("request ended: %s", c.Reason))
	defer close(l.done)
	releaseAll(releases)
	return true
}

// Recover ends the request if the goroutine panics. It is deferred directly. The
// panic goes no further.
func (l *Life) Recover() {
	if v := recover(); v != nil {
		l.End(CauseOf(Internal, figerror.Newf("handle", "", "panic: %v", v)))
	}
}
