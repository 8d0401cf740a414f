// Package figpeer implements calls between instances: unary RPC with drpc over TCP, with plain
// structs encoded as CBOR. Every call has a deadline, every message a size limit, and the number
// of pooled connections is bounded.
//
// # Usage
//
// The server side registers a handler for each call name before it serves:
//
//	h := figpeer.NewHandlers()
//	figpeer.Handle(h, "lease", func(ctx context.Context, q *LeaseRequest) (*LeaseReply, error) { … })
//	go h.Serve(ctx, listener)
//
// The client side holds one Client:
//
//	c := figpeer.NewClient(figpeer.ClientOptions{})
//	reply, err := figpeer.Call[LeaseRequest, LeaseReply](ctx, c, member, "lease", &q)
//
// An error that the handler returned reaches the caller as text; after any other error it is
// unknown whether the handler ran. Fields are numbered by their cbor tags, so that instances of
// neighbouring versions can exchange messages.
package figpeer

import (
	"context"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// MaxMessageBytes is the maximum size of one message, in bytes: a configuration value and its
	// frame.
	MaxMessageBytes = 4 << 20
	// DefaultTimeout is the default timeout of a call. A context with an earlier deadline shortens it.
	DefaultTimeout = time.Second
	// dialTimeout is the timeout for establishing a connection.
	dialTimeout = 500 * time.Millisecond
	// idleExpiry is how long a pooled connection may stay unused before it is closed.
	idleExpiry = 30 * time.Second
	// maxPooledConnections is the maximum number of pooled connections of one Client.
	maxPooledConnections = 128
	// maxPooledPerPeer is the maximum number of pooled connections to one peer.
	maxPooledPerPeer = 4
)

// codec encodes plain structs as CBOR.
type codec struct{}

func (codec) Marshal(m drpc.Message) ([]byte, error)   { return cbor.Marshal(m) }
func (codec) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

type handler func(drpc.Stream) error

// Handlers dispatches incoming calls to their handlers by call name.
type Handlers struct {
	byName map[string]handler
}

// NewHandlers returns a set without handlers.
func NewHandlers() *Handlers { return &Handlers{byName: map[string]handler{}} }

// Handle registers f as the handler of the calls called name. It is not safe for concurrent use,
// and all calls of Handle must come before Serve.
func Handle[Q, R any](h *Handlers, name string, f func(context.Context, *Q) (*R, error)) {
	h.byName[name] = func(s drpc.Stream) error {
		var q Q
		if err := s.MsgRecv(&q, codec{}); err != nil {
			return figerror.Wrap(err, "read "+name, "")
		}
		r, err := recovered(s.Context(), name, f, &q)
		if err != nil {
			return err
		}
		if err := s.MsgSend(r, codec{}); err != nil {
			return figerror.Wrap(err, "answer "+name, "")
		}
		return s.CloseSend()
	}
}

// recovered calls f, and returns a panic as an error, so that one call can't end the process.
func recovered[Q, R any](ctx context.Context, name string, f func(context.Context, *Q) (*R, error), q *Q) (r *R, err error) {
	defer func() {
		if v := recover(); v != nil {
			klog.ErrorS(nil, "panic in a call of another instance", "call", name, "panic", v, "stack", string(debug.Stack()))
			r, err = nil, figerror.Newf("answer "+name, "", "panic: %v", v)
		}
	}()
	return f(ctx, q)
}

// HandleRPC dispatches one call, or returns an error if no handler has that name. It implements
// drpc.Handler.
func (h *Handlers) HandleRPC(s drpc.Stream, name string) error {
	f, ok := h.byName[name]
	if !ok {
		return figerror.New("dispatch", "", "no such call: "+name)
	}
	return f(s)
}

// Serve answers calls on l until ctx ends.
func (h *Handlers) Serve(ctx context.Context, l net.Listener) error {
	s := drpcserver.NewWithOptions(h, drpcserver.Options{Manager: managerOptions()})
	return figerror.Wrap(s.Serve(ctx, l), "serve peers", l.Addr().String())
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		SoftCancel: false,
	}
}

// ClientOptions holds the optional settings of a Client.
type ClientOptions struct {
	// Dial makes a connection to address; nil means a plain TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Timeout is the timeout of a call; zero means DefaultTimeout. A context with an earlier deadline
	// shortens it.
	Timeout time.Duration
}

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	// Calls counts all calls, Failures those that returned an error.
	Calls, Failures atomic.Uint64

	opts ClientOptions
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client without open connections.
func NewClient(opts ClientOptions) *Client {
	if opts.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		opts.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{
		opts: opts,
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  idleExpiry,
			Capacity:    maxPooledConnections,
			KeyCapacity: maxPooledPerPeer,
		}),
	}
}

// Close closes the pooled connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call calls the handler called name at m and returns its answer. A call that misses its deadline
// closes its connection, so that a connection that no longer responds is not reused.
func Call[Q, R any](ctx context.Context, c *Client, m figview.Member, name string, q *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	return CallUntil[Q, R](ctx, c, m, name, q)
}

// CallUntil is like Call, but only the deadline of ctx limits the time of the call.
func CallUntil[Q, R any](ctx context.Context, c *Client, m figview.Member, name string, q *Q) (*R, error) {
	c.Calls.Add(1)
	conn := c.pool.Get(ctx, m.Address, c.dial)
	r := new(R)
	if err := conn.Invoke(ctx, name, codec{}, q, r); err != nil {
		c.Failures.Add(1)
		return nil, figerror.Wrap(err, name, m.Name)
	}
	return r, nil
}

func (c *Client) dial(ctx context.Context, address string) (*drpcconn.Conn, error) {
	n, err := c.opts.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	return drpcconn.NewWithOptions(n, drpcconn.Options{Manager: managerOptions()}), nil
}
