package figconnection

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/limit/figmemory"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// Conn is a caller's connection whose reads end at the shutdown. It is safe for concurrent use.
type Conn struct {
	net.Conn

	connections *Set
	// Holding is what the connection holds of the process's memory.
	Holding *figmemory.Holding

	mu sync.Mutex
	// firstRequest is when a connection without a request is closed during the shutdown; zero if it had one.
	firstRequest time.Time
	// waiting says that no byte of the next request has been read.
	waiting bool
	// incomplete says that a request wasn't read to its end.
	incomplete bool
	// unread is how many more bytes are read and dropped in search of the end of a body within the limits that was
	// refused, so that its caller gets the answer.
	unread int
	// evicted says that the connection must make room for others.
	evicted bool
	// received counts the bytes that have been read, taken those of the requests that were served. uncounted says that the
	// bytes of one aren't known.
	received, taken int
	uncounted       bool
	// deadline is the read deadline that the HTTP server has set, limit that of the shutdown; zero for none.
	deadline, limit time.Time
}

// Track notes whether a connection waits for a request.
func Track(n net.Conn, state fasthttp.ConnState) {
	c, ok := n.(*Conn)
	if !ok || (state != fasthttp.StateActive && state != fasthttp.StateIdle) {
		return
	}
	c.mu.Lock()
	c.firstRequest = time.Time{}
	c.waiting = state == fasthttp.StateIdle
	c.mu.Unlock()
	if state == fasthttp.StateIdle {
		c.Holding.Release(figmemory.Answers)
		c.Holding.Enter(figmemory.Idle)
	} else {
		c.Holding.Enter(figmemory.Receiving)
	}
	c.limitReads()
}

// limitReads ends the reads of the connection as the phase of the shutdown demands.
func (c *Conn) limitReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.connections.Phase()
	limit := time.Time{}
	switch {
	case p == Aborting, c.evicted, p == Stopping && c.waiting && c.firstRequest.IsZero():
		limit = time.Now()
	case p == Stopping && c.waiting:
		limit = c.firstRequest
	}
	if limit.IsZero() && c.limit.IsZero() {
		return
	}
	c.limit = limit
	_ = c.Conn.SetReadDeadline(earlier(c.deadline, limit))
}

// earlier returns the earlier one of two times, of which a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// SetReadDeadline sets the read deadline, but not beyond that of the shutdown.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetReadDeadline(earlier(t, c.limit))
}

// Read reads from the connection. If the shutdown ends the read, what has already arrived is still read. It returns
// io.EOF if no byte of the next request comes in time, so that the connection is closed without an answer.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.receive(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if c.isLimited() && c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil {
		if n, err = c.receive(p); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting {
		return 0, io.EOF
	}
	return 0, err
}

// receive reads from the connection and counts the bytes.
func (c *Conn) receive(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Holding.Progress(n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received += n
	return n, err
}

// Write writes in pieces, so that it is seen how fast the caller reads. The write timeout applies to each piece.
func (c *Conn) Write(p []byte) (int, error) {
	before := c.Holding.Enter(figmemory.Sending)
	defer c.Holding.Enter(before)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
		c.Holding.Progress(n)
	}
}

// evict makes the connection give up what it holds. One that waits for a request is closed as in a shutdown, a request
// that hasn't come to its end is refused, and one whose caller doesn't read the answer is reset.
func (c *Conn) evict(p figmemory.Phase) {
	if p == figmemory.Sending {
		if n, ok := c.NetConn().(*net.TCPConn); ok {
			_ = n.SetLinger(0) // drops what the kernel holds for the caller
		}
		_ = c.Conn.Close()
		return
	}
	c.mu.Lock()
	c.evicted = true
	c.mu.Unlock()
	c.limitReads()
}

// IsEvicted says whether the connection must be closed to make room for others.
func (c *Conn) IsEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// Take counts the bytes of a request that is served; a negative number if they aren't known. An empty line before it
// counts as well: callers may send one after a body.
func (c *Conn) Take(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken += size
	c.uncounted = c.uncounted || size < 0
	if c.received-c.taken <= len("\r\n") {
		c.taken = c.received
	}
}

// HasNext says whether a part of a further request has come.
func (c *Conn) HasNext() bool {
	c.mu.Lock()
	more := !c.uncounted && c.received > c.taken
	c.mu.Unlock()
	return more || figsend.HasUnread(c.Conn)
}

// isLimited says whether the shutdown has ended the reads of the connection.
func (c *Conn) isLimited() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.limit.IsZero() && !time.Now().Before(c.limit)
}

// Lingers makes Close wait until the caller has got the answer, because its request wasn't read to the end. Up to unread
// bytes of it may still come.
func (c *Conn) Lingers(unread int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.incomplete, c.unread = true, unread
}

// Close closes the connection. It doesn't wait for a connection whose request wasn't read at all, as the goroutine that
// accepts connections closes those that are too many.
func (c *Conn) Close() error {
	c.mu.Lock()
	incomplete, unserved := c.incomplete, !c.firstRequest.IsZero()
	c.mu.Unlock()
	switch {
	case !incomplete && !figsend.HasUnread(c.Conn):
	case !unserved:
		c.linger()
	case c.connections.beginLinger():
		go func() {
			defer c.connections.endLinger()
			c.linger()
			_ = c.closeNow()
		}()
		return nil
	}
	return c.closeNow()
}

func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	c.Holding.Close()
	c.connections.remove(c)
	return err
}

// linger closes the sending side and drops what the caller sends until it closes the connection, for at most
// LingerTimeout. Bytes of a refused body within the limits are dropped for at most bodyLingerTimeout before.
func (c *Conn) linger() {
	c.mu.Lock()
	unread := c.unread
	c.mu.Unlock()
	timeout := LingerTimeout
	if unread > 0 {
		timeout = bodyLingerTimeout
	}
	w, ok := c.NetConn().(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(timeout)) != nil {
		return
	}
	buffer := make([]byte, lingerBytes)
	for {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		if unread > 0 && n >= unread && c.Conn.SetReadDeadline(time.Now().Add(LingerTimeout)) != nil {
			return
		}
		unread -= n
	}
}

// NetConn returns the underlying connection, for access to its socket.
func (c *Conn) NetConn() net.Conn {
	if w, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return w.NetConn()
	}
	return c.Conn
}
