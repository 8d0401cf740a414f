package figpipeline

import (
	"context"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// attemptLimit is the maximum number of attempts of one request, whatever the retry budget allows.
const attemptLimit = 4

// activeRequest is the state of one request while Run processes it. Its fields are used on the
// goroutine of Run, except for the atomic ones, which releases may read on another goroutine.
type activeRequest struct {
	*Pipeline
	*Call

	reply     *ResponseWriter
	lifecycle *figlifecycle.Lifecycle
	// prefillTokens counts the prompt tokens that prefill servers computed for the request, without
	// cached tokens, over all attempts.
	prefillTokens int64
	// streaming says whether a streamed answer to the caller has begun.
	streaming bool
	// relayedTokens counts the events with text that were written to the caller's stream, one token
	// each.
	relayedTokens int
	// excludedServers holds the names of servers that failed in an earlier attempt. Placement avoids
	// them as long as other servers are available.
	excludedServers []string

	// decodeMayRun says whether a decode server may still be generating the answer.
	decodeMayRun atomic.Bool
	// mayHaveRun says whether a server may have worked on the request. Only then is the client account
	// charged.
	mayHaveRun                 atomic.Bool
	promptTokens, outputTokens atomic.Int64
	firstToken, lastToken      time.Time
}

// trackedSend is one send to a server. Its failure may undo the charge of the request.
type trackedSend struct {
	*figlifecycle.Send

	request *activeRequest
	// mayHaveRunBefore is the value of mayHaveRun before this send.
	mayHaveRunBefore bool
}

// send asks the request's lifecycle for permission to send. From then on the client account is
// charged, unless the send fails and the error says that the request has not run.
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

// fail records that the send failed. If the request has not run on the server, mayHaveRun gets back
// the value that it had before the send.
func (s *trackedSend) fail(err error) {
	s.Fail(err)
	if figsend.OutcomeOf(err) == figsend.NotRun {
		s.request.mayHaveRun.Store(s.mayHaveRunBefore)
	}
}

// attemptResult says whether an attempt ended the request.
type attemptResult uint8

const (
	// finished means that the request has its outcome.
	finished attemptResult = iota
	// retry means that the request may be placed and attempted again.
	retry
)

// runAttempts places the request and attempts it until an attempt is final or another one isn't
// allowed: by attemptLimit, the retry budget or ctx. Between attempts it waits for the backoff delay,
// except after the loss of a reused connection.
func (x *activeRequest) runAttempts(ctx context.Context, try func(context.Context, *figplace.Placement) (attemptResult, error)) {
	for n := 1; ; n++ {
		p, ok := x.place(ctx)
		if !ok {
			return
		}
		v, err := try(ctx, p)
		x.lifecycle.Release("placement")
		if v == finished && err == nil {
			x.Retries.RecordSuccess(x.Clock.Now())
		}
		if v == finished {
			return
		}
		if n == attemptLimit || !x.Retries.Allow(x.Clock.Now()) {
			x.lifecycle.End(figlifecycle.CauseOf(x.failureReason(err), err))
			return
		}
		if !lostConnection(err) && x.Timer.Sleep(ctx, x.Backoff.Delay(n-1)) != nil {
			return
		}
	}
}
