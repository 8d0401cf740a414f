// Package figingress answers callers on declared routes: it reads a request as it
// stands, hands it to the flow and writes the reply, with every byte of a server's
// answer as it came. A stream is read event by event on the goroutine of the
// caller's connection.
//
// # Usage
//
//	g := figingress.New(figingress.Options{Serve: flow.Serve, Dialect: dialect, Watch: watch.Add, …})
//	err := g.Serve(listener)
//
// A caller that leaves ends its request's context at once. While the instance
// drains, requests are still served and connections are closed after their answer.
package figingress

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// writeBuffer is what each connection holds for writing, in bytes: an event or
	// two. Larger answers pass it by.
	writeBuffer = 2 << 10
	// idleLimit closes callers' connections without a request. It is beyond the
	// idle times that operators declare for callers.
	idleLimit = 2 * time.Minute
	// readLimit bounds the reading of one request.
	readLimit = 30 * time.Second
)

// Options holds what the front end needs. All fields are required.
type Options struct {
	Clock   figtimer.Clock
	Dialect *figproxy.Dialect
	// Serve answers one call.
	Serve func(ctx context.Context, q *figproxy.Call) *figproxy.Reply
	// Draining says that callers should use other instances.
	Draining func() bool
	// Watch calls gone when the caller's connection has closed, until stop is called.
	Watch func(conn net.Conn, gone func()) (stop func())
	// Concurrency bounds the connections that are served at once.
	Concurrency int
	// BodyLimit and HeaderLimit bound a request, in bytes.
	BodyLimit, HeaderLimit int
}

// Gate answers callers.
type Gate struct {
	opts   Options
	server *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a front end that serves nothing yet.
func New(o Options) *Gate {
	g := &Gate{opts: o}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.server = &fasthttp.Server{
		Handler:                       g.handle,
		ErrorHandler:                  g.handleError,
		Logger:                        logger{},
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                o.HeaderLimit,
		WriteBufferSize:               writeBuffer,
		ReadTimeout:                   readLimit,
		IdleTimeout:                   idleLimit,
		MaxRequestBodySize:            o.BodyLimit,
		Concurrency:                   o.Concurrency,
		CloseOnShutdown:               true,
	}
	return g
}

// logger writes the library's remarks on broken connections as detail.
type logger struct{}

// Printf logs one remark.
func (logger) Printf(format string, args ...any) { klog.V(2).Infof(format, args...) }

// Serve answers on l until Shutdown.
func (g *Gate) Serve(l net.Listener) error {
	return figerror.Wrap(g.server.Serve(l), "serve callers", l.Addr().String())
}

// Shutdown stops accepting and waits for running requests until ctx ends; then it
// cuts what still runs.
func (g *Gate) Shutdown(ctx context.Context) error {
	err := g.server.ShutdownWithContext(ctx)
	g.cancel()
	return figerror.Wrap(err, "shut down", "")
}

// handle answers one request.
func (g *Gate) handle(c *fasthttp.RequestCtx) {
	q, err := g.read(c)
	if err != nil {
		g.refuse(c, q.ID, figlifecycle.CauseOf(figlifecycle.BadRequest, err))
		return
	}
	ctx, cancel := context.WithCancelCause(g.ctx)
	stop := g.opts.Watch(c.Conn(), func() { cancel(figproxy.ErrCallerLeft) })
	end := func() {
		stop()
		cancel(nil)
	}
	reply := g.serve(ctx, q)
	g.write(c, q.ID, reply)
	if reply.Stream == nil {
		end()
		return
	}
	c.SetBodyStream(&body{reply: reply, end: end}, -1)
}

// serve answers q. A panic ends this request only; what became of it is unknown.
func (g *Gate) serve(ctx context.Context, q *figproxy.Call) (reply *figproxy.Reply) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "request panicked", "requestId", q.ID, "panic", v, "stack", string(debug.Stack()))
			reply = &figproxy.Reply{Status: fasthttp.StatusBadGateway}
		}
	}()
	return g.opts.Serve(ctx, q)
}

// body ends the watch on the caller when the stream is over.
type body struct {
	reply *figproxy.Reply
	end   func()
}

// Read gives the next bytes of the stream.
func (b *body) Read(p []byte) (int, error) { return b.reply.Stream.Read(p) }

// Close ends the request. The library calls it once, whatever became of the stream.
func (b *body) Close() error {
	err := b.reply.Stream.Close()
	b.end()
	return err
}

var errNoID = errors.New("the request has no id")

// read copies the request out of the connection's buffers.
func (g *Gate) read(c *fasthttp.RequestCtx) (*figproxy.Call, error) {
	h := &c.Request.Header
	q := &figproxy.Call{
		Arrived: g.opts.Clock.Now(),
		Method:  string(h.Method()),
		Host:    string(h.Host()),
		Target:  string(h.RequestURI()),
	}
	q.Path, _, _ = strings.Cut(q.Target, "?")
	for name, value := range h.All() {
		q.Header = append(q.Header, figsend.Header{Name: string(name), Value: string(value)})
	}
	all := figsend.Answer{Header: q.Header}
	q.CallerMetadata = g.opts.Dialect.ReadCaller(all.Get)
	if q.ID == "" {
		return q, errNoID
	}
	q.Header = slices.DeleteFunc(q.Header, func(f figsend.Header) bool {
		return g.opts.Dialect.StripsFromRequest(strings.ToLower(f.Name))
	})
	q.Body = slices.Clone(c.PostBody())
	return q, nil
}

// write begins the answer.
func (g *Gate) write(c *fasthttp.RequestCtx, id string, r *figproxy.Reply) {
	c.SetStatusCode(r.Status)
	for _, h := range r.Header {
		c.Response.Header.Add(h.Name, h.Value)
	}
	if id != "" {
		c.Response.Header.Set(g.opts.Dialect.IDHeader, id)
	}
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(r.RetryAfter))
	}
	if g.opts.Draining() {
		c.SetConnectionClose()
	}
	if r.Stream == nil {
		c.Response.SetBodyRaw(r.Body)
	}
}

// seconds gives a time in seconds with two decimals, never zero.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0.01), 'f', 2, 64)
}

// refuse answers a request that never came to the flow.
func (g *Gate) refuse(c *fasthttp.RequestCtx, id string, cause figlifecycle.Cause) {
	r := &figlifecycle.Result{Cause: cause, ID: id, Outcome: figlifecycle.NotRun}
	klog.InfoS("request refused", "requestId", id, "reason", cause.Reason.String(), "status", figproxy.StatusOf(r), "err", cause.Err)
	g.write(c, id, &figproxy.Reply{
		Status: figproxy.StatusOf(r),
		Header: []figsend.Header{{Name: fasthttp.HeaderContentType, Value: "application/json"}},
		Body:   r.JSON(),
	})
}

// handleError answers what the library could not read.
func (g *Gate) handleError(c *fasthttp.RequestCtx, err error) {
	reason := figlifecycle.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = figlifecycle.TooLarge
	}
	c.SetConnectionClose()
	g.refuse(c, "", figlifecycle.CauseOf(reason, err))
}
