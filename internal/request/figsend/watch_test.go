package figsend

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// callerPair returns both ends of a connection from a caller.
func callerPair(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	ends := make(chan net.Conn, 1)
	config := ListenConfig()
	n, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		c, _ := n.Accept()
		ends <- c
	}()
	caller, err = net.Dial("tcp", n.Addr().String())
	require.NoError(t, err)
	accepted = <-ends
	t.Cleanup(func() { _, _, _ = caller.Close(), accepted.Close(), n.Close() })
	return caller, accepted
}

func TestCallerWatch(t *testing.T) {
	leave := map[string]func(c net.Conn){
		"closed":                 func(c net.Conn) { _ = c.Close() },
		"reset":                  func(c net.Conn) { _, _ = c.(*net.TCPConn).SetLinger(0), c.Close() },
		"closed behind pipeline": func(c net.Conn) { _, _ = c.Write([]byte("GET")); _ = c.Close() },
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			caller, accepted := callerPair(t)
			_, other := callerPair(t)
			w := NewCallerWatch()
			gone := 0
			w.Add(accepted, func() { gone++ })
			remove := w.Add(other, func() { t.Error("the other caller is there") })
			w.Check()
			require.Zero(t, gone)
			f(caller)
			require.Eventually(t, func() bool { w.Check(); return gone > 0 }, patience, time.Millisecond)
			w.Check()
			require.Equal(t, 1, gone)
			remove()
			require.Zero(t, w.Len())
		})
	}
}

func TestCallerWatchLeavesPipelinedBytes(t *testing.T) {
	caller, accepted := callerPair(t)
	w := NewCallerWatch()
	w.Add(accepted, func() { t.Error("the caller is there") })
	_, err := io.WriteString(caller, "next")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return peek(accepted) == peekData }, patience, time.Millisecond)
	w.Check()
	b := make([]byte, 4)
	_, err = io.ReadFull(accepted, b)
	require.NoError(t, err)
	require.Equal(t, "next", string(b))
}

func TestLimitWrites(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := LimitWrites(n, soon)
	t.Cleanup(func() { _ = l.Close() })
	caller, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	// The caller reads nothing, so that a write blocks when all buffers are full.
	for err == nil {
		_, err = accepted.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, peekQuiet, peek(accepted))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return peek(accepted) == peekClosed }, patience, time.Millisecond)
}

func TestCallerWatchRuns(t *testing.T) {
	caller, accepted := callerPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	w := NewCallerWatch()
	w.Add(accepted, cancel)
	ended := make(chan error, 1)
	ticks := figtimer.New(figtimer.System()).Subscribe(ctx, time.Millisecond)
	go func() { ended <- w.Run(ctx, ticks) }()
	_ = caller.Close()
	<-ctx.Done()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// TestCallerWatchUnderServer has the HTTP server's handler wait for a caller that
// leaves. Both kinds of listener are tried.
func TestCallerWatchUnderServer(t *testing.T) {
	for _, limited := range []bool{false, true} {
		var l net.Listener
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		if limited {
			l = LimitWrites(l, patience)
		}
		w := NewCallerWatch()
		waiting, gone := make(chan struct{}), make(chan struct{})
		server := fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			left := make(chan struct{})
			defer w.Add(c.Conn(), func() { close(left) })()
			close(waiting)
			<-left
			close(gone)
		}}
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		<-waiting
		w.Check()
		require.Equal(t, 1, w.Len())
		require.NoError(t, caller.Close())
		require.Eventually(t, func() bool { w.Check(); return w.Len() == 0 }, patience, time.Millisecond)
		<-gone
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-served)
	}
}
