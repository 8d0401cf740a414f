// Package figfront answers callers: the interface that model client libraries
// already speak, and the plain routes beside it. It reads and checks a request,
// finds out whose key came with it, and hands it to the flow; the flow's reply
// goes back as one body or as a stream.
//
// # Usage
//
//	f := figfront.New(figfront.Options{
//		Tree:    store.Tree,
//		Run:     flow.Run,
//		Workers: workers,
//		…
//	})
//	err := f.Serve(ctx, listener)
//
// Every request gets an id, in the header X-Request-Id of its answer. A refusal
// is JSON with the outcome, the reason and that id. Nothing that the connection
// owns is kept after its handler has returned.
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
	"figtrail.dev/figtrail/internal/limit/figkey"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figpipeline"
)

const (
	// pathChat, pathCompletions and pathModels are the model interface.
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathModels      = "/v1/models"
	// defaultBodyLimit bounds a caller's body, in bytes.
	defaultBodyLimit = 8 << 20
	// defaultHeaderLimit bounds a caller's header, in bytes.
	defaultHeaderLimit = 16 << 10
	// writeBuffer is what each connection holds for writing, in bytes: a token's
	// event, of which thousands are open at once. Larger answers pass it by.
	writeBuffer = 1 << 10
	// defaultIdleLimit closes callers' connections without a request.
	defaultIdleLimit = 90 * time.Second
	// defaultReadLimit bounds the reading of one request.
	defaultReadLimit = 30 * time.Second
	// headerRequestID carries the request id.
	headerRequestID = "X-Request-Id"
	// headerTimeout is the caller's own deadline, in milliseconds.
	headerTimeout = "X-Request-Timeout-Ms"
	// headerOutcome carries the outcome of a refusal.
	headerOutcome = "X-Figtrail-Outcome"
)

// Options holds what the front end needs. Zero limits get the ordinary ones.
type Options struct {
	// Name is the instance's name, which begins its request ids.
	Name string
	// Incarnation tells request ids of a restarted instance apart.
	Incarnation uint64
	// Clock gives arrival times.
	Clock figtimer.Clock
	// Tree returns the configuration in force.
	Tree func() *figtree.Tree
	// Run answers one call.
	Run func(ctx context.Context, q *figpipeline.Call, r *figpipeline.ResponseWriter)
	// Refused is told of requests that were refused before they reached Run.
	Refused func(account *figtree.Account, r *figlifecycle.Result)
	// KeyRefused is told why a key was not accepted.
	KeyRefused func(reason figkey.Reason)
	// Draining says that callers should use other instances: connections are
	// closed after their answer. A request that came all the same is served.
	Draining func() bool
	// Watch calls gone when the caller's connection has closed, until stop is called.
	Watch func(conn net.Conn, gone func()) (stop func())
	// Workers runs the calls.
	Workers *figworker.Pool
	// BodyLimit and HeaderLimit bound a request, in bytes.
	BodyLimit, HeaderLimit int
	// SlowCaller is how long a stream waits for a caller that doesn't read.
	SlowCaller time.Duration
}

// Front answers callers.
type Front struct {
	opts   Options
	next   atomic.Uint64
	server *fasthttp.Server
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a front end that serves nothing yet.
func New(o Options) *Front {
	if o.BodyLimit == 0 {
		o.BodyLimit = defaultBodyLimit
	}
	if o.HeaderLimit == 0 {
		o.HeaderLimit = defaultHeaderLimit
	}
	if o.SlowCaller == 0 {
		o.SlowCaller = defaultSlowCaller
	}
	f := &Front{opts: o}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &fasthttp.Server{
		Handler:                       f.handle,
		Logger:                        logger{},
		ErrorHandler:                  f.handleError,
		Name:                          "figtrail",
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		DisableHeaderNamesNormalizing: false,
		ReadBufferSize:                o.HeaderLimit,
		WriteBufferSize:               writeBuffer,
		ReadTimeout:                   defaultReadLimit,
		IdleTimeout:                   defaultIdleLimit,
		MaxRequestBodySize:            o.BodyLimit,
		DisablePreParseMultipartForm:  true,
		CloseOnShutdown:               true,
		ReduceMemoryUsage:             true,
		TCPKeepalive:                  true,
	}
	return f
}

// Serve answers on l until Shutdown.
func (f *Front) Serve(l net.Listener) error {
	return figerror.Wrap(f.server.Serve(l), "serve callers", l.Addr().String())
}

// Shutdown stops accepting and waits for running requests until ctx ends; then
// it cuts what still runs.
func (f *Front) Shutdown(ctx context.Context) error {
	err := f.server.ShutdownWithContext(ctx)
	f.cancel()
	return figerror.Wrap(err, "shut down", "")
}

// handle answers one request. Its answer's header always has the request id.
func (f *Front) handle(c *fasthttp.RequestCtx) {
	id := f.newID()
	c.Response.Header.Set(headerRequestID, id)
	if f.opts.Draining() {
		c.SetConnectionClose()
	}
	q := &figpipeline.Call{ID: id, Arrived: f.opts.Clock.Now()}
	answered, r := f.read(c, q)
	switch {
	case r != nil:
		f.opts.Refused(q.Account, r)
		f.refuse(c, r)
	case !answered:
		f.run(c, q)
	}
}

// newID returns an id that no other request of the fleet has.
func (f *Front) newID() string {
	b := make([]byte, 0, len(f.opts.Name)+24)
	b = append(b, f.opts.Name...)
	b = append(b, '-')
	b = strconv.AppendUint(b, f.opts.Incarnation, 36)
	b = append(b, '-')
	return string(strconv.AppendUint(b, f.next.Add(1), 36))
}

// handleError answers what the library could not read.
func (f *Front) handleError(c *fasthttp.RequestCtx, err error) {
	reason := figlifecycle.BadRequest
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = figlifecycle.TooLarge
	}
	id := f.newID()
	c.Response.Header.Set(headerRequestID, id)
	c.SetConnectionClose()
	f.refuse(c, refusal(id, reason, "the request can't be read: "+err.Error()))
}
