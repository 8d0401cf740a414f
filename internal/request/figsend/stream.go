package figsend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/request/figanswer"
)

const (
	// streamBufferBytes is the size of a stream's read buffer. It is small because an instance holds thousands of
	// streams.
	streamBufferBytes = 2 << 10
	// lineBufferBytes is the size of the buffer from which lines are read. Longer lines are copied together.
	lineBufferBytes = 512
)

var (
	errNoEndMarker = errors.New("the stream ended without its end marker")
	errClosed      = errors.New("the stream is closed")
)

// Stream is an answer whose body is read event by event. Only one goroutine may call Next at a time; any goroutine may
// call Close.
type Stream struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end header fields, without the request id.
	Header []Header
	// Answer is set if the answer's content type is not text/event-stream. It is then complete, and Next returns
	// io.EOF.
	Answer *Answer
	// ConnectionID identifies the connection that carries the stream. It is unique within the Sender.
	ConnectionID uint64

	exchange *exchange
	events   eventReader
	once     sync.Once
	givenUp  atomic.Bool
	closed   chan struct{}
	endErr   error
	// hasFraming says that the body has a content length or chunked encoding, so that a truncated body is detected.
	hasFraming bool
	// reusable says that the connection may return to the pool after a complete stream.
	reusable bool
	// source is the reader of the connection, from which the body is read. It reads rest first.
	source *bufio.Reader
	// rest holds what had been read with the header.
	rest *bytes.Reader
}

// Stream sends c once and returns when the header of the answer has arrived. It uses a new connection, unless
// c.KeepAlive is set. If the content type isn't text/event-stream, it reads the complete answer and treats a refusal
// as Do does. All errors are of type *Failure. The caller must close the stream.
func (s *Sender) Stream(ctx context.Context, c *Call) (*Stream, error) {
	x, f := s.send(ctx, c, sendMode{pooled: c.KeepAlive, streaming: true})
	if f != nil {
		return nil, f
	}
	if f := x.readHeader(); f != nil {
		x.finish(false)
		return nil, f
	}
	r := x.response
	if !bytes.HasPrefix(r.Header.ContentType(), []byte("text/event-stream")) {
		return x.readWhole()
	}
	hasFraming := figanswer.IsFramed(&r.Header)
	if !hasFraming && x.sender.opts.AllowCloseDelimited && !x.allowsCloseDelimited() {
		x.finish(false)
		return nil, fail(c, "stream", KindIncomplete, OutcomeUnknown, errUnframed)
	}
	reusable := x.call.KeepAlive && !r.ConnectionClose()
	x.call = x.call.withoutBody()
	t := &Stream{
		Status:       r.StatusCode(),
		Header:       s.endToEndFields(&r.Header),
		ConnectionID: x.conn.id,
		exchange:     x,
		closed:       make(chan struct{}),
		hasFraming:   hasFraming,
		reusable:     reusable,
	}
	t.source, t.rest = x.shrinkReader()
	x.held.ctx, x.held.cancel = context.WithCancel(ctx)
	t.events = newEventReader(figanswer.Body(t.source, &r.Header), s.opts.EventFields, &x.held)
	x.response = nil
	fasthttp.ReleaseResponse(r)
	return t, nil
}

// shrinkReader returns the large reader of the header to its pool. It returns a small one for the stream, which begins
// with rest, the bytes that the large one had buffered.
func (x *exchange) shrinkReader() (source *bufio.Reader, rest *bytes.Reader) {
	buffered, _ := x.reader.Peek(x.reader.Buffered())
	rest = bytes.NewReader(bytes.Clone(buffered))
	x.reader.Reset(nil)
	readers.Put(x.reader)
	x.reader = nil
	return bufio.NewReaderSize(io.MultiReader(rest, x.conn), streamBufferBytes), rest
}

// readWhole reads an answer that is not an event stream and returns it as a Stream without events.
func (x *exchange) readWhole() (*Stream, error) {
	answer, f := x.readBody()
	var err error
	if f == nil {
		answer, err = x.checkRefusal(answer)
	}
	x.finish(f == nil && x.call.KeepAlive && x.hasFraming() && !x.response.ConnectionClose())
	if f != nil {
		return nil, f
	}
	if err != nil {
		return nil, err
	}
	t := &Stream{
		Status: answer.Status, Header: answer.Header, Answer: answer,
		ConnectionID: answer.ConnectionID, closed: make(chan struct{}), endErr: io.EOF,
	}
	return t, nil
}

