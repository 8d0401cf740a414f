package fignet

import (
	"context"
	"net"
	"time"
)

const (
	// keepAliveIdle is the idle time after which the kernel sends the first keep-alive probe.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two keep-alive probes.
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which the kernel closes the connection.
	keepAliveCount = 3
	// UnackedLimit is the default time for which sent bytes may stay unacknowledged, and for which a
	// server may leave its full receive buffer unread, before the kernel closes the connection. It
	// also closes a connection whose keep-alive probes stay unanswered.
	UnackedLimit = 10 * time.Second
)

// Dialer makes outgoing TCP connections. The zero value is ready to use.
type Dialer struct {
	// Unacked is how long sent bytes may stay unacknowledged; zero means UnackedLimit.
	Unacked time.Duration
}

// Dial connects to address within limit. The connection uses keep-alive probes and a limit on
// unacknowledged bytes (on Linux), so that it fails within seconds when the network path becomes
// unresponsive.
func (d Dialer) Dial(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	unacked := d.Unacked
	if unacked == 0 {
		unacked = UnackedLimit
	}
	n := net.Dialer{Timeout: limit, KeepAliveConfig: keepAlive(), Control: setUnackedTimeout(unacked)}
	return n.DialContext(ctx, "tcp", address)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
}

// IsAddress reports whether s is of the form host:port with a port that is not empty. The host may
// be empty.
func IsAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}
