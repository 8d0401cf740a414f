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

	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/core/figtimer"
)

// callerPair returns both ends of a connection, the accepting one as the wrapped listener returns it.
func callerPair(t *testing.T, wrap func(net.Listener) net.Listener) (caller, accepted net.Conn) {
	t.Helper()
	config := fignet.ListenConfig()
	n, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	caller, err = net.Dial("tcp", n.Addr().String())
	require.NoError(t, err)
	accepted, err = wrap(n).Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _, _ = caller.Close(), accepted.Close(), n.Close() })
	return caller, accepted
}

func plainListener(l net.Listener) net.Listener { return l }

func limitedListener(l net.Listener) net.Listener { return fignet.WithWriteTimeout(l, shortTimeout) }

func TestCallerWatch(t *testing.T) {
	leave := map[string]func(c net.Conn){
		"closed":                      func(c net.Conn) { _ = c.Close() },
		"reset":                       func(c net.Conn) { _, _ = c.(*net.TCPConn).SetLinger(0), c.Close() },
		"closed after pipelined data": func(c net.Conn) { _, _ = c.Write([]byte("GET")); _ = c.Close() },
	}
	for name, f := range leave {
		t.Run(name, func(t *testing.T) {
			caller, accepted := callerPair(t, plainListener)
			_, other := callerPair(t, plainListener)
			w := NewCallerWatch()
			closeCalls := 0
			w.Add(accepted, func() { closeCalls++ })
			remove := w.Add(other, func() { t.Error("onClose was called for a connection that is open") })
			w.Check()
			require.Zero(t, closeCalls)
			f(caller)
			require.Eventually(t, func() bool { w.Check(); return closeCalls > 0 }, waitTimeout, time.Millisecond)
			w.Check()
			require.Equal(t, 1, closeCalls)
			remove()
			require.Zero(t, w.Len())
		})
	}
}

func TestCallerWatchLeavesPipelinedBytes(t *testing.T) {
	caller, accepted := callerPair(t, plainListener)
	w := NewCallerWatch()
	w.Add(accepted, func() { t.Error("onClose was called for a connection that is open") })
	_, err := io.WriteString(caller, "next")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return peek(accepted) == peekData }, waitTimeout, time.Millisecond)
	w.Check()
	b := make([]byte, 4)
	_, err = io.ReadFull(accepted, b)
	require.NoError(t, err)
	require.Equal(t, "next", string(b))
}

func TestLimitWrites(t *testing.T) {
	caller, accepted := callerPair(t, limitedListener)
	// The caller reads nothing, so that a write blocks when the socket buffers are full.
	var err error
	for err == nil {
		_, err = accepted.Write(make([]byte, 1<<20))
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Equal(t, peekNoData, peek(accepted))
	require.NoError(t, caller.Close())
	require.Eventually(t, func() bool { return peek(accepted) == peekClosed }, waitTimeout, time.Millisecond)
}

// TestCallerWatchWithServer checks that the handler of an HTTP server learns that its caller has closed the
// connection, for a plain listener and for one that limits writes.
func TestCallerWatchWithServer(t *testing.T) {
	for _, wrap := range []func(net.Listener) net.Listener{plainListener, limitedListener} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		w := NewCallerWatch()
		waiting, callerClosed := make(chan struct{}), make(chan struct{})
		server := fasthttp.Server{Handler: func(c *fasthttp.RequestCtx) {
			defer w.Add(c.Conn(), func() { close(callerClosed) })()
			close(waiting)
			<-callerClosed
		}}
		watched, served := make(chan error, 1), make(chan error, 1)
		go func() { served <- server.Serve(wrap(l)) }()
		caller, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)
		<-waiting
		w.Check()
		require.Equal(t, 1, w.Len())
		go func() { watched <- w.Run(ctx, figtimer.New(figtimer.System()).Subscribe(ctx, time.Millisecond)) }()
		require.NoError(t, caller.Close())
		<-callerClosed
		cancel()
		require.ErrorIs(t, <-watched, context.Canceled)
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-served)
	}
}
