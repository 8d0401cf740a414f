package figsend

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// A request whose context ends while the connection is dialled must not be sent.
func TestNothingIsSentIfContextEndsDuringDial(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	for range 50 {
		ctx, cancel := context.WithCancel(t.Context())
		s := New(Options{Dial: func(_ context.Context, address string, _ time.Duration) (net.Conn, error) {
			c, err := net.Dial("tcp", address)
			cancel()
			return c, err
		}})
		call := &Call{ID: "r1", Server: figview.Server{Address: server.Listener.Addr().String()}, Method: http.MethodPost, Path: "/", KeepAlive: true}
		_, err := s.Do(ctx, call)
		require.Error(t, err)
		require.Equal(t, KindCancelled, KindOf(err))
		require.Equal(t, NotRun, OutcomeOf(err))
		s.Close()
	}
	require.Zero(t, arrived.Load())
}
