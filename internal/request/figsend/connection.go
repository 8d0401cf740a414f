package figsend

import (
	"hash/maphash"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// connection is a TCP connection to a backend server. Only one goroutine may read from it at a time; any goroutine may
// call Close.
type connection struct {
	net.Conn
	// id is unique among the connections of a Sender.
	id uint64
	// dialedAt is when the connection was dialled, idleSince when it was last returned to the pool (zero before that).
	dialedAt, idleSince time.Time
	// reused says that the connection has carried an earlier call.
	reused bool
	// refusals holds the hashes of the ids of the requests that the server refused on the connection.
	refusals []uint64
	// written counts the bytes that the kernel has accepted.
	written atomic.Int64
	// now returns the current time, from which readTimeout counts.
	now func() time.Time
	// readDeadline is when every read times out. Zero means never.
	readDeadline time.Time
	// readTimeout bounds the wait of each read. Zero means that only readDeadline applies.
	readTimeout time.Duration
	// readTimedOut says that the last read timed out. The errors that fasthttp returns don't always wrap the timeout.
	readTimedOut bool
}

// maxRefusals is the number of refusals after which a connection is closed.
const maxRefusals = 64

var refusalSeed = maphash.MakeSeed()

// recordRefusal records that the server refused the request id on the connection.
func (c *connection) recordRefusal(id string) {
	c.refusals = append(c.refusals, maphash.String(refusalSeed, id))
}

// hasRefused reports whether the server refused the request id on the connection. If the server sends that refusal
// again, its id doesn't tell it from the answer to a second send of the request.
func (c *connection) hasRefused(id string) bool {
	return len(c.refusals) > 0 && slices.Contains(c.refusals, maphash.String(refusalSeed, id))
}

// Write counts the bytes that the kernel accepts, so that a failed send can tell whether the server may have received
// any.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read times out after readTimeout or at readDeadline, whichever comes first.
func (c *connection) Read(p []byte) (int, error) {
	deadline := c.readDeadline
	if c.readTimeout > 0 {
		deadline = earlier(deadline, c.now().Add(c.readTimeout))
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.readTimedOut = errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// earlier returns the earlier of two deadlines. A zero time means no deadline.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
