package figproxy

import (
	"context"
	"net/http"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// tryTimeoutTargets is the timeout of one attempt of an idempotent call, in latency targets
// of the route. After that time the request is sent to another server if one has a place for it:
// the answer has missed the target, and a healthy server takes less than twice the target.
const tryTimeoutTargets = 2

// servePlain serves a request whose answer is a whole body. It retries as the route's kind
// and the retry budget allow.
func (x *exchange) servePlain() *Reply {
	x.Retries.RecordRequest(x.Clock.Now(), x.pool)
	for {
		answer, s, err := x.sendToAny()
		if s == nil {
			return x.refuse(x.noServerCause(err))
		}
		if err == nil && !x.retryServerError(s, answer) {
			return x.relayAnswer(answer)
		}
		if err != nil && !x.takeRetry(s, err) {
			return x.refuse(x.failedSendCause(err))
		}
	}
}

// sendToAny sends the request to a server and returns the whole answer. The returned server is nil if none could be
// reserved.
func (x *exchange) sendToAny() (*figsend.Answer, *figcatalogue.Server, error) {
	if x.replacement != nil {
		r := x.takeReplacement()
		return r.answer, r.server, r.err
	}
	s, err := x.reservePlain()
	if err != nil {
		return nil, nil, err
	}
	answer, err := x.sendWhole(s)
	return answer, s, err
}

// plainWaitFraction is the longest wait for a free server of a plain service, as a fraction of the
// latency target, for retries and while the duration of the pool's calls isn't known: an answer after
// it can still be in time.
const plainWaitFraction = 0.3

// reservePlain asks for a place at a server, which becomes x.placement.
func (x *exchange) reservePlain() (*figcatalogue.Server, error) {
	now := x.Clock.Now()
	deadline := now.Add(x.plainWait(now))
	if deadline.After(x.answerDeadline) {
		deadline = x.answerDeadline
	}
	importance := x.importance()
	request := &figcoordinator.Request{
		Pool: x.pool, DataCentre: x.DataCentre, Priority: x.queuePriority(x.sends > 0, false), Wait: deadline.Sub(now),
		Lasts: x.callerDeadline.Sub(now) + placementMargin, NoPrefill: true, Excluded: x.avoid,
		Importance: importance.value, AccountImportance: importance.own, RouteImportance: importance.route, Age: x.age(now),
	}
	if x.account != nil {
		request.Account = x.account.Name
	}
	var err error
	x.view = x.View()
	if x.placement, err = x.Placer.Place(x.ctx, request); err != nil {
		return nil, err
	}
	return x.placement.Decode, nil
}

// sendWhole sends the request to s once and returns the whole answer. An answer that the
// server's application didn't write is an error, returned along with that answer.
func (x *exchange) sendWhole(s *figcatalogue.Server) (*figsend.Answer, error) {
	defer x.releasePlacement()
	if err := x.checkDrain(s.Name); err != nil {
		return nil, err
	}
	attempt, err := x.beginSend(s, 0, true, false)
	if err != nil {
		return nil, err
	}
	attempt.placement, x.placement = x.placement, nil
	ctx, cancel := context.WithCancelCause(x.ctx)
	defer cancel(nil)
	watch := x.watchSilence(s, x.tryTimeout(s), "", false, func() { cancel(errTryTimeout) })
	answer, err := x.Sender.Do(ctx, x.sendCall(s, SendMetadata{}))
	err = x.markTryTimeout(ctx, err)
	metadata := x.answerMetadata(answer, err)
	if err == nil && !metadata.FromApplication {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotFromApplication, "answer", s.Name)}
	}
	if err == nil && answer.Status < http.StatusInternalServerError {
		watch.answered(x)
	} else {
		watch.failed(x)
	}
	x.finishSend(attempt, metadata, err)
	return answer, err
}

// tryTimeout returns the time after which another server is looked for, or 0 if only the request's own deadline
// applies: for routes that are not idempotent, and for the last server allowed.
func (x *exchange) tryTimeout(s *figcatalogue.Server) time.Duration {
	if x.route.Kind != figroute.Idempotent || x.isLastServer(s) {
		return 0
	}
	return tryTimeoutTargets * x.route.LatencyTarget
}

// answerMetadata reads the header of answer, or of the refusal in err if answer is nil. It
// returns the zero value if there is neither.
func (x *exchange) answerMetadata(answer *figsend.Answer, err error) AnswerMetadata {
	if answer == nil {
		if answer = figsend.AnswerOf(err); answer == nil {
			return AnswerMetadata{}
		}
	}
	return x.Dialect.ReadAnswer(answer.Status, answer.Get)
}

// retryServerError says whether the request is sent again because s answered it with a 5xx
// status on an idempotent route. The answer is kept, to be relayed if no retry succeeds.
func (x *exchange) retryServerError(s *figcatalogue.Server, answer *figsend.Answer) bool {
	if answer.Status < http.StatusInternalServerError || x.route.Kind != figroute.Idempotent {
		return false
	}
	x.recordRan(s)
	x.serverError = answer
	return x.takeRetry(s, &figsend.Failure{Kind: figsend.KindStatus})
}
