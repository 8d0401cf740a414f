package fignet

import (
	"context"
	"net"
	"time"
)

const (
	// keepAliveIdle is how long a connection may be quiet before the kernel probes it.
	keepAliveIdle = time.Second
	// keepAliveInterval is the time between two probes.
	keepAliveInterval = time.Second
	// keepAliveCount is how many unanswered probes end a connection.
	keepAliveCount = 3
	// UnackedLimit is how long sent bytes may stay unacknowledged, and how long a
	// server may leave a full connection unread. It also ends a connection whose
	// probes stay unanswered.
	UnackedLimit = 10 * time.Second
)

// Dialer makes connections.
type Dialer struct {
	// Unacked replaces UnackedLimit if it isn't zero.
	Unacked time.Duration
}

// Dial makes a connection with probes and a limit on unacknowledged bytes, so
// that a path that has gone silent ends it within seconds.
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

// IsAddress says whether s is a host and a port.
func IsAddress(s string) bool {
	_, port, err := net.SplitHostPort(s)
	return err == nil && port != ""
}
