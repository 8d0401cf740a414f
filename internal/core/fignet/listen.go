package fignet

import (
	"errors"
	"net"
	"time"
)

// WriteTimeout is the default timeout of one write to a caller.
const WriteTimeout = 30 * time.Second

// ListenConfig returns the settings for a listener that enables TCP keep-alive on accepted
// connections, so that a caller that has disappeared without closing its connection is detected
// within seconds. It sets no limit on unacknowledged bytes, because that would also end the
// connections of callers that only read slowly.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{KeepAliveConfig: keepAlive()}
}

// WithWriteTimeout returns a listener whose accepted connections fail a write that takes longer
// than limit. It exists because the HTTP server can only set a timeout for a whole answer, which
// does not suit streams.
func WithWriteTimeout(l net.Listener, limit time.Duration) net.Listener {
	return &limitedListener{Listener: l, limit: limit}
}

type limitedListener struct {
	net.Listener

	limit time.Duration
}

// Accept returns the next connection, with the write timeout applied.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limit: l.limit}, nil
}

// SetDeadline sets the deadline of Accept. It fails if the underlying listener has none.
func (l *limitedListener) SetDeadline(t time.Time) error { return setDeadline(l.Listener, t) }

// setDeadline sets the deadline of a listener's Accept.
func setDeadline(l net.Listener, t time.Time) error {
	d, ok := l.(interface{ SetDeadline(t time.Time) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return d.SetDeadline(t)
}

type limitedConn struct {
	net.Conn

	limit time.Duration
}

// Write sets the write deadline anew and writes p. It fails if that takes longer than the timeout.
func (c *limitedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.limit)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// NetConn returns the underlying connection, for access to its socket.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }
