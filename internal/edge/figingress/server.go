// Package figingress is the HTTP server for callers of declared routes. It reads a
// request, passes it to Options.Serve and writes the reply. The body of a backend
// server's response is forwarded byte for byte. A stream is read event by event on
// the goroutine of the caller's connection.
//
// # Usage
//
//	s := figingress.New(figingress.Options{Serve: proxy.Serve, Dialect: dialect, Watch: watch.Add, …})
//	err := s.Serve(listener)
//
// When a caller closes its connection, the context of its request is canceled at
// once. While the instance drains, requests are still served, and each connection
// is closed after its next response. Shutdown answers every request that has come.
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
	"figtrail.dev/figtrail/internal/edge/figconnection"
	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figproxy"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// writeBufferBytes is the size of a connection's write buffer. It holds one or
	// two events of a stream; larger writes bypass the buffer.
	writeBufferBytes = 2 << 10
	// idleTimeout closes callers' connections that carry no request. It is longer
	// than the idle times that operators declare for callers.
	idleTimeout = 2 * time.Minute
	// readTimeout limits the time to read one request.
	readTimeout = 30 * time.Second
	// incompleteRetryAfter is the Retry-After for requests that are refused because the instance stops before
	// they have come to their ends.
	incompleteRetryAfter = 150 * time.Millisecond
)

// AnswerTimeout is how long Shutdown waits for the answers to requests that it has aborted.
const AnswerTimeout = figconnection.AnswerTimeout

// Options configures a Server. All fields are required.
type Options struct {
	// Clock gives the arrival times of requests.
	Clock figtimer.Clock
	// Dialect reads and removes the header fields that are meant for the router.
	Dialect *figproxy.Dialect
	// Serve handles one request and returns the reply to it.
	Serve func(ctx context.Context, q *figproxy.Call) *figproxy.Reply
	// Draining reports whether callers should use other instances. While it returns
	// true, each connection is closed after its response.
	Draining func() bool
	// Watch calls gone when the caller closes conn, until the returned stop is called.
	Watch func(conn net.Conn, gone func()) (stop func())
	// Concurrency is the maximum number of connections that are served at once.
	Concurrency int
	// BodyLimit and HeaderLimit are the maximum sizes of a request's body and header,
	// in bytes. A larger request is refused as too large.
	BodyLimit, HeaderLimit int
	// Budget is the memory for what callers hold.
	Budget *figmemory.Budget
	// CountRefusal counts a request that was refused before it had come to its end. The cause is malformed, incomplete,
	// tooLarge, noMemory, stalled or draining.
	CountRefusal func(cause string)
}

// Server is the HTTP server for callers of declared routes.
type Server struct {
	opts        Options
	server      *fasthttp.Server
	connections *figconnection.Set
	ctx         context.Context
	cancel      context.CancelFunc
}

// New returns a server that accepts connections once Serve is called.
func New(o Options) *Server {
	s := &Server{opts: o, connections: figconnection.New(figconnection.Options{
		Clock: o.Clock, Budget: o.Budget, MaxConnections: o.Concurrency, ConnectionBytes: ConnectionBytes(o.HeaderLimit),
	})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.handleError,
		Logger:                        logger{},
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		ReadBufferSize:                o.HeaderLimit,
		WriteBufferSize:               writeBufferBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		MaxRequestBodySize:            o.BodyLimit,
		StreamRequestBody:             true,
		HeaderReceived:                s.receiveHeader,
		ExpectHandler:                 s.expect,
		Concurrency:                   o.Concurrency,
		ConnState:                     figconnection.Track,
	}
	return s
}

// logger writes fasthttp's messages about broken connections at verbosity 2, without their
// arguments: these may quote the head of a request with the caller's key.
type logger struct{}

// Printf logs one message of fasthttp.
func (logger) Printf(format string, _ ...any) {
	klog.V(2).InfoS("HTTP server message", "message", format)
}

// Serve accepts connections on l and serves them until Shutdown is called. It closes l.
func (s *Server) Serve(l net.Listener) error {
	held, ok := s.connections.Listen(l)
	if !ok {
		return figerror.Wrap(l.Close(), "close", l.Addr().String())
	}
	err := s.server.Serve(held)
	s.connections.CloseListener()
	return figerror.Wrap(err, "serve callers", l.Addr().String())
}

// Shutdown stops accepting connections, closes idle ones and waits for running requests
// until ctx ends. Then it cancels the contexts of requests that still run and refuses those
// that have come only in part. It returns when the answers to these have been written, or
// AnswerTimeout after the first call that canceled them.
func (s *Server) Shutdown(ctx context.Context) error {
	s.connections.Advance(figconnection.Stopping)
	_, err := s.connections.Wait(ctx)
	s.cancel()
	s.connections.Advance(figconnection.Aborting)
	if err == nil {
		return nil
	}
	if left := s.connections.WaitForAnswers(); left > 0 {
		klog.InfoS("connections are still open after the shutdown", "connections", left)
	}
	return figerror.Wrap(err, "shut down", "")
}

// closes reports whether connections are closed after their next answer.
func (s *Server) closes() bool {
	return s.opts.Draining() || s.connections.Phase() != figconnection.Accepting
}

