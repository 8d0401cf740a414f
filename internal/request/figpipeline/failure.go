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

// handleFailure tells the placement of a server's failure and says whether the request
// may be tried again. A server is avoided in the next try.
func (x *activeRequest) handleFailure(p *figplace.Placement, server string, err error) (attemptResult, error) {
	if lostConnection(err) {
		return retry, err
	}
	p.Fail(server, failureKindOf(err))
	x.excludedServers = append(x.excludedServers, server)
	unsent := figsend.RanOf(err) == figsend.NotRun && figsend.KindOf(err) != figsend.KindRefused
	if otherServerMaySucceed(err) && (x.Idempotent || unsent) {
		return retry, err
	}
	x.lifecycle.End(figlifecycle.CauseOf(x.failureReason(err), err))
	return finished, err
}

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

// lostConnection says that a kept connection failed, which shows nothing of the
// server: something between the two ends may have lost track of it. Only
// idempotent calls use kept connections, so another one may be tried at once.
func lostConnection(err error) bool {
	var f *figsend.Failure
	if !errors.As(err, &f) || !f.Reused {
		return false
	}
	return f.Kind == figsend.KindSilent || f.Kind == figsend.KindCut
}

// otherServerMaySucceed says that another server can succeed where this one failed.
func otherServerMaySucceed(err error) bool {
	return figsend.Repeatable(err) || errors.Is(err, errEngineFailed) || figsend.KindOf(err) == figsend.KindStatus
}

// clientErrorAnswer returns the answer of an engine that found fault with the request
// itself, so that any other would too; nil if that is not what err says.
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

// failureKindOf says what a failed send shows of the server.
func failureKindOf(err error) figplace.Evidence {
	var f *figsend.Failure
	if errors.As(err, &f) && f.Answer != nil && f.Answer.Status == fasthttp.StatusConflict {
		return figowner.ResultExpired
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return figowner.CallerError
	}
	switch figsend.KindOf(err) {
	case figsend.KindConnect, figsend.KindSilent:
		return figowner.Unreachable
	case figsend.KindStalled, figsend.KindCut:
		return figowner.Stalled
	case figsend.KindRefused:
		return figowner.Refused
	case figsend.KindInvalid, figsend.KindCancelled, figsend.KindDeadline, figsend.KindTooLarge:
		return figowner.CallerError
	default:
		return figowner.ServerError
	}
}
