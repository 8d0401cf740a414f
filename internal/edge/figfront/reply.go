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
	// defaultSlowCaller is how long a stream waits for a caller that doesn't read.
	defaultSlowCaller = 10 * time.Second
	// endPatience is how long the end of a stream waits for the caller. It holds
	// no engine memory any more.
	endPatience = 30 * time.Second
	// partsBuffered bounds the parts of a stream that wait for the caller.
	partsBuffered = 16
)

var errCut = errors.New("the answer was cut")

// part is one piece of a stream on its way to the caller.
type part struct {
	data []byte
	last bool
	cut  bool
}

// begin is the flow's decision on how the answer starts.
type begin struct {
	status  int
	header  []figsend.Header
	body    []byte
	stream  bool
	refusal *figlifecycle.Result
}

// exchange joins the goroutine of the flow to that of the connection.
type exchange struct {
	began chan begin
	parts *figring.Ring[part]
	ctx   context.Context
	// cancel tells the flow that the caller has gone.
	cancel context.CancelCauseFunc
	// patience is what is left of the time that the caller may hold the flow back.
	patience time.Duration
	now      func() time.Time
	rest     []byte
	ended    bool
	cut      bool
}

// run answers q by the flow, on a worker. The connection's goroutine stays to
// notice a caller that leaves.
func (f *Front) run(c *fasthttp.RequestCtx, q *figpipeline.Call) {
	ctx, cancel := context.WithCancelCause(f.ctx)
	x := &exchange{
		began:    make(chan begin, 1),
		parts:    figring.New[part](partsBuffered, figring.Refuse),
		ctx:      ctx,
		cancel:   cancel,
		patience: f.opts.SlowCaller,
		now:      f.opts.Clock.Now,
	}
	stop := f.opts.Watch(c.Conn(), func() { cancel(figpipeline.ErrCallerLeft) })
	accepted := f.opts.Workers.Go(func() {
		defer cancel(nil)
		defer stop()
		defer x.abandon(q.ID)
		f.opts.Run(ctx, q, x.reply())
	})
	if !accepted {
		stop()
		cancel(nil)
		f.refuse(c, refusal(q.ID, figlifecycle.QueueFull, "this instance has no worker free"))
		return
	}
	b := <-x.began
	if b.refusal != nil {
		f.refuse(c, b.refusal)
		return
	}
	writeHeader(c, b)
	if !b.stream {
		c.Response.SetBodyRaw(b.body)
		return
	}
	c.SetBodyStream(x, -1)
}

func writeHeader(c *fasthttp.RequestCtx, b begin) {
	c.SetStatusCode(b.status)
	for _, h := range b.header {
		c.Response.Header.Add(h.Name, h.Value)
	}
}

// abandon answers a request whose flow ended without a beginning, as one that
// panicked; after a beginning nobody reads it.
func (x *exchange) abandon(id string) {
	r := &figlifecycle.Result{ID: id, Outcome: figlifecycle.OutcomeUnknown, Cause: figlifecycle.Cause{Reason: figlifecycle.Internal}}
	select {
	case x.began <- begin{refusal: r}:
	default:
	}
}

// reply is the flow's side of the exchange.
func (x *exchange) reply() *figpipeline.ResponseWriter {
	return &figpipeline.ResponseWriter{
		Begin: func(status int, header []figsend.Header, whole []byte) {
			x.began <- begin{status: status, header: header, body: whole, stream: whole == nil}
		},
		SendError: func(r *figlifecycle.Result) { x.began <- begin{refusal: r} },
		Write:     x.write,
		End:       x.end,
	}
}

// write queues one part. A slow caller may hold it back only so long, all parts
// of the answer taken together: it can't keep engine memory for ever.
func (x *exchange) write(ctx context.Context, data []byte) error {
	if x.parts.Push(part{data: data}) {
		return nil
	}
	ctx, cancel := context.WithTimeoutCause(ctx, x.patience, figpipeline.ErrSlowCaller)
	defer cancel()
	begun := x.now()
	err := x.parts.PushWait(ctx, part{data: data})
	x.patience -= x.now().Sub(begun)
	if err != nil {
		return context.Cause(ctx)
	}
	return nil
}

// end queues the end of the stream. A cut one says so in an event of its own and
// then breaks the connection, so that it can't be taken for a whole one.
func (x *exchange) end(cut *figlifecycle.Result) {
	last := part{last: true}
	if cut != nil {
		last.cut = true
		last.data = errorEvent(cut)
	}
	ctx, cancel := context.WithTimeout(x.ctx, endPatience)
	defer cancel()
	if x.parts.PushWait(ctx, last) != nil {
		x.cancel(figpipeline.ErrSlowCaller)
	}
}

func errorEvent(r *figlifecycle.Result) []byte {
	return append(append([]byte("data: "), r.JSON()...), "\n\n"...)
}

// Read is the connection's side: it gives the parts in order, as few at a time
// as are there, so that each reaches the caller at once.
func (x *exchange) Read(p []byte) (int, error) {
	for len(x.rest) == 0 {
		if x.ended {
			return 0, x.finalError()
		}
		next, err := x.parts.Pop(x.ctx)
		if err != nil {
			return 0, errCut
		}
		x.rest, x.ended, x.cut = next.data, next.last, next.cut
	}
	n := copy(p, x.rest)
	x.rest = x.rest[n:]
	return n, nil
}

func (x *exchange) finalError() error {
	if x.cut {
		return errCut
	}
	return io.EOF
}

// Close is called by the library when the answer has been written or the
// connection has broken; either way nobody reads any more.
func (x *exchange) Close() error {
	x.cancel(figpipeline.ErrCallerLeft)
	return nil
}

// refuse writes an error answer.
func (f *Front) refuse(c *fasthttp.RequestCtx, r *figlifecycle.Result) {
	c.SetStatusCode(r.Status())
	c.SetContentType("application/json")
	c.Response.Header.Set(headerOutcome, r.Outcome.String())
	if s := r.RetryAfterSeconds(); s != "" {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, s)
	}
	c.SetBody(r.JSON())
}

// refusal is the result of a request that was refused before anything was done
// for it.
func refusal(id string, reason figlifecycle.Reason, detail string) *figlifecycle.Result {
	return &figlifecycle.Result{
		Cause:   figlifecycle.Cause{Reason: reason, Detail: detail},
		ID:      id,
		Outcome: figlifecycle.NotRun,
	}
}
