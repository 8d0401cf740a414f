package figsend

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// connection is one TCP connection to a backend server. One goroutine reads
// from it at a time; Close may be called from any.
type connection struct {
	net.Conn
	// id is unique among all connections of a sender.
	id uint64
	// dialedAt is when it was dialled, idleSince when its last call ended.
	dialedAt, idleSince time.Time
	// reused says that it has carried an earlier call.
	reused bool
	// written counts the bytes that the kernel has taken.
	written atomic.Int64
	// now gives the time for read limits.
	now func() time.Time
	// readDeadline ends every read. Zero means never.
	readDeadline time.Time
	// readTimeout bounds one read. Zero leaves until alone.
	readTimeout time.Duration
	// readTimedOut says that the last read met a limit. The library's errors don't
	// always tell.
	readTimedOut bool
}

// Write counts what the kernel takes, so that a failed send can say whether a
// byte can have left.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read waits no longer than the limits allow.
func (c *connection) Read(p []byte) (int, error) {
	until := c.readDeadline
	if c.readTimeout > 0 {
		until = earlier(until, c.now().Add(c.readTimeout))
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.readTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// earlier returns the earlier of two deadlines, of which zero means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
