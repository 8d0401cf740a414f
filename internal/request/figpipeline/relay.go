package figpipeline

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// ErrSlowCaller is returned by Reply.Write when the caller doesn't read.
var ErrSlowCaller = errors.New("the caller reads too slowly")

var (
	errEngineFailed = errors.New("the engine answered with a server error")
	// errLeaseExpired says that the place on a server was held too long without a
	// renewal, as after a pause of this process.
	errLeaseExpired = errors.New("the lease of the placement is over")
	errStalled   = errors.New("nothing came within the stall limit")
	errRequestEnded     = errors.New("the request has ended")
	// doneEvent is the marker that ends a whole stream.
	doneEvent = []byte("data: [DONE]\n\n")
)

func isSlowCaller(err error) bool { return errors.Is(err, ErrSlowCaller) }

// relay passes the engine's events on until their proved end. A caller that
// wants no stream gets them joined.
func (x *activeRequest) relay(ctx context.Context, p *figplace.Placement, s *figsend.Stream) error {
	whole := &collector{}
	tokens := int64(0)
	for {
		e, err := s.Next(ctx, x.Pool.StallLimit)
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
			p.Progress(tokens)
		}
		if !x.Model.Stream {
			whole.add(data)
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

// recordProgress follows the progress of the answer: each event with choices is a token,
// until the engine's own usage says better. It returns whether the event is one.
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

// relayEvent hands one event to the caller. The usage event goes only to callers that
// asked for it.
func (x *activeRequest) relayEvent(ctx context.Context, e figsend.Event, data gjson.Result) error {
	if !x.Model.Usage && data.Get("usage").IsObject() && len(data.Get("choices").Array()) == 0 {
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

// hasText says whether an event carries a part of the answer's text.
func hasText(data gjson.Result) bool {
	return data.Get("choices.0.delta.content").Str != "" || data.Get("choices.0.text").Str != ""
}

// writeStream begins the stream with its first part.
func (x *activeRequest) writeStream(ctx context.Context, part []byte) error {
	if !x.streaming {
		if !x.lifecycle.FirstByte() {
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

func (x *activeRequest) answerCollected(c *collector) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	return x.answer(fasthttp.StatusOK, []figsend.Header{
		{Name: fasthttp.HeaderContentType, Value: "application/json"},
	}, body)
}

// answer gives the caller a whole answer. The request ends before, so that a
// caller that leaves as soon as it has the answer doesn't count as gone.
func (x *activeRequest) answer(status int, header []figsend.Header, body []byte) error {
	if !x.lifecycle.FirstByte() {
		return errRequestEnded
	}
	x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
	x.reply.Begin(status, header, body)
	return nil
}
