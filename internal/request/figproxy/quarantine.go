package figproxy

import (
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/place/figquarantine"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// quarantineError is the error of a request whose prompt contains a quarantined part.
type quarantineError struct {
	// wait is the time until the part may be tried again.
	wait time.Duration
	err  error
}

// Error returns the text of the error, which names the part.
func (e *quarantineError) Error() string { return e.err.Error() }

// Unwrap returns the error with the step and the part.
func (e *quarantineError) Unwrap() error { return e.err }

// checkQuarantine returns a quarantineError if the prompt contains a quarantined part, unless the request is
// to try whether servers survive it.
func (x *exchange) checkQuarantine() error {
	finding, trial := x.Quarantine.Find(x.SharedParts)
	x.trial = trial
	if finding == nil || trial {
		return nil
	}
	return x.quarantined(finding)
}

// checkQuarantineAtSend is like checkQuarantine for a request that is about to be sent. Only one
// request gets each trial.
func (x *exchange) checkQuarantineAtSend() error {
	finding, trial := x.Quarantine.TakeTrial(x.SharedParts)
	if finding == nil {
		return nil
	}
	if trial {
		klog.InfoS("trying a prompt with a quarantined part", "requestId", x.ID, "part", finding.Part)
		return nil
	}
	return x.quarantined(finding)
}

// quarantined counts a refusal and returns its error.
func (x *exchange) quarantined(f *figquarantine.Finding) error {
	x.Count("quarantine_refusals", "kind", x.route.Kind.String())
	return &quarantineError{f.Wait, figerror.New("quarantine", f.Part, "servers crash on this part of the prompt")}
}

// quarantineCause returns the cause for ending a request that checkQuarantine returned err for.
func quarantineCause(err error) figlifecycle.Cause {
	cause := figlifecycle.CauseOf(figlifecycle.Quarantined, err)
	var e *quarantineError
	if errors.As(err, &e) {
		cause.RetryAfter = e.wait
	}
	return cause
}

// isQuarantined reports whether checkQuarantine returned err.
func isQuarantined(err error) bool {
	var e *quarantineError
	return errors.As(err, &e)
}

// recordEvidence notes what a send that ended at now with err tells about the prompt: that the server has answered it in
// full, or that its connection broke before. requestEnded says that the router broke off the send.
func (x *exchange) recordEvidence(a *attempt, now time.Time, metadata AnswerMetadata, requestEnded bool, err error) {
	switch {
	case err == nil && a.send != nil && !metadata.ApplicationError:
		x.Quarantine.RecordAnswer(x.pool, x.SharedParts, a.answeredFor(now))
	case figsend.KindOf(err) == figsend.KindIncomplete && !requestEnded:
		x.Quarantine.Suspect(a.server, x.SharedParts, a.answeredFor(now))
	}
}

// progressInterval is the time between two reports that a stream goes on.
const progressInterval = 500 * time.Millisecond

// recordProgress notes an event of a stream.
func (x *exchange) recordProgress(a *attempt, now time.Time) {
	switch {
	case a.firstEventAt.IsZero():
		a.firstEventAt, a.reportedAt = now, now
	case now.Sub(a.reportedAt) >= progressInterval:
		a.reportedAt = now
		x.Quarantine.RecordProgress(x.SharedParts, a.answeredFor(now))
	}
}

// answeredFor returns the time since the first event, or 0 before that and for answers without events.
func (a *attempt) answeredFor(now time.Time) time.Duration {
	if a.firstEventAt.IsZero() {
		return 0
	}
	return now.Sub(a.firstEventAt)
}