// Next returns the next event. It returns io.EOF only if the stream is complete: the end marker has been read, or, for
// a call without MatchEvents, the body has ended at its content length or last chunk (or with the connection, if
// Options.AllowCloseDelimited is set). Any other error is a *Failure. Later calls return the same error. The stream
// fails with KindStalled if no event arrives within stall, which comments and other lines without data don't extend,
// and it is closed if ctx ends during the call.
func (t *Stream) Next(ctx context.Context, stall time.Duration) (Event, error) {
	if t.endErr != nil {
		return Event{}, t.endErr
	}
	if ctx != t.exchange.ctx {
		stop := context.AfterFunc(ctx, t.Close)
		defer stop()
	}
	x := t.exchange
	x.conn.readTimeout = 0
	x.conn.readDeadline = earlier(x.deadline, x.sender.opts.Clock.Now().Add(stall))
	e, err := t.events.next()
	if err == nil {
		err = t.checkEvent(e)
	}
	if err != nil {
		t.endErr = t.endError(ctx, err)
		t.finish()
		return Event{}, t.endErr
	}
	return e, nil
}

// finish releases the connection. It is reused only if the stream is complete, the call allows it and no unread bytes
// are left.
func (t *Stream) finish() {
	x := t.exchange
	reuse := errors.Is(t.endErr, io.EOF) && t.hasFraming && t.reusable
	if reuse && t.source.Buffered()+t.rest.Len() > 0 {
		x.sender.Unsolicited.Add(1)
		reuse = false
	}
	t.once.Do(func() {
		close(t.closed)
		x.held.end()
		reuse = x.stop() && reuse
		x.release(reuse)
	})
}

// checkEvent checks an event of a call with MatchEvents. It returns io.EOF for the end marker, and a Failure for an
// event that doesn't carry the id of the stream's request.
func (t *Stream) checkEvent(e Event) error {
	c := t.exchange.call
	switch {
	case !c.MatchEvents:
		return nil
	case string(e.Data) == endMarker:
		return io.EOF
	case c.ID == "":
		return nil
	}
	id := gjson.GetBytes(e.Data, "id")
	if MatchesRequestID(id.Str, c.ID) {
		return nil
	}
	if !id.Exists() && gjson.GetBytes(e.Data, "error").Exists() {
		return nil
	}
	return t.exchange.sender.MismatchFailure(c, id.Str)
}

// endError returns the error with which the stream ends after err: io.EOF if the stream is complete, otherwise a
// Failure.
func (t *Stream) endError(ctx context.Context, err error) error {
	x := t.exchange
	var f *Failure
	switch {
	case errors.As(err, &f):
		return f
	case ctx.Err() != nil:
		return fail(x.call, "stream", contextKind(ctx), OutcomeUnknown, ctx.Err())
	case errors.Is(err, io.EOF) && t.hasFraming && t.givenUp.Load():
		return t.checkEnd() // received before it was given up
	case t.givenUp.Load():
		x.sender.TimedOut.Add(1)
		x.sender.Stalled.Add(1)
		return fail(x.call, "stream", KindStalled, OutcomeUnknown, errClosed)
	case t.isClosed():
		return fail(x.call, "stream", KindCancelled, OutcomeUnknown, errClosed)
	case errors.Is(err, io.EOF):
		return t.checkEnd()
	case errors.Is(err, errEventLine):
		return fail(x.call, "stream", KindOther, OutcomeUnknown, err)
	}
	f = x.failure("stream", err)
	if f.Kind == KindTimeout {
		f.Kind = KindStalled
		x.sender.Stalled.Add(1)
	}
	if errors.Is(err, errEventTooLarge) {
		f.Kind = KindTooLarge
	}
	return f
}

// checkEnd returns io.EOF if a stream whose body has ended is complete, otherwise a Failure with KindIncomplete.
func (t *Stream) checkEnd() error {
	x := t.exchange
	if x.call.MatchEvents && string(t.events.data.bytes) == endMarker {
		return io.EOF
	}
	if (t.hasFraming || x.sender.opts.AllowCloseDelimited) && !x.call.MatchEvents {
		return io.EOF
	}
	x.sender.Incomplete.Add(1)
	return fail(x.call, "stream", KindIncomplete, OutcomeUnknown, errNoEndMarker)
}

// GiveUp closes a stream whose server is silent. Next then fails with KindStalled. It also closes the server's idle
// connections, which may be dead as well.
func (t *Stream) GiveUp() {
	t.givenUp.Store(true)
	t.Close()
	if t.exchange != nil {
		t.exchange.closeIdle()
	}
}

func (t *Stream) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// Close closes the connection, which cancels the request if it is still running. After the end of the stream it does
// nothing. It may be called at any time and more than once.
func (t *Stream) Close() {
	t.once.Do(func() {
		close(t.closed)
		if t.exchange == nil {
			return
		}
		t.exchange.held.end()
		t.exchange.stop()
		// Next may still use the reader.
		t.exchange.release(false)
	})
}
