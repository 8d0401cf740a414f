package figemulator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startEcho starts an echo server and a relay to it, and returns the relay.
func startEcho(t *testing.T) *Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, l.Close()) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := StartRelay(l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	return r
}

type echoClient struct {
	net.Conn
	lines *bufio.Reader
}

func dialEcho(t *testing.T, r *Relay) *echoClient {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &echoClient{Conn: c, lines: bufio.NewReader(c)}
}

// answers reports whether the echo server returns a line within limit.
func (c *echoClient) answers(t *testing.T, limit time.Duration) bool {
	t.Helper()
	_, err := io.WriteString(c, "line\n")
	if err != nil {
		return false
	}
	require.NoError(t, c.SetReadDeadline(time.Now().Add(limit)))
	_, err = c.lines.ReadString('\n')
	return err == nil
}

const silenceLimit = 50 * time.Millisecond

func TestRelaySilence(t *testing.T) {
	r := startEcho(t)
	old := dialEcho(t, r)
	require.True(t, old.answers(t, waitLimit))
	r.DropOpenConnections()
	require.False(t, old.answers(t, silenceLimit))
	require.True(t, dialEcho(t, r).answers(t, waitLimit))
	require.NoError(t, old.Close())
	require.Positive(t, r.Forwarded(ToServer))
}

func TestRelaySwallow(t *testing.T) {
	for _, d := range []Direction{ToServer, ToClient} {
		r := startEcho(t)
		c := dialEcho(t, r)
		require.True(t, c.answers(t, waitLimit))
		r.DropTraffic(d, true)
		require.False(t, c.answers(t, silenceLimit))
		r.DropTraffic(d, false)
		require.False(t, c.answers(t, silenceLimit), "a direction that lost bytes stays silent")
		require.True(t, dialEcho(t, r).answers(t, waitLimit))
	}
}

func TestRelayCutAndRefuse(t *testing.T) {
	r := startEcho(t)
	c := dialEcho(t, r)
	require.True(t, c.answers(t, waitLimit))
	r.Cut()
	require.False(t, c.answers(t, waitLimit))
	r.Refuse(true)
	require.False(t, dialEcho(t, r).answers(t, waitLimit))
	require.Eventually(t, func() bool { return r.Open() == 0 }, waitLimit, pollInterval)
}

// Closing a connection whose traffic DropOpenConnections drops must not close it on the other side.
func TestRelayKeepsSilentSideOpen(t *testing.T) {
	d := startEngine(t, EngineOptions{Name: "d", TokenInterval: time.Hour})
	r, err := StartRelay(d.Address())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, r.Close()) })
	c, err := net.Dial("tcp", r.Address())
	require.NoError(t, err)
	q, err := http.NewRequest(http.MethodPost, "http://x"+chatPath, http.NoBody)
	require.NoError(t, err)
	q.Header.Set("X-Request-Id", "r1")
	q.Body, q.ContentLength = io.NopCloser(bufio.NewReader(io.LimitReader(zeroBody{}, 2))), 2
	require.NoError(t, q.Write(c))
	require.Eventually(t, func() bool { return d.Run("r1").Decodes == 1 }, waitLimit, pollInterval)
	r.DropOpenConnections()
	require.NoError(t, c.Close())
	require.Never(t, func() bool { return d.ReservedPieces() == 0 }, silenceLimit, pollInterval)
	r.Cut()
	require.Eventually(t, func() bool { return d.ReservedPieces() == 0 }, waitLimit, pollInterval)
}

// zeroBody yields the bytes of an empty JSON object.
type zeroBody struct{}

func (zeroBody) Read(p []byte) (int, error) { return copy(p, "{}"), nil }
