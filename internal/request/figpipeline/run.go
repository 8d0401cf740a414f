package figpipeline

import (
	"context"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// triesLimit bounds the tries of one request, whatever the retry budget allows.
const triesLimit = 4

// run is one request on its way.
type run struct {
	*Flow
	*Call

	reply *Reply
	life  *figlifecycle.Life
	// prefilled counts the prompt tokens that prefill servers computed for it, in
	// all tries.
	prefilled int64
	// streaming says that the answer began as a stream.
	streaming bool
	// passed counts the tokens that went to the caller of a stream.
	passed int
	avoid  []string

	// decoding says that a server may be making the answer.
	decoding atomic.Bool
	// sent says that a server may have worked on the request.
	sent                       atomic.Bool
	promptTokens, outputTokens atomic.Int64
	firstToken, lastToken      time.Time
}

// sending is one send, with what it does to the charge.
type sending struct {
	*figlifecycle.Send

	run *run
	// before says whether an earlier send may have been worked on.
	before bool
}

// send asks the request's life for a send. From then on the request is charged,
// until the send turns out not to have run.
func (x *run) send() (*sending, error) {
	ask := x.life.Send
	if x.streaming {
		ask = x.life.Resume
	}
	s, err := ask()
	if err != nil {
		return nil, err
	}
	return &sending{Send: s, run: x, before: x.sent.Swap(true)}, nil
}

// fail records that the send failed.
func (s *sending) fail(err error) {
	s.Fail(err)
	if figsend.RanOf(err) == figsend.NotRun {
		s.run.sent.Store(s.before)
	}
}

// verdict is what became of one try.
type verdict uint8

const (
	// ended means that the request has its outcome.
	ended verdict = iota
	// again means that it may be tried on other servers.
	again
)

// serve places the request and tries it, again on other servers as long as the
// retry budget and the deadline allow.
func (x *run) serve(ctx context.Context, try func(context.Context, *figplace.Placement) (verdict, error)) {
	for n := 1; ; n++ {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		v, err := try(ctx, p)
		x.life.Release("placement")
		if v == ended && err == nil {
			x.Retries.Success(x.Clock.Now())
		}
		if v == ended {
			return
		}
		if n == triesLimit || !x.Retries.Take(x.Clock.Now()) {
			x.life.End(figlifecycle.CauseOf(x.failureReason(err), err))
			return
		}
		if !lostConnection(err) && x.Timer.Sleep(ctx, x.Backoff.Delay(n-1)) != nil {
			return
		}
	}
}