// handle serves one request.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	n, ok := c.Conn().(*figconnection.Conn)
	if !ok {
		s.handleError(c, errMalformed)
		return
	}
	content, err := s.readBody(c, n)
	if err != nil {
		n.Holding.Release(figmemory.Bodies)
		s.handleError(c, err)
		return
	}
	n.Holding.Enter(figmemory.Running)
	n.Take(figconnection.Size(&c.Request, len(content)))
	q, err := s.read(c)
	if err != nil {
		n.Holding.Release(figmemory.Bodies)
		s.refuse(c, q.ID, figlifecycle.CauseOf(figlifecycle.BadRequest, err))
		return
	}
	q.Body = content
	ctx, cancel := context.WithCancelCause(n.Holding.WithContext(s.ctx))
	stop := s.opts.Watch(c.Conn(), func() { cancel(figproxy.ErrCallerLeft) })
	finish := func() {
		stop()
		cancel(nil)
		n.Holding.Release(figmemory.Bodies)
	}
	reply := s.serve(ctx, q)
	s.write(c, q.ID, reply)
	if reply.Stream == nil {
		finish()
		// What figsend reserved for the answer is held until it is written.
		n.Holding.Charge(figmemory.Answers, max(int64(len(reply.Body))-n.Holding.Held(figmemory.Answers), 0))
		return
	}
	c.SetBodyStream(&body{reply: reply, finish: finish}, -1)
}

// serve calls Options.Serve. If that panics, only this request fails, with status 502
// and an empty body: whether a backend server ran it is not known.
func (s *Server) serve(ctx context.Context, q *figproxy.Call) (reply *figproxy.Reply) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "request panicked", "requestId", q.ID, "panic", v, "stack", string(debug.Stack()))
			reply = &figproxy.Reply{Status: fasthttp.StatusBadGateway}
		}
	}()
	return s.opts.Serve(ctx, q)
}

// body is the response body of a stream. Close also stops watching the caller's
// connection.
type body struct {
	reply  *figproxy.Reply
	finish func()
}

// Read reads the next bytes of the stream.
func (b *body) Read(p []byte) (int, error) { return b.reply.Stream.Read(p) }

// Close ends the request. fasthttp calls it once, whether the stream was written in
// full or failed.
func (b *body) Close() error {
	err := b.reply.Stream.Close()
	b.finish()
	return err
}

var errNoID = errors.New("the header field with the request id is missing")

// read copies the request out of the connection's buffers, which fasthttp reuses, and
// removes the header fields that are meant for the router only. Without a request id
// it returns errNoID and an incomplete call.
func (s *Server) read(c *fasthttp.RequestCtx) (*figproxy.Call, error) {
	h := &c.Request.Header
	q := &figproxy.Call{
		Arrived: s.opts.Clock.Now(),
		Method:  string(h.Method()),
		Host:    string(h.Host()),
		Target:  string(h.RequestURI()),
	}
	q.Path, _, _ = strings.Cut(q.Target, "?")
	q.Header = make([]figsend.Header, 0, h.Len())
	for name, value := range h.All() {
		q.Header = append(q.Header, figsend.Header{Name: string(name), Value: string(value)})
	}
	lookup := figsend.Answer{Header: q.Header}
	q.CallerMetadata = s.opts.Dialect.ReadCaller(lookup.Get)
	if q.ID == "" {
		return q, errNoID
	}
	q.Header = slices.DeleteFunc(q.Header, func(f figsend.Header) bool {
		return s.opts.Dialect.StripsFromRequest(strings.ToLower(f.Name))
	})
	return q, nil
}

// write sets the status, the header and, unless r is a stream, the body of the
// response.
func (s *Server) write(c *fasthttp.RequestCtx, id string, r *figproxy.Reply) {
	c.SetStatusCode(r.Status)
	for _, h := range r.Header {
		c.Response.Header.Add(h.Name, h.Value)
	}
	if id != "" {
		c.Response.Header.Set(s.opts.Dialect.IDHeader, id)
	}
	if r.RetryAfter > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, seconds(r.RetryAfter))
	}
	if (s.closes() || isEvicted(c)) && !figconnection.HasNext(c) {
		c.SetConnectionClose()
	}
	if r.Stream == nil {
		c.Response.SetBodyRaw(r.Body)
	}
}

// isEvicted reports whether the connection must be closed to make room for others.
func isEvicted(c *fasthttp.RequestCtx) bool {
	n, ok := c.Conn().(*figconnection.Conn)
	return ok && n.IsEvicted()
}

// seconds formats d in seconds with two decimals. The result is at least 0.01, so that
// a Retry-After is never zero.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(d.Seconds(), 0.01), 'f', 2, 64)
}

// refuse answers a request that is rejected before Options.Serve, with a JSON body.
func (s *Server) refuse(c *fasthttp.RequestCtx, id string, cause figlifecycle.Cause) {
	r := &figlifecycle.Result{Cause: cause, ID: id, Outcome: figlifecycle.NotRun}
	klog.InfoS("request refused", "requestId", id, "reason", cause.Reason.String(), "status", figproxy.StatusOf(r), "err", cause.Err)
	s.write(c, id, &figproxy.Reply{
		Status: figproxy.StatusOf(r),
		Header: []figsend.Header{{Name: fasthttp.HeaderContentType, Value: "application/json"}},
		Body:   r.JSON(), RetryAfter: cause.RetryAfter,
	})
}
