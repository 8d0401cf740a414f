package figpipeline

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// ErrSlowCaller is returned by ResponseWriter.Write when the caller doesn't read the stream fast
// enough.
var ErrSlowCaller = errors.New("the caller reads the stream too slowly")

var (
	errEngineFailed = errors.New("the engine answered with a server error")
	// errLeaseExpired says that the lease on the decode server became invalid before the request was
	// sent there: it expired, for example because this process was paused, or another request has
	// failed on that server.
	errLeaseExpired = errors.New("the lease on the decode server is no longer valid")
	errStalled      = errors.New("no answer within the stall limit")
	errRequestEnded = errors.New("the request has ended")
	// doneEvent is the last event of a complete stream.
	doneEvent = []byte("data: [DONE]\n\n")
)

func isSlowCaller(err error) bool { return errors.Is(err, ErrSlowCaller) }

// relay sends the engine's events to the caller until the engine's end marker. If the caller doesn't
// want a stream, it sends one answer built from all events. It returns an error if the stream fails or
// ends without the marker, if the engine sends an error event, or if the caller can't be written to.
func (x *activeRequest) relay(ctx context.Context, p *figplace.Placement, s *figsend.Stream) error {
	whole := &collector{hold: func(n int64) error { return x.Hold(ctx, n) }}
	tokens := int64(0)
	for {
		e, err := s.Next(ctx, x.Pool.StallTimeout)
		if errors.Is(err, io.EOF) {
			x.decodeMayRun.Store(false)
			break
		}
		if err != nil {
			return err
		}
		data := gjson.ParseBytes(e.Data)
		if data.Get("error").Exists() {
			return errors.Newf("the engine sent an error: %s", data.Get("error.type").Str)
		}
		if x.recordProgress(data) {
			tokens++
			p.SetGeneratedTokens(tokens)
		}
		if !x.Model.Stream {
			if err := whole.add(data); err != nil {
				return collectFailure(p.Decode.Name, err)
			}
			continue
		}
		if err := x.relayEvent(ctx, e, data); err != nil {
			return err
		}
	}
	if x.Model.Stream {
		return x.writeStream(ctx, doneEvent)
	}
	return x.answerCollected(whole)
}

// collectFailure returns the failure of an answer of server that can't be collected because of err.
func collectFailure(server string, err error) error {
	kind := figsend.KindDeadline
	if errors.Is(err, errCollectedTooLarge) {
		kind = figsend.KindTooLarge
	}
	return &figsend.Failure{Kind: kind, Err: figerror.Wrap(err, "collect", server)}
}

// recordProgress updates the token counts and times, and returns whether the event counts as a token,
// which is so if it has choices. A usage object in the event replaces the counts.
func (x *activeRequest) recordProgress(data gjson.Result) bool {
	usage := data.Get("usage")
	if usage.IsObject() {
		x.promptTokens.Store(usage.Get("prompt_tokens").Int())
		x.outputTokens.Store(usage.Get("completion_tokens").Int())
	}
	if len(data.Get("choices").Array()) == 0 {
		return false
	}
	if !usage.IsObject() {
		x.outputTokens.Add(1)
	}
	now := x.Clock.Now()
	if x.firstToken.IsZero() {
		x.lifecycle.Advance(figlifecycle.Decoding)
		x.firstToken = now
	}
	x.lastToken = now
	return true
}

// relayEvent writes one event to the caller's stream. An event with only the usage is omitted if the
// caller did not ask for it.
func (x *activeRequest) relayEvent(ctx context.Context, e figsend.Event, data gjson.Result) error {
	if !x.Model.IncludeUsage && data.Get("usage").IsObject() && len(data.Get("choices").Array()) == 0 {
		return nil
	}
	if err := x.writeStream(ctx, figsend.AppendEvent(make([]byte, 0, len(e.Data)+16), e)); err != nil {
		return err
	}
	if hasText(data) {
		x.relayedTokens++
	}
	return nil
}

// hasText says whether the event carries text of the answer.
func hasText(data gjson.Result) bool {
	return data.Get("choices.0.delta.content").Str != "" || data.Get("choices.0.text").Str != ""
}

// writeStream writes part to the caller's stream, and begins the stream if it has not begun.
func (x *activeRequest) writeStream(ctx context.Context, part []byte) error {
	if !x.streaming {
		if !x.lifecycle.ClaimAnswer() {
			return errRequestEnded
		}
		x.streaming = true
		x.reply.Begin(fasthttp.StatusOK, streamHeader(), nil)
	}
	return x.reply.Write(ctx, part)
}

func streamHeader() []figsend.Header {
	return []figsend.Header{
		{Name: fasthttp.HeaderContentType, Value: "text/event-stream"},
		{Name: fasthttp.HeaderCacheControl, Value: "no-cache"},
	}
}

// answerCollected sends the answer built from the events of a stream.
func (x *activeRequest) answerCollected(c *collector) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	return x.answer(fasthttp.StatusOK, []figsend.Header{
		{Name: fasthttp.HeaderContentType, Value: "application/json"},
	}, body)
}

// answer sends a complete answer. It ends the request first: a caller that closes the connection as
// soon as it has the answer must not count as CallerGone.
func (x *activeRequest) answer(status int, header []figsend.Header, body []byte) error {
	if !x.lifecycle.ClaimAnswer() {
		return errRequestEnded
	}
	x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
	x.reply.Begin(status, header, body)
	return nil
}
