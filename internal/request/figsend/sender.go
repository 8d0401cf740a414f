package figsend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/core/figtimer"
)

const (
	// defaultDialTimeout bounds the making of a connection.
	defaultDialTimeout = time.Second
	// defaultFirstByteTimeout bounds the wait for the first byte of an answer.
	defaultFirstByteTimeout = time.Minute
	// defaultPooledFirstByteTimeout bounds that wait on a kept connection.
	defaultPooledFirstByteTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an unused connection is kept.
	defaultIdleTimeout = 3 * time.Second
	// defaultMaxConnectionAge is how long a connection is kept in use.
	defaultMaxConnectionAge = time.Minute
	// defaultReadTimeout bounds the wait for the next bytes of a whole answer.
	defaultReadTimeout = 10 * time.Second
	// defaultMaxPooledConnections bounds the kept connections to one server.
	defaultMaxPooledConnections = 64
	// defaultMaxBodyBytes bounds the body of an answer, in bytes.
	defaultMaxBodyBytes = 16 << 20
	// maxHosts is the number of servers above which unused ones are dropped.
	maxHosts = 1024
)

// Options holds the limits and seams of a Sender. Zero fields get the ordinary ones.
type Options struct {
	// Clock gives the time for deadlines and ages.
	Clock figtimer.Clock
	// Dial makes a connection to address.
	Dial func(ctx context.Context, address string, limit time.Duration) (net.Conn, error)
	// DialLimit bounds the making of a connection.
	DialLimit time.Duration
	// FirstByteTimeout bounds the wait for the first byte of an answer.
	FirstByteTimeout time.Duration
	// ReuseLimit bounds the wait for the first byte on a kept connection, which
	// may have gone silent.
	ReuseLimit time.Duration
	// ReadTimeout bounds the wait for the next bytes of a whole answer that
	// has begun.
	ReadTimeout time.Duration
	// IdleLimit is how long an unused connection is kept.
	IdleLimit time.Duration
	// MaxConnectionAge is how long a connection is used at all.
	MaxConnectionAge time.Duration
	// Connections bounds the kept connections to one server.
	Connections int
	// MaxAnswer bounds the body of an answer in bytes.
	MaxAnswer int64
	// IDHeader names the header field that carries the request id in both
	// directions.
	IDHeader string
	// Refused says that an answer is the server's own word that it did not run
	// the request. Nil means the status 429.
	Refused func(a *Answer) bool
	// CloseEnds accepts an answer without a length or chunks as whole if its
	// connection was closed in order. Without it such an answer is a failure.
	CloseEnds bool
}

func (o Options) withDefaults() Options {
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	if o.Dial == nil {
		o.Dial = fignet.Dialer{}.Dial
	}
	setDefault(&o.DialLimit, defaultDialTimeout)
	setDefault(&o.FirstByteTimeout, defaultFirstByteTimeout)
	setDefault(&o.ReuseLimit, defaultPooledFirstByteTimeout)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.IdleLimit, defaultIdleTimeout)
	setDefault(&o.MaxConnectionAge, defaultMaxConnectionAge)
	setDefault(&o.Connections, defaultMaxPooledConnections)
	setDefault(&o.MaxAnswer, defaultMaxBodyBytes)
	setDefault(&o.IDHeader, requestIDHeader)
	if o.Refused == nil {
		o.Refused = tooManyRequests
	}
	return o
}

func tooManyRequests(a *Answer) bool { return a.Status == fasthttp.StatusTooManyRequests }

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Counters holds what a Sender has seen. All only grow.
type Counters struct {
	// Sends counts the calls of which at least one byte was written.
	Sends atomic.Uint64
	// Dials counts new connections, Reuses calls on kept ones.
	Dials, Reuses atomic.Uint64
	// Late counts answers that came on a connection when none was due.
	Late atomic.Uint64
	// Crossed counts answers that belonged to another request.
	Crossed atomic.Uint64
	// Silent counts connections given up because no answer came.
	Silent atomic.Uint64
	// Stalled and Cut count streams and answers that stopped or ended too early.
	Stalled, Cut atomic.Uint64
}

// Sender sends calls to backend servers. It is safe for concurrent use.
type Sender struct {
	Counters

	opts             Options
	lastConnectionID atomic.Uint64
	mu               sync.Mutex
	hosts            map[string]*fasthttp.HostClient
}

// New returns a sender without connections.
func New(opts Options) *Sender {
	return &Sender{opts: opts.withDefaults(), hosts: map[string]*fasthttp.HostClient{}}
}

// Close closes the idle connections. Calls in flight go on.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, h := range s.hosts {
		h.CloseIdleConnections()
		delete(s.hosts, address)
	}
}

// host returns the library's client for one address.
func (s *Sender) host(address string) *fasthttp.HostClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.hosts[address]
	if ok {
		return h
	}
	if len(s.hosts) >= maxHosts {
		s.removeUnusedHosts()
	}
	h = s.newHost(address)
	s.hosts[address] = h
	return h
}

func (s *Sender) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      s.opts.Connections,
		MaxIdleConnDuration:           s.opts.IdleLimit,
		ConnPoolStrategy:              fasthttp.LIFO,
		DialTimeout:                   s.dialPooled,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		// The library would repeat calls by method. Only the route's declaration
		// decides that, so it gets one attempt and a function that says no.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// removeUnusedHosts forgets the servers without a connection.
func (s *Sender) removeUnusedHosts() {
	for address, h := range s.hosts {
		if h.ConnsCount() == 0 {
			delete(s.hosts, address)
		}
	}
}

// dialPooled is the library's dial function. It knows no context; the limit that
// it is given ends it.
func (s *Sender) dialPooled(address string, limit time.Duration) (net.Conn, error) {
	if limit <= 0 || limit > s.opts.DialLimit {
		limit = s.opts.DialLimit
	}
	return s.connect(context.Background(), address, limit)
}

func (s *Sender) connect(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	n, err := s.opts.Dial(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	s.Dials.Add(1)
	now := s.opts.Clock.Now
	return &connection{Conn: n, id: s.lastConnectionID.Add(1), dialedAt: now(), now: now}, nil
}
