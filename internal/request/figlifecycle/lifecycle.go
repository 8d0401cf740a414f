package figlifecycle

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// Options describes the request for New.
type Options struct {
	// ID is the request id.
	ID string
	// Idempotent says that the route's configuration allows the request to run more than once.
	Idempotent bool
	// TrustRefusals allows a request that isn't idempotent to be sent to another server after
	// a server refused to run it.
	TrustRefusals bool
}

// Cause is why a request ends.
type Cause struct {
	// Reason is the reason given to callers, logs and metrics.
	Reason Reason
	// Detail replaces the reason's sentence in the error body; empty keeps that sentence.
	Detail string
	// Err is the underlying error with step and peer, for logs. It may be nil.
	Err error
	// RetryAfter is how long the caller should wait before a retry; 0 if unknown.
	RetryAfter time.Duration
}

// CauseOf returns a cause without Detail and RetryAfter. err may be nil.
func CauseOf(r Reason, err error) Cause { return Cause{Reason: r, Err: err} }

// Result describes how a request ended.
type Result struct {
	Cause

	// ID is the request id.
	ID string
	// Outcome says whether the request was answered and whether it can have run.
	Outcome Outcome
	// Phase is the phase in which the request ended.
	Phase Phase
	// Idempotent is the value from Options.
	Idempotent bool
	// Sends is the number of sends made for the request.
	Sends int
}

// Step returns the step at which the request failed: the step in Err, or the phase if Err has
// none.
func (r *Result) Step() string {
	if step, _ := figerror.Where(r.Err); step != "" {
		return step
	}
	return r.Phase.String()
}

// registeredRelease is a function that gives back something that the request holds.
type registeredRelease struct {
	name    string
	release func()
}

// Lifecycle is the state machine of one request. It is safe for concurrent use.
type Lifecycle struct {
	id     string
	cancel context.CancelCauseFunc
	done   chan struct{}

	mu       sync.Mutex
	state    state
	releases []*registeredRelease
	result   Result
}

// New returns the lifecycle of a request in phase Received. The returned context is cancelled
// when the request ends. If ctx ends, the caller of New must call End.
func New(ctx context.Context, opts Options) (*Lifecycle, context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	l := &Lifecycle{
		id:     opts.ID,
		cancel: cancel,
		done:   make(chan struct{}),
		state:  state{idempotent: opts.Idempotent, trustRefusals: opts.TrustRefusals},
	}
	return l, ctx
}

// ID returns the request id.
func (l *Lifecycle) ID() string { return l.id }

// Phase returns the current phase.
func (l *Lifecycle) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.phase
}

// Done returns a channel that is closed after the request has ended and all its releases have
// run.
func (l *Lifecycle) Done() <-chan struct{} { return l.done }

// Advance moves the request to a later phase, or back to Queued or Placed for a retry. It
// returns false and changes nothing if the request has ended or the transition isn't allowed.
func (l *Lifecycle) Advance(to Phase) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.advance(to)
}

// ClaimAnswer claims the right to write a server's answer to the caller. It returns true at
// most once, and never after the request has ended.
func (l *Lifecycle) ClaimAnswer() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.claimAnswer()
}

// ClaimError claims the right to write an error to the caller. It returns the result of the
// request, and true if the error must be written: at most once, only after the request has
// ended, and never after ClaimAnswer returned true.
func (l *Lifecycle) ClaimError() (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result, l.state.claimError()
}

// Result returns the result and true, or false if the request has not ended.
func (l *Lifecycle) Result() (Result, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result, l.state.phase == Ended
}

// End ends the request. The first call decides the outcome, cancels the context, runs all
// releases and returns true. Later calls return false at once, possibly while the releases
// still run; wait for Done if that matters.
func (l *Lifecycle) End(c Cause) bool {
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

// Recover ends the request with the reason Internal if the goroutine panics, and stops the
// panic. It must be deferred directly.
func (l *Lifecycle) Recover() {
	if v := recover(); v != nil {
		l.End(CauseOf(Internal, figerror.Newf("handle", "", "panic: %v", v)))
	}
}
