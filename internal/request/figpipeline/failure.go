package figpipeline

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// handleFailure reports a server's failure to the placement, excludes the server from the next
// attempt, and returns whether the request may be retried; if not, it ends the request. The loss of a
// reused connection is retried without a report, see lostConnection.
func (x *activeRequest) handleFailure(p *figplace.Placement, server string, err error) (attemptResult, error) {
	if lostConnection(err) {
		return retry, err
	}
	p.ReportFailure(server, failureKindOf(err))
	x.excludedServers = append(x.excludedServers, server)
	unsent := figsend.OutcomeOf(err) == figsend.NotRun && figsend.KindOf(err) != figsend.KindRefused
	if otherServerMaySucceed(err) && (x.Idempotent || unsent) {
		return retry, err
	}
	x.lifecycle.End(figlifecycle.CauseOf(x.failureReason(err), err))
	return finished, err
}

// failureReason returns the reason with which a request ends when its last send failed with err.
func (x *activeRequest) failureReason(err error) figlifecycle.Reason {
	if x.streaming {
		return figlifecycle.StreamCut
	}
	switch figsend.KindOf(err) {
	case figsend.KindTooLarge:
		return figlifecycle.TooLarge
	case figsend.KindInvalid:
		return figlifecycle.BadRequest
	case figsend.KindDeadline:
		return figlifecycle.Deadline
	default:
		return figlifecycle.ServerFailed
	}
}

// lostConnection says whether a reused connection timed out or was closed. That says nothing about the
// server, because a device in between may have dropped the connection's state. Only idempotent calls
// use pooled connections, so the request can be sent again at once.
func lostConnection(err error) bool {
	var f *figsend.Failure
	if !errors.As(err, &f) || !f.Reused {
		return false
	}
	return f.Kind == figsend.KindTimeout || f.Kind == figsend.KindIncomplete
}

// otherServerMaySucceed says whether the request may succeed on another server after err.
func otherServerMaySucceed(err error) bool {
	return figsend.Retryable(err) || errors.Is(err, errEngineFailed) || figsend.KindOf(err) == figsend.KindStatus
}

// clientErrorAnswer returns the engine's answer if err holds one with a 4xx status, and nil otherwise.
// Such an answer is about the request itself, so other engines would give the same.
func clientErrorAnswer(err error) *figsend.Answer {
	var f *figsend.Failure
	if !errors.As(err, &f) || f.Kind != figsend.KindStatus || f.Answer == nil {
		return nil
	}
	if f.Answer.Status < 400 || f.Answer.Status >= 500 {
		return nil
	}
	return f.Answer
}

// failureKindOf returns what kind of server failure err is, for the health of the server.
func failureKindOf(err error) figplace.FailureKind {
	var f *figsend.Failure
	if errors.As(err, &f) && f.Answer != nil && f.Answer.Status == fasthttp.StatusConflict {
		return figowner.ResultExpired
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return figowner.CallerError
	}
	switch figsend.KindOf(err) {
	case figsend.KindConnect, figsend.KindTimeout:
		return figowner.Unreachable
	case figsend.KindStalled, figsend.KindIncomplete:
		return figowner.StreamFailed
	case figsend.KindRefused:
		return figowner.Refused
	case figsend.KindInvalid, figsend.KindCancelled, figsend.KindDeadline, figsend.KindTooLarge:
		return figowner.CallerError
	default:
		return figowner.ServerError
	}
}
