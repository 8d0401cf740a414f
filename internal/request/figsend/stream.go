package figsend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

const (
	// streamBufferBytes is the size of a stream's read buffer, in bytes. An instance
	// holds thousands of streams.
	streamBufferBytes = 2 << 10
	// lineBufferBytes is the size of the buffer in which lines are found, in bytes.
	lineBufferBytes = 512
)

var (
	errNoEndMarker = errors.New("the stream ended without its end marker")
	errClosed      = errors.New("the stream is closed")
)

// Stream is a body that is read event by event. One goroutine calls Next;
// Close may be called from any.
type Stream struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end header fields.
	Header []Header
	// Answer is set if the body is not a stream of events: it is then read
	// whole, and Next returns io.EOF at once.
	Answer *Answer
	// ConnectionID is the generation of the connection that carries it.
	ConnectionID uint64

	exchange *exchange
	events   eventReader
	once     sync.Once
	closed   chan struct{}
	endErr   error
	// hasFraming says that the body has a length or chunks, which prove its end.
	hasFraming bool
	// reusable says that the connection may carry another call after a whole stream.
	reusable bool
	// source is the reader below the body.
	source *bufio.Reader
}

// Stream sends c once, on a connection of its own, and returns when the
// answer's header has come. A body of any other type than text/event-stream is
// read whole. All errors are of type *Failure. The stream must be closed.
func (s *Sender) Stream(ctx context.Context, c *Call) (*Stream, error) {
	x, f := s.send(ctx, c, sendMode{pooled: c.Keep, streaming: true})
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
	keep := x.call.Keep && !r.ConnectionClose()
	x.call = x.call.withoutBody()
	t := &Stream{
		Status:       r.StatusCode(),
		Header:       s.endToEndFields(&r.Header),
		ConnectionID: x.conn.id,
		exchange:     x,
		closed:       make(chan struct{}),
		hasFraming:   r.Header.ContentLength() > lengthUnknown,
		reusable:     keep,
		source:       x.shrinkReader(),
	}
	r.StreamBody = true
	if err := r.ReadBody(t.source, 0); err != nil {
		f := x.failure("stream", err)
		x.finish(false)
		return nil, f
	}
	t.events.lines = bufio.NewReaderSize(r.BodyStream(), lineBufferBytes)
	return t, nil
}

// shrinkReader exchanges the reader of the header for one that a stream can keep.
func (x *exchange) shrinkReader() *bufio.Reader {
	rest, _ := x.reader.Peek(x.reader.Buffered())
	source := io.MultiReader(bytes.NewReader(bytes.Clone(rest)), x.conn)
	x.reader.Reset(nil)
	readers.Put(x.reader)
	x.reader = nil
	return bufio.NewReaderSize(source, streamBufferBytes)
}

// readWhole reads an answer that is not a stream.
func (x *exchange) readWhole() (*Stream, error) {
	answer, f := x.readBody()
	x.finish(f == nil && x.call.Keep && x.hasFraming() && !x.response.ConnectionClose())
	if f != nil {
		return nil, f
	}
	answer, err := x.sender.checkRefusal(x.call, answer)
	if err != nil {
		return nil, err
	}
	t := &Stream{
		Status: answer.Status, Header: answer.Header, Answer: answer,
		ConnectionID: answer.ConnectionID, closed: make(chan struct{}), endErr: io.EOF,
	}
	return t, nil
}

// Next returns the next event. It returns io.EOF only if the end of the stream
// is proved: by the end marker, or, for a call without MatchEvents, by the
// body's length or last chunk. Any other error is a *Failure, and the stream
// stays failed. An event that doesn't come within stall fails the stream; lines
// that carry no event don't extend the time. The event's bytes are valid until
// the next call.
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

// finish gives up the connection. One that a whole stream has left in order is
// kept for another call, if the stream's call allows that.
func (t *Stream) finish() {
	x := t.exchange
	keep := errors.Is(t.endErr, io.EOF) && t.hasFraming && t.reusable && t.source.Buffered() == 0
	t.once.Do(func() {
		close(t.closed)
		keep = x.stop() && keep
		x.release(keep)
	})
}

// checkEvent tells the end marker and events of other requests from the stream's own.
func (t *Stream) checkEvent(e Event) error {
	if string(e.Data) == endMarker {
		return io.EOF
	}
	c := t.exchange.call
	if !c.MatchEvents || c.ID == "" {
		return nil
	}
	id := gjson.GetBytes(e.Data, "id")
	if Matches(id.Str, c.ID) {
		return nil
	}
	if !id.Exists() && gjson.GetBytes(e.Data, "error").Exists() {
		return nil
	}
	return t.exchange.sender.CrossedAnswer(c, id.Str)
}

// endError decides what the endError of the events means.
func (t *Stream) endError(ctx context.Context, err error) error {
	x := t.exchange
	var f *Failure
	switch {
	case errors.As(err, &f):
		return f
	case ctx.Err() != nil:
		return fail(x.call, "stream", contextKind(ctx), Unknown, ctx.Err())
	case t.isClosed():
		return fail(x.call, "stream", KindCancelled, Unknown, errClosed)
	case errors.Is(err, io.EOF):
		return t.checkEnd()
	}
	f = x.failure("stream", err)
	if f.Kind == KindSilent {
		f.Kind = KindStalled
		x.sender.Stalled.Add(1)
	}
	if errors.Is(err, errEventTooLarge) {
		f.Kind = KindTooLarge
	}
	return f
}

// checkEnd returns io.EOF if the stream's end is known to be its end.
func (t *Stream) checkEnd() error {
	x := t.exchange
	if string(t.events.data) == endMarker {
		return io.EOF
	}
	if (t.hasFraming || x.sender.opts.CloseEnds) && !x.call.MatchEvents {
		return io.EOF
	}
	x.sender.Cut.Add(1)
	return fail(x.call, "stream", KindCut, Unknown, errNoEndMarker)
}

func (t *Stream) isClosed() bool {
	select {
	case <-t.closed:
		return true
	default:
		return false
	}
}

// Close closes the connection, which cancels the request if it still runs. It
// may be called at any time and more than once.
func (t *Stream) Close() {
	t.once.Do(func() {
		close(t.closed)
		if t.exchange == nil {
			return
		}
		t.exchange.stop()
		// The reader and the response may be in use by Next, so they are left to
		// the garbage collector instead of their pools.
		t.exchange.release(false)
	})
}
