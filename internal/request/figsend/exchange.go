package figsend

import (
	"bufio"
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/request/figanswer"
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, figanswer.MaxHeadBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

	errIdleClosed = errors.New("the server closed the idle connection with status 408")
	errWithdrawn  = errors.New("the server takes no requests now")
	errDeadline   = errors.New("the deadline of the call passed before the request was sent")
)

// exchange is one request on one connection and the answer to it.
type exchange struct {
	acquired

	sender   *Sender
	ctx      context.Context
	call     *Call
	deadline time.Time
	reader   *bufio.Reader
	response *fasthttp.Response
	// held reserves memory for the answer.
	held reservation
	// writeFailure is set if the request wasn't sent completely.
	writeFailure *Failure
	// stop keeps the end of ctx from closing the connection. It returns false if ctx has already ended.
	stop func() bool
}

// sendMode says which connection a request uses and which body it asks for.
type sendMode struct {
	// pooled takes the connection from the pool and asks the server to keep it open.
	pooled bool
	// streaming asks for a body without compression, which can be read event by event.
	streaming bool
}

// send sends c's request once and returns the exchange from which the answer is read.
func (s *Sender) send(ctx context.Context, c *Call, m sendMode) (*exchange, *Failure) {
	if err := validate(c); err != nil {
		return nil, fail(c, "send", KindInvalid, NotRun, err)
	}
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	if err := s.buildRequest(q, c, m); err != nil {
		return nil, fail(c, "send", KindInvalid, NotRun, err)
	}
	deadline := c.Deadline
	if d, ok := ctx.Deadline(); ok {
		deadline = earlier(deadline, d)
	}
	if f := s.checkDeadline(ctx, c, deadline); f != nil {
		return nil, f
	}
	h, f := s.acquire(ctx, c, m.pooled)
	if f != nil {
		return nil, f
	}
	f = s.checkDeadline(ctx, c, deadline) // dialling takes time
	if f == nil && !s.opts.MaySend(c.Server) {
		f = fail(c, "send", KindBusy, NotRun, errWithdrawn)
	}
	if f != nil {
		h.releaseUnwritten()
		return nil, f
	}
	x := &exchange{acquired: h, sender: s, ctx: ctx, call: c, deadline: deadline}
	x.held.exchange, x.held.ctx = x, ctx
	conn := h.conn
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if x.writeFailure = x.write(q); x.writeFailure != nil && !x.mayHaveAnswer() {
		x.finish(false)
		return nil, x.writeFailure
	}
	x.reader = readers.Get().(*bufio.Reader)
	x.reader.Reset(h.conn)
	x.response = fasthttp.AcquireResponse()
	x.response.Header.SetNoDefaultContentType(true)
	return x, nil
}

// checkDeadline fails a call whose context has ended or whose deadline has passed before it is sent.
func (s *Sender) checkDeadline(ctx context.Context, c *Call, deadline time.Time) *Failure {
	if ctx.Err() != nil {
		return fail(c, "send", contextKind(ctx), NotRun, ctx.Err())
	}
	if !deadline.IsZero() && !s.opts.Clock.Now().Before(deadline) {
		return fail(c, "send", KindDeadline, NotRun, errDeadline)
	}
	return nil
}

