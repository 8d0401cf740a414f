// Package figfront is the HTTP server for callers. It serves the model API that
// model client libraries use (chat completions, completions, models) and the routes
// of plain services. It reads and validates a request, authenticates its API key and
// passes the request to Options.Run, whose response is written as one body or as a
// stream.
//
// # Usage
//
//	s := figfront.New(figfront.Options{
//		Tree:    store.Tree,
//		Run:     pipeline.Run,
//		Workers: workers,
//		…
//	})
//	err := s.Serve(listener)
//
// Every request gets an id, which its response carries in the header X-Request-Id.
// A refused request is answered with JSON that holds the outcome, the reason and the
// id. No buffer of a connection is used after its handler has returned, so the
// request's fields and body are copied.
package figfront

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/core/figworker"
	"figtrail.dev/figtrail/internal/edge/figconnection"
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
)

const (
	// pathChat, pathCompletions and pathModels are the paths of the model API.
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	// defaultBodyLimit is the maximum size of a request body, in bytes.
	defaultBodyLimit = 8 << 20
	// defaultHeaderLimit is the maximum size of a request header, in bytes.
	defaultHeaderLimit = 16 << 10
	// writeBufferBytes is the size of a connection's write buffer. It holds the event
	// of one token and is small because thousands of streams are open at once. Larger
	// writes bypass the buffer.
	writeBufferBytes = 1 << 10
	// idleTimeout closes callers' connections that carry no request.
	idleTimeout = 90 * time.Second
	// readTimeout limits the time to read one request.
	readTimeout = 30 * time.Second
	// headerRequestID carries the request id in a response.
	headerRequestID = "X-Request-Id"
	// headerTimeout carries the caller's own timeout in a request, in milliseconds.
	headerTimeout = "X-Request-Timeout-Ms"
	// headerOutcome carries the outcome in the response to a refused request.
	headerOutcome = "X-Figtrail-Outcome"
)

// Options configures a Server. A BodyLimit, HeaderLimit or SlowCallerTimeout of 0 stands
// for the default. All other fields are required.
type Options struct {
	// Name is the instance's name, the first part of its request ids.
	Name string
	// Incarnation is the second part of request ids. It differs at every start of the
	// instance, so that a restarted instance doesn't reuse ids.
	Incarnation uint64
	// Clock gives arrival times.
	Clock figtimer.Clock
	// Tree returns the configuration in force.
	Tree func() *figtree.Tree
	// Run handles one call and writes its response to r.
	Run func(ctx context.Context, q *figpipeline.Call, r *figpipeline.ResponseWriter)
	// OnRefused is called for each request that is refused while it is read, before Run.
	// The account is nil if the request wasn't authenticated.
	OnRefused func(account *figtree.Account, r *figlifecycle.Result)
	// OnKeyRefused is called with the reason when an API key is rejected.
	OnKeyRefused func(reason figkey.Reason)
	// Draining reports whether callers should use other instances. While it returns
	// true, requests are still served and each connection is closed after its response.
	Draining func() bool
	// Watch calls gone when the caller closes conn, until the returned stop is called.
	Watch func(conn net.Conn, gone func()) (stop func())
	// Workers runs the calls. If it accepts no more work, the request is refused.
	Workers *figworker.Pool
	// BodyLimit and HeaderLimit are the maximum sizes of a request's body and header,
	// in bytes. A larger request is refused as too large.
	BodyLimit, HeaderLimit int
	// Hold reserves memory for a body of an announced length before it is read. If it returns false, the request is
	// refused. Nil stands for no limit.
	Hold func(bytes int64) (release func(), ok bool)
	// SlowCallerTimeout is the total time for which one stream may be blocked by a caller that
	// reads too slowly. After that the stream is cut.
	SlowCallerTimeout time.Duration
}

// Server is the HTTP server for callers.
type Server struct {
	opts Options
	// requests counts requests; the count is the last part of a request id.
	requests atomic.Uint64
	server   *fasthttp.Server
	callers  *figconnection.Set
	bodies   announcedBodies
	ctx      context.Context
	cancel   context.CancelFunc
}

