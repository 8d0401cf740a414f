// Package figpeer carries the messages between instances: unary calls over drpc
// on TCP, with plain structs encoded as CBOR. Every call has a deadline, every
// message a size limit, and the number of kept connections is bounded.
//
// # Usage
//
// The side that answers registers a handler for each call name before it serves:
//
//	h := figpeer.NewHandlers()
//	figpeer.Handle(h, "lease", func(ctx context.Context, q *LeaseRequest) (*LeaseReply, error) { … })
//	go h.Serve(ctx, listener)
//
// The side that asks holds one Client:
//
//	c := figpeer.NewClient(figpeer.ClientOptions{})
//	reply, err := figpeer.Call[LeaseRequest, LeaseReply](ctx, c, member, "lease", &q)
//
// An error that the handler returned reaches the asker as text; any other error
// says that the outcome at the peer is unknown. Fields are numbered by their
// cbor tags, so that instances of neighbouring versions understand each other.
package figpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
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
	// MaxMessageBytes bounds one message, in bytes: a configuration value and its frame.
	MaxMessageBytes = 4 << 20
	// DefaultTimeout bounds a call whose context has no earlier deadline.
	DefaultTimeout = time.Second
	// dialTimeout bounds the making of a connection.
	dialTimeout = 500 * time.Millisecond
	// idleExpiry closes kept connections that no call has used.
	idleExpiry = 30 * time.Second
	// maxPooledConnections bounds the kept connections of one instance.
	maxPooledConnections = 128
	// maxPooledPerPeer bounds the kept connections to one peer.
	maxPooledPerPeer = 4
)

// codec encodes plain structs as CBOR.
type codec struct{}

func (codec) Marshal(m drpc.Message) ([]byte, error)   { return cbor.Marshal(m) }
func (codec) Unmarshal(b []byte, m drpc.Message) error { return cbor.Unmarshal(b, m) }

type handler func(drpc.Stream) error

// Handlers answers calls by name.
type Handlers struct {
	byName map[string]handler
}

// NewHandlers returns a set without handlers.
func NewHandlers() *Handlers { return &Handlers{byName: map[string]handler{}} }

// Handle registers the function that answers calls called name. All calls of
// Handle come before Serve.
func Handle[Q, R any](h *Handlers, name string, f func(context.Context, *Q) (*R, error)) {
	h.byName[name] = func(s drpc.Stream) error {
		var q Q
		if err := s.MsgRecv(&q, codec{}); err != nil {
			return figerror.Wrap(err, "read "+name, "")
		}
		r, err := f(s.Context(), &q)
		if err != nil {
			return err
		}
		if err := s.MsgSend(r, codec{}); err != nil {
			return figerror.Wrap(err, "answer "+name, "")
		}
		return s.CloseSend()
	}
}

// HandleRPC dispatches one call. It makes Handlers a drpc.Handler.
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

// ClientOptions holds the seams of a Client. Nil fields get the ordinary ones.
type ClientOptions struct {
	// Dial makes a connection to address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Timeout bounds a call whose context has no earlier deadline.
	Timeout time.Duration
}

// Client asks other instances. It is safe for concurrent use.
type Client struct {
	// Calls counts calls, Failures those that returned an error.
	Calls, Failures atomic.Uint64

	opts ClientOptions
	pool *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewClient returns a client with an empty pool of connections.
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

// Close closes the kept connections.
func (c *Client) Close() error { return c.pool.Close() }

// Call asks m and waits for the answer. A call that misses its deadline closes
// its connection, so that one that has gone silent is not used again.
func Call[Q, R any](ctx context.Context, c *Client, m figview.Member, name string, q *Q) (*R, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
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
