package figpipeline

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/engine/figengine"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// prefillStallFactor times the pool's stall limit is the timeout of a prefill, including the time in
// the server's queue.
const prefillStallFactor = 2

// tryModel runs prefill and decode on the placed servers and relays the tokens to the caller.
func (x *activeRequest) tryModel(ctx context.Context, p *figplace.Placement) (attemptResult, error) {
	prompt := x.modelRequest()
	var result *figengine.PrefillResult
	if p.Prefill.Name != "" {
		var err error
		if result, err = x.prefill(ctx, p, prompt); err != nil {
			if a := clientErrorAnswer(err); a != nil {
				return x.relayClientError(a)
			}
			return x.handleFailure(p, p.Prefill.Name, err)
		}
	}
	if !p.DecodeLeaseValid() {
		return retry, errLeaseExpired
	}
	send, err := x.send()
	if err != nil {
		return finished, err
	}
	x.lifecycle.Advance(figlifecycle.Transferring)
	x.decodeMayRun.Store(true)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var stream *figsend.Stream
	err = x.withStallTimeout(cancel, p.Decode.Name, x.Pool.StallTimeout, func() (err error) {
		stream, err = x.Engine.Decode(ctx, p.Decode, prompt, result)
		return err
	})
	if err != nil {
		x.decodeMayRun.Store(figsend.OutcomeOf(err) != figsend.NotRun)
		send.fail(err)
		return x.handleFailure(p, p.Decode.Name, err)
	}
	defer stream.Close()
	if stream.Answer != nil {
		x.decodeMayRun.Store(false)
		return x.handleEngineError(p, send, stream.Answer)
	}
	err = x.relay(ctx, p, stream)
	if err == nil {
		send.OK()
		x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
		return finished, nil
	}
	send.fail(err)
	if !x.streaming && figsend.KindOf(err) != figsend.KindCancelled || x.canResume(err) {
		return x.handleFailure(p, p.Decode.Name, err)
	}
	if x.lifecycle.End(figlifecycle.CauseOf(streamFailureReason(err), err)) && !isSlowCaller(err) {
		p.ReportFailure(p.Decode.Name, failureKindOf(err))
	}
	return finished, err
}

// withStallTimeout runs step and cancels its context, by cancel, if step takes longer than limit. In
// that case it returns a failure of the kind KindStalled, unless step succeeded all the same.
func (x *activeRequest) withStallTimeout(cancel context.CancelCauseFunc, server string, limit time.Duration, step func() error) error {
	stop := x.Timer.After(limit, func() { cancel(errStalled) })
	err := step()
	if stop() || err == nil {
		return err
	}
	return &figsend.Failure{Kind: figsend.KindStalled, Err: figerror.Wrap(errStalled, x.lifecycle.Phase().String(), server)}
}

// modelRequest returns the request for the engine. If the caller has already received the first tokens
// of the answer, the request continues after them.
func (x *activeRequest) modelRequest() *figengine.ModelRequest {
	return &figengine.ModelRequest{
		ID:        x.ID,
		Path:      x.Path,
		Header:    x.Header,
		Body:      x.Body,
		Secret:    x.Secret,
		Stream:    x.Model.Stream,
		MaxTokens: int(x.Model.OutputTokens),
		Priority:  -x.priority(), // engines serve lower numbers first
		// The tokens already sent to the caller must not be sent again.
		ResumeFrom: x.relayedTokens,
		Deadline:   x.Deadline,
	}
}

// prefill computes the KV cache of the prompt on the prefill server. It waits until StartPrefillAt, so
// that the decode server fetches the result before it expires.
func (x *activeRequest) prefill(ctx context.Context, p *figplace.Placement, prompt *figengine.ModelRequest) (*figengine.PrefillResult, error) {
	if err := x.Timer.Sleep(ctx, p.StartPrefillAt.Sub(x.Clock.Now())); err != nil {
		return nil, err
	}
	send, err := x.send()
	if err != nil {
		return nil, err
	}
	x.lifecycle.Advance(figlifecycle.Prefilling)
	begun := x.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var result *figengine.PrefillResult
	err = x.withStallTimeout(cancel, p.Prefill.Name, prefillStallFactor*x.Pool.StallTimeout, func() (err error) {
		result, err = x.Engine.Prefill(ctx, p.Prefill, prompt)
		return err
	})
	if err != nil {
		send.fail(err)
		return nil, err
	}
	send.OK()
	x.promptTokens.Store(int64(result.PromptTokens))
	x.prefillTokens += int64(result.PromptTokens - result.CachedTokens)
	p.PrefillDone(int64(result.PromptTokens-result.CachedTokens), x.Clock.Now().Sub(begun))
	return result, nil
}

// handleEngineError handles an error status that the decode engine answered instead of a stream. A 5xx
// status counts as a failure of the server; any other is relayed to the caller, because other engines
// would answer the same.
func (x *activeRequest) handleEngineError(p *figplace.Placement, send *trackedSend, a *figsend.Answer) (attemptResult, error) {
	send.OK()
	if a.Status >= 500 {
		return x.handleFailure(p, p.Decode.Name, errEngineFailed)
	}
	return x.relayClientError(a)
}

// relayClientError sends an engine's error answer to the caller. If a stream to the caller has already
// begun, it ends the request as a cut stream instead.
func (x *activeRequest) relayClientError(a *figsend.Answer) (attemptResult, error) {
	if x.streaming {
		x.lifecycle.End(figlifecycle.CauseOf(figlifecycle.StreamCut, errEngineFailed))
		return finished, errEngineFailed
	}
	return finished, x.answer(a.Status, a.Header, a.Body)
}

// canResume says whether another engine may continue a stream that failed with err.
func (x *activeRequest) canResume(err error) bool {
	return x.streaming && x.Pool.Resume && otherServerMaySucceed(err)
}

// streamFailureReason returns the reason with which a request ends when relaying its stream failed
// with err.
func streamFailureReason(err error) figlifecycle.Reason {
	switch {
	case figsend.KindOf(err) == figsend.KindTooLarge:
		return figlifecycle.TooLarge
	case isSlowCaller(err):
		return figlifecycle.SlowCaller
	default:
		return figlifecycle.StreamCut
	}
}