// write sends the request. If it fails before the kernel has accepted a byte, the Failure has NotRun.
func (x *exchange) write(q *fasthttp.Request) *Failure {
	before := x.conn.written.Load()
	w := writers.Get().(*bufio.Writer)
	defer writers.Put(w)
	defer w.Reset(nil)
	w.Reset(x.conn)
	err := x.conn.SetWriteDeadline(earlier(x.deadline, x.sender.opts.Clock.Now().Add(x.sender.opts.FirstByteTimeout)))
	if err == nil {
		err = q.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	sent := x.conn.written.Load() > before
	if sent {
		x.sender.Sends.Add(1)
	}
	if err == nil {
		return nil
	}
	f := x.failure("send", err)
	if !sent {
		f.Outcome = NotRun
	}
	return f
}

// mayHaveAnswer reports whether an answer may be readable after a failed write: a server may answer and close the
// connection before it has read the whole request.
func (x *exchange) mayHaveAnswer() bool {
	return x.writeFailure.Outcome == OutcomeUnknown && x.writeFailure.Kind == KindIncomplete && !x.conn.reused
}

// readHeader reads the status line and header of the final answer, and skips interim ones.
func (x *exchange) readHeader() *Failure {
	opts := &x.sender.opts
	x.conn.readDeadline = x.deadline
	x.conn.readTimeout = opts.FirstByteTimeout
	if x.conn.reused {
		x.conn.readTimeout = min(opts.FirstByteTimeout, opts.PooledFirstByteTimeout)
	}
	if _, err := x.reader.Peek(1); err != nil {
		if x.writeFailure != nil {
			return x.writeFailure
		}
		return x.failure("answer", err)
	}
	x.conn.readTimeout = opts.ReadTimeout
	if err := figanswer.ReadHead(x.reader, &x.response.Header); err != nil {
		return x.failure("answer", err)
	}
	return x.checkHeader()
}

// checkHeader fails an answer that carries the id of another request, one without an id on a reused connection if
// Options.RequireID is set, and a 408 on a reused connection: servers send one when they close an idle connection, not
// in answer to a request. All of them are passed to Options.OnAnswer, as the connection leads to one server.
func (x *exchange) checkHeader() *Failure {
	x.sender.opts.OnAnswer(x.call.Server, x.response.StatusCode(), x.field)
	if x.conn.reused && x.response.StatusCode() == fasthttp.StatusRequestTimeout {
		x.sender.Unsolicited.Add(1)
		return x.failure("answer", errIdleClosed)
	}
	return x.checkID()
}

// checkID fails an answer that carries any other id than that of the request, or none where one is required.
func (x *exchange) checkID() *Failure {
	if x.call.ID == "" {
		return nil
	}
	isRequired := x.conn.reused && x.sender.opts.RequireID
	echoed := x.response.Header.PeekAll(x.sender.opts.IDHeader)
	if len(echoed) == 0 && isRequired {
		return x.sender.MismatchFailure(x.call, "")
	}
	for _, id := range echoed {
		if string(id) != x.call.ID && (len(id) > 0 || isRequired) {
			return x.sender.MismatchFailure(x.call, string(id))
		}
	}
	return nil
}

// field returns the first value of a header field of the answer, or "" if there is none.
func (x *exchange) field(name string) string { return string(x.response.Header.Peek(name)) }

// failure returns a classified Failure for a read or write error and updates the counters. After a timeout it also
// closes the server's idle connections, which may be dead as well.
func (x *exchange) failure(step string, err error) *Failure {
	f := fail(x.call, step, x.classify(err), OutcomeUnknown, err)
	f.Reused = x.conn.reused
	switch f.Kind {
	case KindTimeout:
		x.sender.TimedOut.Add(1)
		x.closeIdle()
	case KindIncomplete:
		x.sender.Incomplete.Add(1)
	}
	return f
}

func (x *exchange) classify(err error) Kind {
	switch {
	case x.ctx.Err() != nil:
		return contextKind(x.ctx)
	case errors.Is(err, errNoMemory):
		return KindDeadline
	case errors.Is(err, errBodyTooLarge):
		return KindTooLarge
	case errors.Is(err, figanswer.ErrMalformed):
		return KindMalformed
	case !x.timedOut(err):
		return KindIncomplete
	case !x.deadline.IsZero() && !x.sender.opts.Clock.Now().Before(x.deadline):
		return KindDeadline
	default:
		return KindTimeout
	}
}

func (x *exchange) timedOut(err error) bool {
	return x.conn.readTimedOut || errors.Is(err, os.ErrDeadlineExceeded)
}

// finish releases the connection and the buffers. The connection is reused only if reuse is set, the request was sent
// completely, the context hasn't closed the connection, and no unread bytes are left on it.
func (x *exchange) finish(reuse bool) {
	reuse = x.stop() && reuse && x.writeFailure == nil && len(x.conn.refusals) < maxRefusals
	if x.reader != nil {
		if left := x.reader.Buffered(); reuse && left > 0 {
			x.sender.Unsolicited.Add(1)
			reuse = false
		}
		x.reader.Reset(nil)
		readers.Put(x.reader)
		x.reader = nil
	}
	if x.response != nil {
		fasthttp.ReleaseResponse(x.response)
		x.response = nil
	}
	x.release(reuse)
}
