package figfront

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figring"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// defaultSlowCallerTimeout is the total time for which one stream may be blocked by a
	// caller that reads too slowly.
	defaultSlowCallerTimeout = 10 * time.Second
	// endTimeout is how long the end of a stream waits for room in the caller's queue. It
	// is longer than defaultSlowCallerTimeout because a finished stream holds no memory of
	// an engine.
	endTimeout = 30 * time.Second
	// maxQueuedChunks is the maximum number of chunks of a stream that wait for the caller.
	maxQueuedChunks = 16
)

var errCut = errors.New("the response stream was cut")

// chunk is one piece of a stream that is queued for the caller.
type chunk struct {
	data []byte
	// last says that the stream ends after data, cut that it is incomplete.
	last bool
	cut  bool
}

// responseStart is the start of a response: a refusal, a whole response, or the status and
// header of a stream.
type responseStart struct {
	status  int
	header  []figsend.Header
	body    []byte
	stream  bool
	refusal *figlifecycle.Result
}

// exchange passes the response from the worker that runs the call to the goroutine of the
// connection.
type exchange struct {
	started chan responseStart
	chunks  *figring.Ring[chunk]
	ctx     context.Context
	// cancel tells the worker that the caller has gone or reads too slowly.
	cancel context.CancelCauseFunc
	// blockingTimeLeft is the rest of the time for which the caller may block the stream.
	blockingTimeLeft time.Duration
	now              func() time.Time
	// unread is the rest of the chunk that Read returned last. ended and cut are that
	// chunk's last and cut.
	unread []byte
	ended  bool
	cut    bool
}

// run calls Options.Run on a worker and writes the start of the response on the
// connection's goroutine, which then writes the chunks of a stream through Read.
func (s *Server) run(c *fasthttp.RequestCtx, q *figpipeline.Call) {
	ctx, cancel := context.WithCancelCause(s.ctx)
	x := &exchange{
		started:          make(chan responseStart, 1),
		chunks:           figring.New[chunk](maxQueuedChunks, figring.Refuse),
		ctx:              ctx,
		cancel:           cancel,
		blockingTimeLeft: s.opts.SlowCallerTimeout,
		now:              s.opts.Clock.Now,
	}
	stop := s.opts.Watch(c.Conn(), func() { cancel(figpipeline.ErrCallerLeft) })
	accepted := s.opts.Workers.Go(func() {
		defer cancel(nil)
		defer stop()
		defer x.finishUnstarted(q.ID)
		s.opts.Run(ctx, q, x.responseWriter())
	})
	if !accepted {
		stop()
		cancel(nil)
		s.refuse(c, refusal(q.ID, figlifecycle.QueueFull, "this instance has no worker free"))
		return
	}
	b := <-x.started
	if b.refusal != nil {
		s.refuse(c, b.refusal)
		return
	}
	writeHeader(c, b)
	if !b.stream {
		c.Response.SetBodyRaw(b.body)
		return
	}
	c.SetBodyStream(x, -1)
}

func writeHeader(c *fasthttp.RequestCtx, b responseStart) {
	c.SetStatusCode(b.status)
	for _, h := range b.header {
		c.Response.Header.Add(h.Name, h.Value)
	}
}

// finishUnstarted answers a request whose worker ended, for example by a panic, before the
// response started. After a start it has no effect on the response.
func (x *exchange) finishUnstarted(id string) {
	r := &figlifecycle.Result{ID: id, Outcome: figlifecycle.OutcomeUnknown, Cause: figlifecycle.Cause{Reason: figlifecycle.Internal}}
	select {
	case x.started <- responseStart{refusal: r}:
	default:
	}
}

// responseWriter returns the worker's side of the exchange.
func (x *exchange) responseWriter() *figpipeline.ResponseWriter {
	return &figpipeline.ResponseWriter{
		Begin: func(status int, header []figsend.Header, body []byte) {
			x.started <- responseStart{status: status, header: header, body: body, stream: body == nil}
		},
		SendError: func(r *figlifecycle.Result) { x.started <- responseStart{refusal: r} },
		Write:     x.write,
		End:       x.end,
	}
}

// write queues one chunk and waits while the queue is full. The waits of all chunks
// together are limited, so that a slow caller can't hold engine memory for ever; at the
// limit write returns figpipeline.ErrSlowCaller.
func (x *exchange) write(ctx context.Context, data []byte) error {
	if x.chunks.Push(chunk{data: data}) {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, x.blockingTimeLeft, figpipeline.ErrSlowCaller)
	defer cancel()
	waitStart := x.now()
	err := x.chunks.PushWait(ctx, chunk{data: data})
	x.blockingTimeLeft -= x.now().Sub(waitStart)
	if err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// end queues the end of the stream. If cut isn't nil, the stream is incomplete: it ends
// with an error event, and the connection is broken off, so that the caller can't take the
// stream for a complete one.
func (x *exchange) end(cut *figlifecycle.Result) {
	last := chunk{last: true}
	if cut != nil {
		last.cut = true
		last.data = errorEvent(cut)
	}
	ctx, cancel := context.WithTimeout(x.ctx, endTimeout)
	defer cancel()
	if x.chunks.PushWait(ctx, last) != nil {
		x.cancel(figpipeline.ErrSlowCaller)
	}
}

// errorEvent returns the event that reports r in a stream.
func errorEvent(r *figlifecycle.Result) []byte {
	return append(append([]byte("data: "), r.JSON()...), "\n\n"...)
}

// Read is called on the connection's goroutine and waits for the next chunk. It returns
// bytes of one chunk at a time, so that each chunk is sent to the caller at once.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.unread) == 0 {
		if x.ended {
			return 0, x.finalError()
		}
		next, err := x.chunks.Pop(x.ctx)
		if err != nil {
			return 0, errCut
		}
		x.unread, x.ended, x.cut = next.data, next.last, next.cut
	}
	n := copy(p, x.unread)
	x.unread = x.unread[n:]
	return n, nil
}

// finalError returns the error of Read at the end of the stream: errCut breaks off the
// connection.
func (x *exchange) finalError() error {
	if x.cut {
		return errCut
	}
	return io.EOF
}

// Close cancels the call. fasthttp calls it when the response has been written or the
// connection has broken.
func (x *exchange) Close() error {
	x.cancel(figpipeline.ErrCallerLeft)
	return nil
}

// refuse writes the response to a refused or failed request.
func (s *Server) refuse(c *fasthttp.RequestCtx, r *figlifecycle.Result) {
	c.SetStatusCode(r.Status())
	c.SetContentType("application/json")
	c.Response.Header.Set(headerOutcome, r.Outcome.String())
	if seconds := r.RetryAfterSeconds(); seconds != "" {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds)
	}
	c.SetBody(r.JSON())
}

// refusal returns the result of a request that is refused before any backend server ran it.
func refusal(id string, reason figlifecycle.Reason, detail string) *figlifecycle.Result {
	return &figlifecycle.Result{
		Cause:   figlifecycle.Cause{Reason: reason, Detail: detail},
		ID:      id,
		Outcome: figlifecycle.NotRun,
	}
}
