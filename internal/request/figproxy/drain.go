package figproxy

import (
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// drainStartFraction is the fraction of the grace period in which a draining instance still begins requests that may
// last longer than the drain.
const drainStartFraction = 1.0 / 3

// Drain limits what a draining instance begins, so that it doesn't have to abort requests that it could have refused.
// The zero value, for an instance that doesn't drain, allows everything.
type Drain struct {
	// lastStart is when the instance ceases to begin requests that may still run at abortAt. abortAt is when requests
	// that still run are aborted.
	lastStart, abortAt time.Time
}

// DrainFrom returns the limits for a drain that began at begun in an instance that may run for grace from then on, and
// that aborts requests margin before that.
func DrainFrom(begun time.Time, grace, margin time.Duration) Drain {
	return Drain{
		lastStart: begun.Add(time.Duration(drainStartFraction * float64(grace))),
		abortAt:   begun.Add(grace - margin),
	}
}

// Active says whether the instance drains.
func (d Drain) Active() bool { return !d.abortAt.IsZero() }

// AbortAt is when requests that still run are aborted.
func (d Drain) AbortAt() time.Time { return d.abortAt }

// MayStart says whether a request that no server has may be sent to one at now if its answer is due at deadline.
func (d Drain) MayStart(now, deadline time.Time) bool {
	return !d.Active() || now.Before(d.lastStart) || deadline.Before(d.abortAt)
}

var errDrainingLate = errors.New("the instance stops before the request is certain to have ended")

// checkDrain returns an error if the request must not be sent to s any more because the instance drains. A request that
// a server may have already goes on.
func (x *exchange) checkDrain(server string) error {
	if len(x.ranOn) > 0 || x.events > 0 || x.Draining().MayStart(x.Clock.Now(), x.answerDeadline) {
		return nil
	}
	return &figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindInvalid, Err: figerror.Wrap(errDrainingLate, "send", server)}
}

// drainCause returns the cause for ending a request that is refused because the instance drains.
func drainCause(err error) figlifecycle.Cause {
	return figlifecycle.CauseOf(figlifecycle.Draining, err)
}
