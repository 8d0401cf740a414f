package figingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/request/figproxy"
)

// A panic while one request is served must neither end the process nor report that the
// request was not run; later requests are served as usual.
func TestPanic(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := New(Options{
		Clock: figtimer.System(),
		Dialect: &figproxy.Dialect{
			IDHeader:          "Id",
			ReadCaller:        func(f figproxy.HeaderLookup) figproxy.CallerMetadata { return figproxy.CallerMetadata{ID: f("Id")} },
			StripsFromRequest: func(string) bool { return false },
		},
		Serve: func(_ context.Context, q *figproxy.Call) *figproxy.Reply {
			if q.Path == "/bad" {
				panic("broken")
			}
			return &figproxy.Reply{Status: http.StatusOK, Body: []byte("well"), RetryAfter: 1500 * time.Millisecond}
		},
		Draining:    func() bool { return false },
		Watch:       func(net.Conn, func()) func() { return func() {} },
		Concurrency: 10, BodyLimit: 1 << 10, HeaderLimit: 1 << 12,
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	send := func(path, body string) (status int, header http.Header, text string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+path, nil)
		require.NoError(t, err)
		if body != "" {
			r.Body = io.NopCloser(io.LimitReader(zeros{}, 1<<11))
		}
		r.Header.Set("Id", "a1")
		a, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		b, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		return a.StatusCode, a.Header, string(b)
	}
	status, _, _ := send("/bad", "")
	require.Equal(t, http.StatusBadGateway, status)
	_, header, text := send("/good?x=1", "")
	require.Equal(t, "well", text)
	require.Equal(t, "1.50", header.Get("Retry-After"))
	require.Equal(t, "a1", header.Get("Id"))
	status, _, _ = send("/good", "too large")
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
	require.NoError(t, s.Shutdown(t.Context()))
	require.NoError(t, <-served)
}

// zeros is an endless request body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
