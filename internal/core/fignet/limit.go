package fignet

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Limit says how many connections a listener has open and what they hold. Zero fields mean no limit.
type Limit struct {
	// Connections is the maximum number of open connections. Beyond it, each new connection closes the one that has been
	// without bytes for longest.
	Connections int
	// Idle is the time without an incoming byte after which a connection is closed.
	Idle time.Duration
	// Open returns what reserves memory for a connection; nil if none is reserved. evict closes the connection.
	Open func(evict func()) Reservation
	// HeldPercent is how much a reader may hold for what it has read, in percent; 0 means 250, for buffers that double and
	// are kept.
	HeldPercent int
	// ReleaseAnswered releases the memory when the next bytes come after an answer. Otherwise it is held until the
	// connection is closed, for readers that keep their buffers.
	ReleaseAnswered bool
	// OnClose is called for each connection that was closed to keep the limits; nil for none.
	OnClose func()
}

// Reservation reserves memory for what is read from one connection.
type Reservation struct {
	// Grow reserves n more bytes. If it returns false, the connection is closed.
	Grow func(n int64) bool
	// Shrink releases n bytes.
	Shrink func(n int64)
	// Progress notes that n bytes were read.
	Progress func(n int)
	// Close releases everything.
	Close func()
}

const (
	// unreservedBytes is how much may be read before an answer without a reservation: most calls are smaller.
	unreservedBytes = 16 << 10
	// defaultHeldPercent is the default of Limit.HeldPercent.
	defaultHeldPercent = 250
	// reserveAheadPercent is how much more is reserved, so that not each read reserves.
	reserveAheadPercent = 25
	percent             = 100
)

// WithLimit returns a listener that keeps the limits.
func WithLimit(l net.Listener, limit Limit) net.Listener {
	if limit.OnClose == nil {
		limit.OnClose = func() {}
	}
	if limit.HeldPercent == 0 {
		limit.HeldPercent = defaultHeldPercent
	}
	return &boundedListener{Listener: l, limit: limit, open: map[*boundedConn]struct{}{}}
}

type boundedListener struct {
	net.Listener

	limit Limit

	mu   sync.Mutex
	open map[*boundedConn]struct{}
}

// Accept returns the next connection. It closes another one if there are too many.
func (l *boundedListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: n, listener: l}
	c.activeAt.Store(time.Now().UnixNano())
	if l.limit.Open != nil {
		c.reservation = l.limit.Open(c.evict)
	}
	if oldest := l.add(c); oldest != nil {
		oldest.evict()
	}
	return c, nil
}

// SetDeadline sets the deadline of Accept. It fails if the underlying listener has none.
func (l *boundedListener) SetDeadline(t time.Time) error { return setDeadline(l.Listener, t) }

// add adds a connection and returns the one that must be closed for it, or nil.
func (l *boundedListener) add(c *boundedConn) *boundedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *boundedConn
	if l.limit.Connections > 0 && len(l.open) >= l.limit.Connections {
		for o := range l.open {
			if oldest == nil || o.activeAt.Load() < oldest.activeAt.Load() {
				oldest = o
			}
		}
		delete(l.open, oldest)
	}
	l.open[c] = struct{}{}
	return oldest
}

func (l *boundedListener) remove(c *boundedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// boundedConn is a connection of a boundedListener. Only one goroutine may read from it at a time.
type boundedConn struct {
	net.Conn

	listener    *boundedListener
	reservation Reservation
	// activeAt is when bytes were last read or written, in Unix nanoseconds. unanswered is the number of bytes read of
	// what hasn't been answered.
	activeAt, unanswered atomic.Int64
	// answered says that bytes were written since the last read.
	answered atomic.Bool
	// reserved is the number of reserved bytes.
	reserved int64
	closing  sync.Once
}

// Read reads from the connection. It fails if no byte arrives within the idle time or no memory is left.
func (c *boundedConn) Read(p []byte) (int, error) {
	if d := c.listener.limit.Idle; d > 0 {
		if err := c.SetReadDeadline(time.Now().Add(d)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.activeAt.Store(time.Now().UnixNano())
	}
	if c.reservation.Grow == nil {
		return n, err
	}
	c.reservation.Progress(n)
	if c.answered.Swap(false) {
		c.unanswered.Store(0)
		if c.listener.limit.ReleaseAnswered && c.reserved > 0 {
			c.reservation.Shrink(c.reserved)
			c.reserved = 0
		}
	}
	read := c.unanswered.Add(int64(n))
	if needed := read * int64(c.listener.limit.HeldPercent) / percent; read > unreservedBytes && needed > c.reserved {
		more := needed*(percent+reserveAheadPercent)/percent - c.reserved
		if !c.reservation.Grow(more) {
			c.evict()
			return 0, net.ErrClosed
		}
		c.reserved += more
	}
	return n, err
}

// Write writes to the connection.
func (c *boundedConn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	n, err := c.Conn.Write(p)
	c.activeAt.Store(time.Now().UnixNano())
	return n, err
}

// evict closes the connection to keep the limits.
func (c *boundedConn) evict() {
	c.listener.limit.OnClose()
	_ = c.Conn.Close()
}

// Close closes the connection and releases what it holds.
func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.closing.Do(func() {
		c.listener.remove(c)
		if c.reservation.Close != nil {
			c.reservation.Close()
		}
	})
	return err
}

// NetConn returns the underlying connection, for access to its socket.
func (c *boundedConn) NetConn() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}
