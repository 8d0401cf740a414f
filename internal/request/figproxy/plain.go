package figproxy

import (
	"net/http"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// tryTimeoutTargets is how many times its latency target one try of an idempotent call may
// take before another server is tried: an answer later than that is late anyway,
// and twice the target is beyond what a healthy server takes.
const tryTimeoutTargets = 2

// servePlain serves a call with one whole answer.
func (x *exchange) servePlain() *Reply {
	x.Retries.RecordRequest(x.Clock.Now(), x.pool)
	for {
		s, err := x.pickServer(x.DataCentre, 0, figview.Plain, figview.Decode)
		if err != nil {
			return x.refuse(x.noServerCause(err))
		}
		answer, err := x.sendWhole(s)
		if err == nil && !x.retryServerError(s, answer) {
			return x.relayAnswer(answer)
		}
		if err != nil && !x.takeRetry(s, err) {
			return x.refuse(x.failedSendCause(err))
		}
	}
}

// sendWhole makes one send to s.
func (x *exchange) sendWhole(s *figcatalogue.Server) (*figsend.Answer, error) {
	attempt, err := x.beginSend(s, 0, true, false)
	if err != nil {
		return nil, err
	}
	ctx, cancel := x.withTimeout(x.tryTimeout())
	defer cancel()
	answer, err := x.Sender.Do(ctx, x.sendCall(s, Mark{}))
	err = x.markTryTimeout(ctx, err)
	metadata := x.answerMetadata(answer, err)
	if err == nil && !metadata.Genuine {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotGenuine, "answer", s.Name)}
	}
	x.finishSend(attempt, metadata, err)
	return answer, err
}

// tryTimeout bounds one try; 0 means that only the request's own limit does.
func (x *exchange) tryTimeout() time.Duration {
	if x.route.Kind != figroute.Idempotent || len(x.ranOn)+1 >= x.route.Servers {
		return 0
	}
	return tryTimeoutTargets * x.route.Target
}

// answerMetadata reads the header of an answer, also of one that refused the request.
func (x *exchange) answerMetadata(answer *figsend.Answer, err error) Word {
	if answer == nil {
		if answer = figsend.AnswerOf(err); answer == nil {
			return Word{}
		}
	}
	return x.Dialect.Word(answer.Status, answer.Get)
}

// retryServerError says whether another server is tried after a failure that a server
// answered. The answer is kept for the case that no other does better.
func (x *exchange) retryServerError(s *figcatalogue.Server, answer *figsend.Answer) bool {
	if answer.Status < http.StatusInternalServerError || x.route.Kind != figroute.Idempotent {
		return false
	}
	x.recordRan(s)
	x.serverError = answer
	return x.takeRetry(s, &figsend.Failure{Kind: figsend.KindStatus})
}
