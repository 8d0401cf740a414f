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

// prefillStallFactor is how many times the stall limit a whole prefill may take, queue
// of the server included.
const prefillStallFactor = 2

// tryModel runs prefill and decode on the placed servers and relays the tokens.
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
	if !p.Holds() {
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
	err = x.withStallTimeout(cancel, p.Decode.Name, x.Pool.StallLimit, func() (err error) {
		stream, err = x.Engine.Decode(ctx, p.Decode, prompt, result)
		return err
	})
	if err != nil {
		x.decodeMayRun.Store(figsend.RanOf(err) != figsend.NotRun)
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
		p.Fail(p.Decode.Name, failureKindOf(err))
	}
	return finished, err
}

// withStallTimeout runs a step that answers with its whole result or its beginning. The
// step counts as stalled, and is cancelled, when it takes longer than limit.
func (x *activeRequest) withStallTimeout(cancel context.CancelCauseFunc, server string, limit time.Duration, step func() error) error {
	stop := x.Timer.After(limit, func() { cancel(errStalled) })
	err := step()
	if stop() || err == nil {
		return err
	}
	return &figsend.Failure{Kind: figsend.KindStalled, Err: figerror.Wrap(errStalled, x.lifecycle.Phase().String(), server)}
}

func (x *activeRequest) modelRequest() *figengine.ModelRequest {
	return &figengine.ModelRequest{
		ID:        x.ID,
		Path:      x.Path,
		Header:    x.Header,
		Body:      x.Body,
		Secret:    x.Secret,
		Stream:    x.Model.Stream,
		MaxTokens: int(x.Model.OutputTokens),
		Priority:  -x.priority(), // an engine serves lower numbers first
		// Tokens that the caller has can't be taken back.
		ResumeFrom: x.relayedTokens,
		Deadline:   x.Deadline,
	}
}

// prefill computes the KV cache, late enough that its result is fetched in time.
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
	err = x.withStallTimeout(cancel, p.Prefill.Name, prefillStallFactor*x.Pool.StallLimit, func() (err error) {
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

// handleEngineError relays an engine's own error answer: it judged the request, so
// another engine would answer alike. A server error is tried elsewhere.
func (x *activeRequest) handleEngineError(p *figplace.Placement, send *trackedSend, a *figsend.Answer) (attemptResult, error) {
	send.OK()
	if a.Status >= 500 {
		return x.handleFailure(p, p.Decode.Name, errEngineFailed)
	}
	return x.relayClientError(a)
}

// relayClientError gives the caller an engine's error answer, unless the answer has
// begun on another engine.
func (x *activeRequest) relayClientError(a *figsend.Answer) (attemptResult, error) {
	if x.streaming {
		x.lifecycle.End(figlifecycle.CauseOf(figlifecycle.StreamCut, errEngineFailed))
		return finished, errEngineFailed
	}
	return finished, x.answer(a.Status, a.Header, a.Body)
}

// canResume says that another engine can go on with an answer that was cut.
func (x *activeRequest) canResume(err error) bool {
	return x.streaming && x.Pool.Resume && otherServerMaySucceed(err)
}

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
