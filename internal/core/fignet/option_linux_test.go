package fignet

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// option returns a socket option of a connection.
func option(t *testing.T, c net.Conn, level, name int) int {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	value := 0
	var failed error
	require.NoError(t, raw.Control(func(fd uintptr) {
		value, failed = unix.GetsockoptInt(int(fd), level, name)
	}))
	require.NoError(t, failed)
	return value
}

// TestConnectionsAreProbed checks the socket options of dialled and of accepted connections.
func TestConnectionsAreProbed(t *testing.T) {
	config := ListenConfig()
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	dialled, err := Dialer{}.Dial(t.Context(), l.Addr().String(), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialled.Close() })
	short, err := Dialer{Unacked: 3 * time.Second}.Dial(t.Context(), l.Addr().String(), time.Second)
	require.NoError(t, err)
	t.Cleanup(func() { _ = short.Close() })
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	limits := map[net.Conn]time.Duration{accepted: 0, dialled: UnackedLimit, short: 3 * time.Second}
	for c, limit := range limits {
		require.Equal(t, 1, option(t, c, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
		require.Equal(t, int(keepAliveIdle.Seconds()), option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE))
		require.Equal(t, int(keepAliveInterval.Seconds()), option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL))
		require.Equal(t, keepAliveCount, option(t, c, unix.IPPROTO_TCP, unix.TCP_KEEPCNT))
		require.Equal(t, int(limit.Milliseconds()), option(t, c, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT))
	}
}
