package figsend

import (
	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figerror"
)

// Outcome says whether the server can have run a request that failed.
type Outcome uint8

const (
	// OutcomeUnknown means that the request may have run. It is the zero value.
	OutcomeUnknown Outcome = iota
	// NotRun means that the server can't have received any byte of the request, or that it refused the request.
	NotRun
)

// String returns the name used in logs and answers.
func (r Outcome) String() string {
	if r == NotRun {
		return "notRun"
	}
	return "unknown"
}

// Kind is the class of a failure, for retry decisions and counters.
type Kind uint8

const (
	// KindOther is an error of no other class, or one without a Failure.
	KindOther Kind = iota
	// KindInvalid means that the call wasn't sent because a part of it is malformed or contains the caller's key.
	KindInvalid
	// KindConnect means that no connection to the server could be established.
	KindConnect
	// KindBusy means that the limit of pooled connections to the server is reached.
	KindBusy
	// KindRefused means that the server refused the request before running it.
	KindRefused
	// KindTimeout means that sending the request or reading the answer exceeded one of the timeouts in Options.
	KindTimeout
	// KindStalled means that the next event of a stream didn't arrive within the stall limit given to Next.
	KindStalled
	// KindIncomplete means that the connection ended before the answer was complete, or that the end of the answer can't
	// be verified.
	KindIncomplete
	// KindMismatched means that the answer carries the id of another request.
	KindMismatched
	// KindMalformed means that the server sent bytes that are no valid answer; see figanswer.
	KindMalformed
	// KindTooLarge means that the answer's body or an event exceeds its size limit.
	KindTooLarge
	// KindCancelled means that the context was cancelled or the stream closed.
	KindCancelled
	// KindDeadline means that the deadline of the call or its context passed.
	KindDeadline
	// KindStatus means that the server answered with a status that the caller can't use.
	KindStatus
)

var kindNames = [...]string{
	"other", "invalid", "connect", "busy", "refused", "silent", "stalled", "cut",
	"crossed", "malformed", "tooLarge", "cancelled", "deadline", "status",
}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// Failure is the error of every failed call. It wraps a figerror.Error, which names the step that failed and the
// server.
type Failure struct {
	// Outcome says whether the server can have run the request.
	Outcome Outcome
	// Kind is the class of the failure.
	Kind Kind
	// Reused says that the connection had carried an earlier request.
	Reused bool
	// Answer is the answer that made the call fail, such as the server's refusal. It is nil for most failures.
	Answer *Answer
	// Err holds the step, the server's name and the cause.
	Err error
}

// Error returns the text of Err, followed by Kind and Outcome in parentheses.
func (f *Failure) Error() string {
	return f.Err.Error() + " (" + f.Kind.String() + ", " + f.Outcome.String() + ")"
}

// Unwrap returns Err.
func (f *Failure) Unwrap() error { return f.Err }

// Step returns the step at which the call failed.
func (f *Failure) Step() string {
	step, _ := figerror.Where(f.Err)
	return step
}

// Peer returns the name of the server.
func (f *Failure) Peer() string {
	_, peer := figerror.Where(f.Err)
	return peer
}

// OutcomeOf returns the Outcome of the Failure in err's chain, OutcomeUnknown if there is none.
func OutcomeOf(err error) Outcome {
	var f *Failure
	if errors.As(err, &f) {
		return f.Outcome
	}
	return OutcomeUnknown
}

// KindOf returns the class of the Failure in err's chain, KindOther if there is none.
func KindOf(err error) Kind {
	var f *Failure
	if errors.As(err, &f) {
		return f.Kind
	}
	return KindOther
}

// fail returns a Failure of call c at step.
func fail(c *Call, step string, kind Kind, ran Outcome, cause error) *Failure {
	return &Failure{Outcome: ran, Kind: kind, Err: figerror.Wrap(cause, step, c.Server.Name)}
}

// AnswerOf returns the Answer of the Failure in err's chain, nil if there is none.
func AnswerOf(err error) *Answer {
	var f *Failure
	if errors.As(err, &f) {
		return f.Answer
	}
	return nil
}
