package figlifecycle

import (
	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// Phase is the stage of processing that a request has reached.
type Phase uint8

const (
	// Received means that the request has been read and not yet admitted.
	Received Phase = iota
	// Admitted means that the rate limit or budget of the account allows the request.
	Admitted
	// Queued means that the request waits for room at a server.
	Queued
	// Placed means that room at a backend server is reserved for the request.
	Placed
	// Prefilling means that a server computes the prompt.
	Prefilling
	// Transferring means that the KV cache is transferred to the decode server.
	Transferring
	// Decoding means that a server produces the answer. It is used for all kinds of servers.
	Decoding
	// Ended means that the request has its outcome.
	Ended
	phaseCount
)

var phaseNames = [phaseCount]string{
	"received", "admitted", "queued", "placed", "prefilling", "transferring", "decoding", "ended",
}

// String returns the name used in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Outcome says whether a request was answered and whether it can have run.
type Outcome uint8

const (
	// NoOutcome is the outcome of a request that has not ended yet.
	NoOutcome Outcome = iota
	// Answered means that the whole answer was relayed.
	Answered
	// NotRun means that no server ran the request.
	NotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Cancelled means that the caller closed the connection before the answer was complete.
	Cancelled
	// Cut means that the answer was begun and couldn't be completed.
	Cut
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"none", "answered", "notRun", "outcomeUnknown", "cancelled", "cut"}

// String returns the name used in answers, logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

var (
	// ErrEnded is returned by Send and Resume after the request has ended.
	ErrEnded = errors.New("the request has ended")
	// ErrNotRepeatable is returned by Send and Resume if the request isn't idempotent and an
	// earlier send may have reached a server. With Options.TrustRefusals, sends that the server
	// refused don't count.
	ErrNotRepeatable = errors.New("an earlier send may have reached a server, so the request must not be sent again")
	// ErrAnswerState is returned by Send after the answer has begun, and by Resume before.
	ErrAnswerState = errors.New("the answer has begun before a send, or has not begun before a resume")
)

// sendState says whether a send can have run.
type sendState uint8

const (
	// sendPending means that the send has no result yet; it may have run.
	sendPending sendState = iota
	// sendUnsent means that no byte of the send reached the server.
	sendUnsent
	// sendRefused means that the server refused to run the request.
	sendRefused
	// sendUnknown means that the send failed and may have run.
	sendUnknown
	// sendRan means that the server answered.
	sendRan
)

// state holds the data and makes the decisions of a Lifecycle. It is not safe for concurrent
// use.
type state struct {
	idempotent    bool
	trustRefusals bool
	phase         Phase
	// replyClaimed says that the right to write to the caller has been claimed, for a server's
	// answer or for an error.
	replyClaimed bool
	// answerBegun says that it was claimed for a server's answer.
	answerBegun bool
	sends       []sendState
}

// advance moves to a later phase, or from Placed or later back to Queued or Placed. It returns
// false if the request has ended or the transition isn't allowed.
func (s *state) advance(to Phase) bool {
	if s.phase == Ended || to >= Ended {
		return false
	}
	retry := (to == Queued || to == Placed) && s.phase >= Placed
	if to <= s.phase && !retry {
		return false
	}
	s.phase = to
	return true
}

// send records a new send and returns its index in sends, or the reason why it isn't allowed.
func (s *state) send(resume bool) (int, error) {
	switch {
	case s.phase == Ended:
		return 0, ErrEnded
	case s.replyClaimed != resume:
		return 0, ErrAnswerState
	case !s.idempotent && !s.repeatable():
		return 0, ErrNotRepeatable
	}
	s.sends = append(s.sends, sendPending)
	return len(s.sends) - 1, nil
}

// repeatable says that each earlier send is unsent, or refused if refusals are trusted.
func (s *state) repeatable() bool {
	for _, sent := range s.sends {
		if sent != sendUnsent && (sent != sendRefused || !s.trustRefusals) {
			return false
		}
	}
	return true
}

// neverRan says that all sends are unsent or refused, so that none of them ran.
func (s *state) neverRan() bool {
	for _, sent := range s.sends {
		if sent != sendUnsent && sent != sendRefused {
			return false
		}
	}
	return true
}

// recordResult records the result of a send. Only the first result counts.
func (s *state) recordResult(number int, to sendState) {
	if s.sends[number] == sendPending {
		s.sends[number] = to
	}
}

// claimAnswer claims the right to write to the caller, for a server's answer.
func (s *state) claimAnswer() bool {
	if s.phase == Ended || s.replyClaimed {
		return false
	}
	s.replyClaimed, s.answerBegun = true, true
	return true
}

// claimError claims the right to write to the caller, for an error.
func (s *state) claimError() bool {
	if s.phase != Ended || s.replyClaimed {
		return false
	}
	s.replyClaimed = true
	return true
}

// end ends the request and returns its outcome, or NoOutcome if it had already ended.
func (s *state) end(r Reason) Outcome {
	if s.phase == Ended {
		return NoOutcome
	}
	s.phase = Ended
	switch {
	case r == Done && s.answerBegun:
		return Answered
	case r == CallerGone:
		return Cancelled
	case s.answerBegun:
		return Cut
	case s.neverRan():
		return NotRun
	default:
		return OutcomeUnknown
	}
}

// sendStateOf returns the state of a send that failed with err.
func sendStateOf(err error) sendState {
	switch {
	case figsend.OutcomeOf(err) != figsend.NotRun:
		return sendUnknown
	case figsend.KindOf(err) == figsend.KindRefused:
		return sendRefused
	default:
		return sendUnsent
	}
}
