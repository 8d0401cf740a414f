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

// prefillStalls is how many times the stall limit a whole prefill may take, queue
// of the server included.
const prefillStalls = 2

// tryModel runs prefill and decode on the placed servers and relays the tokens.
func (x *run) tryModel(ctx context.Context, p *figplace.Placement) (verdict, error) {
	prompt := x.prompt()
	var result *figengine.PrefillResult
	if p.Prefill.Name != "" {
		var err error
		if result, err = x.prefill(ctx, p, prompt); err != nil {
			if a := judged(err); a != nil {
				return x.relayJudgement(a)
			}
			return x.failed(p, p.Prefill.Name, err)
		}
	}
	if !p.Holds() {
		return again, errLeaseOver
	}
	send, err := x.send()
	if err != nil {
		return ended, err
	}
	x.life.Advance(figlifecycle.Transferring)
	x.decoding.Store(true)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var stream *figsend.Stream
	err = x.limited(cancel, p.Decode.Name, x.Pool.StallLimit, func() (err error) {
		stream, err = x.Engine.Decode(ctx, p.Decode, prompt, result)
		return err
	})
	if err != nil {
		x.decoding.Store(figsend.RanOf(err) != figsend.NotRun)
		send.fail(err)
		return x.failed(p, p.Decode.Name, err)
	}
	defer stream.Close()
	if stream.Answer != nil {
		x.decoding.Store(false)
		return x.engineRefusal(p, send, stream.Answer)
	}
	err = x.relay(ctx, p, stream)
	if err == nil {
		send.OK()
		x.life.End(figlifecycle.Cause{Reason: figlifecycle.Done})
		return ended, nil
	}
	send.fail(err)
	if !x.streaming && figsend.KindOf(err) != figsend.KindCancelled || x.resumes(err) {
		return x.failed(p, p.Decode.Name, err)
	}
	if x.life.End(figlifecycle.CauseOf(cutReason(err), err)) && !isSlowCaller(err) {
		p.Fail(p.Decode.Name, evidenceOf(err))
	}
	return ended, err
}

// limited runs a step that answers with its whole result or its beginning. The
// step counts as stalled, and is cancelled, when it takes longer than limit.
func (x *run) limited(cancel context.CancelCauseFunc, server string, limit time.Duration, step func() error) error {
	stop := x.Timer.After(limit, func() { cancel(errStalled) })
	err := step()
	if stop() || err == nil {
		return err
	}
	return &figsend.Failure{Kind: figsend.KindStalled, Err: figerror.Wrap(errStalled, x.life.Phase().String(), server)}
}

func (x *run) prompt() *figengine.Prompt {
	return &figengine.Prompt{
		ID:        x.ID,
		Path:      x.Path,
		Header:    x.Header,
		Body:      x.Body,
		Secret:    x.Secret,
		Stream:    x.Model.Stream,
		MaxTokens: int(x.Model.OutputTokens),
		Priority:  -x.priority(), // an engine serves lower numbers first
		// Tokens that the caller has can't be taken back.
		ResumeFrom: x.passed,
		Deadline:   x.Deadline,
	}
}

// prefill computes the KV cache, late enough that its result is fetched in time.
func (x *run) prefill(ctx context.Context, p *figplace.Placement, prompt *figengine.Prompt) (*figengine.PrefillResult, error) {
	if err := x.Timer.Sleep(ctx, p.StartPrefillAt.Sub(x.Clock.Now())); err != nil {
		return nil, err
	}
	send, err := x.send()
	if err != nil {
		return nil, err
	}
	x.life.Advance(figlifecycle.Prefilling)
	begun := x.Clock.Now()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var result *figengine.PrefillResult
	err = x.limited(cancel, p.Prefill.Name, prefillStalls*x.Pool.StallLimit, func() (err error) {
		result, err = x.Engine.Prefill(ctx, p.Prefill, prompt)
		return err
	})
	if err != nil {
		send.fail(err)
		return nil, err
	}
	send.OK()
	x.promptTokens.Store(int64(result.PromptTokens))
	x.prefilled += int64(result.PromptTokens - result.CachedTokens)
	p.PrefillDone(int64(result.PromptTokens-result.CachedTokens), x.Clock.Now().Sub(begun))
	return result, nil
}

// engineRefusal relays an engine's own error answer: it judged the request, so
// another engine would answer alike. A server error is tried elsewhere.
func (x *run) engineRefusal(p *figplace.Placement, send *sending, a *figsend.Answer) (verdict, error) {
	send.OK()
	if a.Status >= 500 {
		return x.failed(p, p.Decode.Name, errEngine)
	}
	return x.relayJudgement(a)
}

// relayJudgement gives the caller an engine's error answer, unless the answer has
// begun on another engine.
func (x *run) relayJudgement(a *figsend.Answer) (verdict, error) {
	if x.streaming {
		x.life.End(figlifecycle.CauseOf(figlifecycle.StreamCut, errEngine))
		return ended, errEngine
	}
	return ended, x.answer(a.Status, a.Header, a.Body)
}

// resumes says that another engine can go on with an answer that was cut.
func (x *run) resumes(err error) bool {
	return x.streaming && x.Pool.Resume && mayMend(err)
}

func cutReason(err error) figlifecycle.Reason {
	switch {
	case figsend.KindOf(err) == figsend.KindTooLarge:
		return figlifecycle.TooLarge
	case isSlowCaller(err):
		return figlifecycle.SlowCaller
	default:
		return figlifecycle.StreamCut
	}
}
