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

// tryTargets is how many times its latency target one try of an idempotent call may
// take before another server is tried: an answer later than that is late anyway,
// and twice the target is beyond what a healthy server takes.
const tryTargets = 2

// plain serves a call with one whole answer.
func (x *run) plain() *Reply {
	x.Retries.Request(x.Clock.Now(), x.pool)
	for {
		s, err := x.place(x.DataCentre, 0, figview.Plain, figview.Decode)
		if err != nil {
			return x.refuse(x.noServer(err))
		}
		answer, err := x.try(s)
		if err == nil && !x.better(s, answer) {
			return x.answer(answer)
		}
		if err != nil && !x.again(s, err) {
			return x.refuse(x.failed(err))
		}
	}
}

// try makes one send to s.
func (x *run) try(s *figcatalogue.Server) (*figsend.Answer, error) {
	a, err := x.begin(s, 0, true, false)
	if err != nil {
		return nil, err
	}
	ctx, cancel := x.limited(x.tryLimit())
	defer cancel()
	answer, err := x.Sender.Do(ctx, x.request(s, Mark{}))
	err = x.tryError(ctx, err)
	word := x.wordOf(answer, err)
	if err == nil && !word.Genuine {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errForeign, "answer", s.Name)}
	}
	x.settle(a, word, err)
	return answer, err
}

// tryLimit bounds one try; 0 means that only the request's own limit does.
func (x *run) tryLimit() time.Duration {
	if x.route.Kind != figroute.Idempotent || len(x.ran)+1 >= x.route.Servers {
		return 0
	}
	return tryTargets * x.route.Target
}

// wordOf reads the header of an answer, also of one that refused the request.
func (x *run) wordOf(answer *figsend.Answer, err error) Word {
	if answer == nil {
		if answer = figsend.AnswerOf(err); answer == nil {
			return Word{}
		}
	}
	return x.Dialect.Word(answer.Status, answer.Get)
}

// better says whether another server is tried after a failure that a server
// answered. The answer is kept for the case that no other does better.
func (x *run) better(s *figcatalogue.Server, answer *figsend.Answer) bool {
	if answer.Status < http.StatusInternalServerError || x.route.Kind != figroute.Idempotent {
		return false
	}
	x.noteRan(s)
	x.last = answer
	return x.again(s, &figsend.Failure{Kind: figsend.KindStatus})
}