// New returns a server that accepts connections once Serve is called.
func New(o Options) *Server {
	if o.BodyLimit == 0 {
		o.BodyLimit = defaultBodyLimit
	}
	if o.HeaderLimit == 0 {
		o.HeaderLimit = defaultHeaderLimit
	}
	if o.SlowCallerTimeout == 0 {
		o.SlowCallerTimeout = defaultSlowCallerTimeout
	}
	s := &Server{
		opts: o, callers: figconnection.New(figconnection.Options{Clock: o.Clock}),
		bodies: announcedBodies{hold: o.Hold, held: map[*fasthttp.RequestHeader]func(){}},
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.server = &fasthttp.Server{
		Handler:                       s.handle,
		Logger:                        logger{},
		ErrorHandler:                  s.handleError,
		Name:                          "figtrail",
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		ReadBufferSize:                o.HeaderLimit,
		WriteBufferSize:               writeBufferBytes,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		MaxRequestBodySize:            o.BodyLimit,
		HeaderReceived:                s.bodies.reserve,
		DisablePreParseMultipartForm:  true,
		ConnState:                     figconnection.Track,
		ReduceMemoryUsage:             true,
		TCPKeepalive:                  true,
	}
	return s
}

// Serve accepts connections on l and serves them until Shutdown is called. It closes l.
func (s *Server) Serve(l net.Listener) error {
	held, ok := s.callers.Listen(l)
	if !ok {
		return figerror.Wrap(l.Close(), "close", l.Addr().String())
	}
	err := s.server.Serve(held)
	s.callers.CloseListener()
	return figerror.Wrap(err, "serve callers", l.Addr().String())
}

// AnswerTimeout is how long Shutdown waits for the answers to requests that it has aborted.
const AnswerTimeout = figconnection.AnswerTimeout

// Shutdown stops accepting connections, answers the requests that have come and waits for
// running ones until ctx ends. Then it cancels the contexts of requests that still run, and
// returns when their answers have been written, or after AnswerTimeout.
func (s *Server) Shutdown(ctx context.Context) error {
	s.callers.Advance(figconnection.Stopping)
	_, err := s.callers.Wait(ctx)
	s.cancel()
	s.callers.Advance(figconnection.Aborting)
	if err == nil {
		return nil
	}
	s.callers.WaitForAnswers()
	return figerror.Wrap(err, "shut down", "")
}

// closes reports whether connections are closed after their next answer.
func (s *Server) closes() bool {
	return s.opts.Draining() || s.callers.Phase() != figconnection.Accepting
}

// handle serves one request. Every response carries the request id.
func (s *Server) handle(c *fasthttp.RequestCtx) {
	defer s.bodies.release(&c.Request.Header)
	id := s.newID()
	c.Response.Header.Set(headerRequestID, id)
	// The drain may begin while the request runs.
	defer func() {
		if s.closes() && !figconnection.HasNext(c) {
			c.SetConnectionClose()
		}
	}()
	if n, ok := c.Conn().(*figconnection.Conn); ok {
		n.Take(figconnection.Size(&c.Request, len(c.Request.Body())))
	}
	q := &figpipeline.Call{ID: id, Arrived: s.opts.Clock.Now()}
	answered, r := s.read(c, q)
	switch {
	case r != nil:
		s.opts.OnRefused(q.Account, r)
		s.refuse(c, r)
	case !answered:
		s.run(c, q)
	}
}

// newID returns a request id that is unique among all instances: the instance's name, its
// incarnation and the number of the request.
func (s *Server) newID() string {
	b := make([]byte, 0, len(s.opts.Name)+24)
	b = append(b, s.opts.Name...)
	b = append(b, '-')
	b = strconv.AppendUint(b, s.opts.Incarnation, 36)
	b = append(b, '-')
	return string(strconv.AppendUint(b, s.requests.Add(1), 36))
}

// handleError answers a request that fasthttp could not read, and closes the connection.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	defer s.bodies.release(&c.Request.Header)
	reason := figlifecycle.BadRequest
	var small *fasthttp.ErrSmallBuffer
	isTooLarge := errors.Is(err, fasthttp.ErrBodyTooLarge)
	length := c.Request.Header.ContentLength()
	switch {
	case isTooLarge && length >= 0 && length <= s.opts.BodyLimit:
		reason, err = figlifecycle.QueueFull, errNoMemory
	case isTooLarge || errors.As(err, &small):
		reason = figlifecycle.TooLarge
	}
	id := s.newID()
	c.Response.Header.Set(headerRequestID, id)
	c.SetConnectionClose()
	s.refuse(c, refusal(id, reason, "the request can't be read: "+err.Error()))
}
