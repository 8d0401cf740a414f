package figpipeline

import (
	"context"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// maxAttempts bounds the tries of one request, whatever the retry budget allows.
const maxAttempts = 4

// activeRequest is one request on its way.
type activeRequest struct {
	*Flow
	*Call

	reply *Reply
	lifecycle  *figlifecycle.Life
	// prefillTokens counts the prompt tokens that prefill servers computed for it, in
	// all tries.
	prefillTokens int64
	// streaming says that the answer began as a stream.
	streaming bool
	// relayedTokens counts the tokens that went to the caller of a stream.
	relayedTokens int
	excludedServers  []string

	// decodeMayRun says that a server may be making the answer.
	decodeMayRun atomic.Bool
	// mayHaveRun says that a server may have worked on the request.
	mayHaveRun                       atomic.Bool
	promptTokens, outputTokens atomic.Int64
	firstToken, lastToken      time.Time
}

// trackedSend is one send, with what it does to the charge.
type trackedSend struct {
	*figlifecycle.Send

	request *activeRequest
	// mayHaveRunBefore says whether an earlier send may have been worked on.
	mayHaveRunBefore bool
}

// send asks the request's life for a send. From then on the request is charged,
// until the send turns out not to have run.
func (x *activeRequest) send() (*trackedSend, error) {
	ask := x.lifecycle.Send
	if x.streaming {
		ask = x.lifecycle.Resume
	}
	s, err := ask()
	if err != nil {
		return nil, err
	}
	return &trackedSend{Send: s, request: x, mayHaveRunBefore: x.mayHaveRun.Swap(true)}, nil
}

// fail records that the send failed.
func (s *trackedSend) fail(err error) {
	s.Fail(err)
	if figsend.RanOf(err) == figsend.NotRun {
		s.request.mayHaveRun.Store(s.mayHaveRunBefore)
	}
}

// attemptResult is what became of one try.
type attemptResult uint8

const (
	// finished means that the request has its outcome.
	finished attemptResult = iota
	// retry means that it may be tried on other servers.
	retry
)

// runAttempts places the request and tries it, again on other servers as long as the
// retry budget and the deadline allow.
func (x *activeRequest) runAttempts(ctx context.Context, try func(context.Context, *figplace.Placement) (attemptResult, error)) {
	for n := 1; ; n++ {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		v, err := try(ctx, p)
		x.lifecycle.Release("placement")
		if v == finished && err == nil {
			x.Retries.Success(x.Clock.Now())
		}
		if v == finished {
			return
		}
		if n == maxAttempts || !x.Retries.Take(x.Clock.Now()) {
			x.lifecycle.End(figlifecycle.CauseOf(x.failureReason(err), err))
			return
		}
		if !lostConnection(err) && x.Timer.Sleep(ctx, x.Backoff.Delay(n-1)) != nil {
			return
		}
	}
}
