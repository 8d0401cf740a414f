package figlifecycle

import (
	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// Phase is how far a request has come.
type Phase uint8

const (
	// Received is the phase of a request that was read and not yet admitted.
	Received Phase = iota
	// Admitted means that its tokens are reserved.
	Admitted
	// Queued means that it waits for a place.
	Queued
	// Placed means that a backend server is reserved for it.
	Placed
	// Prefilling means that its prompt is being computed.
	Prefilling
	// Transferring means that its KV cache is on the way.
	Transferring
	// Decoding means that its answer is being made, by any kind of server.
	Decoding
	// Ended means that it has its outcome.
	Ended
	phaseCount
)

var phaseNames = [phaseCount]string{
	"received", "admitted", "queued", "placed", "prefilling", "transferring", "decoding", "ended",
}

// String returns the name used in logs and metrics.
func (p Phase) String() string { return phaseNames[p] }

// Outcome is what became of a request. The set is closed.
type Outcome uint8

const (
	// None is the outcome of a request that has not ended.
	NoOutcome Outcome = iota
	// Answered means that the whole answer was relayed.
	Answered
	// NotRun means that the request was not run by any server.
	NotRun
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown
	// Cancelled means that the caller left before the end.
	Cancelled
	// Cut means that the answer began and can't be completed.
	Cut
	outcomeCount
)

var outcomeNames = [outcomeCount]string{"none", "answered", "notRun", "outcomeUnknown", "cancelled", "cut"}

// String returns the name used in answers, logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

var (
	// ErrEnded is returned for a send of a request that has ended.
	ErrEnded = errors.New("the request has ended")
	// ErrRepeat is returned for a second send of a request that may not be repeated.
	ErrNotRepeatable = errors.New("the request may not be sent again")
	// ErrBegun is returned for a send after the answer has begun.
	ErrAnswerState = errors.New("the answer has begun")
)

// sendState is what is known of one send.
type sendState uint8

const (
	// sendPending is a send without a result yet.
	sendPending sendState = iota
	// sendUnsent is a send of which no byte reached the server.
	sendUnsent
	// sendRefused is a send that the server refused to run.
	sendRefused
	// sendUnknown is a send that failed and may have run.
	sendUnknown
	// sendRan is a send that was answered.
	sendRan
)

// state is the part of a request's life that decides. It holds no lock.
type state struct {
	idempotent    bool
	trustRefusals bool
	phase         Phase
	// claimed says that the first byte of the answer has its writer.
	replyClaimed bool
	// begun says that this writer relays a server's answer.
	answerBegun bool
	sends       []sendState
}

// advance moves to phase. It returns false for an ended request and for a phase
// that doesn't follow. A request may go back to waiting for a place.
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

// send records that a send begins, and returns its number.
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

// repeatable says that no byte of an earlier send can have reached a server, or
// that the servers that it reached refused it and are trusted in this.
func (s *state) repeatable() bool {
	for _, sent := range s.sends {
		if sent != sendUnsent && (sent != sendRefused || !s.trustRefusals) {
			return false
		}
	}
	return true
}

// unrun says that no send can have run.
func (s *state) neverRan() bool {
	for _, sent := range s.sends {
		if sent != sendUnsent && sent != sendRefused {
			return false
		}
	}
	return true
}

// settle records the result of a send. Only the first one counts.
func (s *state) recordResult(number int, to sendState) {
	if s.sends[number] == sendPending {
		s.sends[number] = to
	}
}

// firstByte claims the first byte for a server's answer.
func (s *state) claimAnswer() bool {
	if s.phase == Ended || s.replyClaimed {
		return false
	}
	s.replyClaimed, s.answerBegun = true, true
	return true
}

// reply claims the first byte for an error.
func (s *state) claimError() bool {
	if s.phase != Ended || s.replyClaimed {
		return false
	}
	s.replyClaimed = true
	return true
}

// end gives the request its outcome. It returns None if it has one already.
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

// sendResult translates the error of a send.
func sendStateOf(err error) sendState {
	switch {
	case figsend.RanOf(err) != figsend.NotRun:
		return sendUnknown
	case figsend.KindOf(err) == figsend.KindRefused:
		return sendRefused
	default:
		return sendUnsent
	}
}
