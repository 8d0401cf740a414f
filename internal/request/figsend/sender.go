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
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Defaults of the fields of Options.
const (
	defaultDialTimeout            = time.Second
	defaultFirstByteTimeout       = time.Minute
	defaultPooledFirstByteTimeout = 2 * time.Second
	defaultIdleTimeout            = 3 * time.Second
	defaultMaxConnectionAge       = time.Minute
	defaultReadTimeout            = 10 * time.Second
	defaultMaxPooledConnections   = 64
	defaultMaxBodyBytes           = 16 << 20
)

// maxHosts is the number of servers above which servers without a pooled connection are removed from Sender.hosts.
const maxHosts = 1024

// Options holds the limits of a Sender and the functions that it depends on. Zero fields get defaults.
type Options struct {
	// Clock returns the current time, for deadlines and the age of connections.
	Clock figtimer.Clock
	// Dial establishes a connection to address, for at most limit.
	Dial func(ctx context.Context, address string, limit time.Duration) (net.Conn, error)
	// DialTimeout bounds the time to establish a connection.
	DialTimeout time.Duration
	// FirstByteTimeout bounds the sending of a request, and then the wait for the first byte of its answer.
	FirstByteTimeout time.Duration
	// PooledFirstByteTimeout bounds the wait for the first byte of an answer on a reused connection, if it is shorter
	// than FirstByteTimeout. A reused connection may be dead without having been closed.
	PooledFirstByteTimeout time.Duration
	// ReadTimeout bounds the wait for more bytes of an answer that has begun. For the events of a stream, the stall
	// limit of Next applies instead.
	ReadTimeout time.Duration
	// IdleTimeout is how long an idle pooled connection stays usable.
	IdleTimeout time.Duration
	// MaxConnectionAge is how long after it was dialled a pooled connection stays usable.
	MaxConnectionAge time.Duration
	// MaxPooledConnections bounds the pooled connections to one server, whether idle or in use. A call that would exceed
	// it fails with KindBusy.
	MaxPooledConnections int
	// MaxBodyBytes bounds the body of an answer.
	MaxBodyBytes int64
	// IDHeader is the name of the header field that carries the request id, in requests and answers.
	IDHeader string
	// RequireID says that servers echo the request id in all answers. An answer without an id on a reused connection is
	// then an answer to an earlier request.
	RequireID bool
	// EndToEnd reports whether a field of a caller or a server is meant for the other end, so that it is forwarded even if
	// a Connection field names it. name is in lower case. Nil stands for no such fields.
	EndToEnd func(name string) bool
	// EventFields holds the names of the fields that the events of streams may have besides event, data, id and retry. A
	// stream with any other line is broken: the line may be part of another answer. Nil accepts all lines.
	EventFields []string
	// IsRefusal reports whether an answer means that the server refused the request without running it. Nil stands for a
	// function that tests for status 429.
	IsRefusal func(a *Answer) bool
	// MaySend reports whether a server may be sent a request now. It is asked right before each request is written; if it
	// returns false, the call fails with KindBusy and NotRun. Nil allows all.
	MaySend func(server figview.Server) bool
	// OnAnswer is called with the status of each answer and a function that looks up its header fields, before the body
	// is read, also for an answer that doesn't belong to the request. Nil stands for a function that does nothing.
	OnAnswer func(server figview.Server, status int, field func(name string) string)
	// AllowCloseDelimited accepts an answer with neither a content length nor chunked encoding as complete when the
	// server closes the connection without an error. Otherwise such an answer is a failure.
	AllowCloseDelimited bool
	// Hold reserves memory for a part of an answer before it is read, and waits for room until ctx ends. A negative number
	// of bytes releases what was reserved for an answer that failed, or for an event that is no longer used; what was
	// reserved for an answer that is returned belongs to the caller. It isn't called for answers up to 16 KiB and events
	// up to 4 KiB. Nil stands for no limit.
	Hold func(ctx context.Context, bytes int64) error
}

func (o Options) withDefaults() Options {
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	if o.Dial == nil {
		o.Dial = fignet.Dialer{}.Dial
	}
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.FirstByteTimeout, defaultFirstByteTimeout)
	setDefault(&o.PooledFirstByteTimeout, defaultPooledFirstByteTimeout)
	setDefault(&o.ReadTimeout, defaultReadTimeout)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.MaxConnectionAge, defaultMaxConnectionAge)
	setDefault(&o.MaxPooledConnections, defaultMaxPooledConnections)
	setDefault(&o.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(&o.IDHeader, requestIDHeader)
	if o.IsRefusal == nil {
		o.IsRefusal = tooManyRequests
	}
	if o.MaySend == nil {
		o.MaySend = func(figview.Server) bool { return true }
	}
	if o.EndToEnd == nil {
		o.EndToEnd = func(string) bool { return false }
	}
	if o.Hold == nil {
		o.Hold = func(context.Context, int64) error { return nil }
	}
	if o.OnAnswer == nil {
		o.OnAnswer = func(figview.Server, int, func(string) string) {}
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

// Counters holds the counters of a Sender. They never decrease.
type Counters struct {
	// Sends counts the calls of which at least one byte was sent.
	Sends atomic.Uint64
	// Dials counts new connections, Reuses the times that a pooled connection was acquired again.
	Dials, Reuses atomic.Uint64
	// Unsolicited counts connections on which a server sent data that no request was waiting for, such as an answer after
	// its timeout or a second answer.
	Unsolicited atomic.Uint64
	// Mismatched counts answers that carried the id of another request.
	Mismatched atomic.Uint64
	// TimedOut counts timeouts while a request was sent or an answer read, including those counted in Stalled.
	TimedOut atomic.Uint64
	// Stalled counts streams whose next event didn't arrive within the stall limit. Incomplete counts connections that
	// ended before the answer was complete.
	Stalled, Incomplete atomic.Uint64
}

// Sender sends calls to backend servers. It is safe for concurrent use.
type Sender struct {
	Counters

	opts             Options
	lastConnectionID atomic.Uint64
	mu               sync.Mutex
	hosts            map[string]*fasthttp.HostClient
}

// New returns a Sender without connections.
func New(opts Options) *Sender {
	return &Sender{opts: opts.withDefaults(), hosts: map[string]*fasthttp.HostClient{}}
}

// Close closes the idle connections. It doesn't affect calls in progress.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, h := range s.hosts {
		h.CloseIdleConnections()
		delete(s.hosts, address)
	}
}

// host returns the fasthttp client for address, which holds the pooled connections.
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
		MaxConns:                      s.opts.MaxPooledConnections,
		MaxIdleConnDuration:           s.opts.IdleTimeout,
		ConnPoolStrategy:              fasthttp.LIFO,
		DialTimeout:                   s.dialPooled,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		// By default fasthttp retries calls of some methods. Whether a call may be retried depends on its route, so
		// retries are switched off here.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                neverRetry,
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// removeUnusedHosts removes the servers without a pooled connection. s.mu must be held.
func (s *Sender) removeUnusedHosts() {
	for address, h := range s.hosts {
		if h.ConnsCount() == 0 {
			delete(s.hosts, address)
		}
	}
}

// dialPooled is the dial function for fasthttp. fasthttp passes no context, so that only limit bounds the dialling.
func (s *Sender) dialPooled(address string, limit time.Duration) (net.Conn, error) {
	if limit <= 0 || limit > s.opts.DialTimeout {
		limit = s.opts.DialTimeout
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
