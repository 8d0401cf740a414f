package figlifecycle

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

var errCut = errors.New("the connection is cut")

// cutConn closes its connection after it has written or read a given number of bytes.
type cutConn struct {
	net.Conn
	// writeLimit and readLimit are the bytes left until the connection is closed.
	writeLimit, readLimit int
}

func (c *cutConn) Write(p []byte) (int, error) {
	n := min(len(p), c.writeLimit)
	c.writeLimit -= n
	n, err := c.Conn.Write(p[:n])
	if err == nil && n < len(p) {
		err = errCut
		_ = c.Close()
	}
	return n, err
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.readLimit == 0 {
		_ = c.Close()
		return 0, errCut
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readLimit)])
	c.readLimit -= n
	return n, err
}

// refunds is a service on which a request must not run twice. It counts complete requests as
// runs.
type refunds struct {
	*httptest.Server
	runs atomic.Int64
}

func newRefunds() *refunds {
	s := &refunds{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err == nil {
			s.runs.Add(1)
		}
		_, _ = io.WriteString(w, "refunded")
	}))
	return s
}

// refund serves one request that isn't idempotent, and sends it as often as its lifecycle
// allows.
func refund(ctx context.Context, s *figsend.Sender, address string) Result {
	lifecycle, ctx := New(ctx, Options{ID: "r"})
	defer lifecycle.Recover()
	call := figsend.Call{
		ID: "r", Server: figview.Server{Name: "desk", Address: address},
		Method: http.MethodPost, Path: "/refunds", Body: []byte(`{"token":7}`),
	}
	var last error
	for {
		send, err := lifecycle.Send()
		if err != nil {
			lifecycle.End(CauseOf(ServerFailed, last))
			break
		}
		answer, err := s.Do(ctx, &call)
		if err == nil && lifecycle.ClaimAnswer() && string(answer.Body) == "refunded" {
			send.OK()
			lifecycle.End(CauseOf(Done, nil))
			break
		}
		send.Fail(err)
		last = err
	}
	r, _ := lifecycle.Result()
	return r
}

// A request that isn't idempotent must run at most once, and not at all if its outcome is
// NotRun, wherever its connection breaks. The first dial fails, the second connection is cut at
// each byte of the request and of the answer, and later connections work.
func TestNonIdempotentOverCutConnections(t *testing.T) {
	const unlimited = 1 << 20
	outcomes := map[Outcome]int{}
	serveWithCuts := func(writeLimit, readLimit int) {
		service := newRefunds()
		dials := 0
		dial := func(ctx context.Context, address string, _ time.Duration) (net.Conn, error) {
			dials++
			if dials == 1 {
				return nil, errCut
			}
			c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			if err != nil || dials > 2 {
				return c, err
			}
			return &cutConn{Conn: c, writeLimit: writeLimit, readLimit: readLimit}, nil
		}
		s := figsend.New(figsend.Options{Dial: dial})
		r := refund(t.Context(), s, service.Listener.Addr().String())
		s.Close()
		// Close waits until the service has handled the requests that it has received.
		service.Close()
		runs := service.runs.Load()
		outcomes[r.Outcome]++
		require.LessOrEqual(t, runs, int64(1), "runs, cut after %d bytes written, %d read", writeLimit, readLimit)
		switch r.Outcome {
		case Answered:
			require.EqualValues(t, 1, runs)
		case NotRun:
			require.Zero(t, runs, "runs with the outcome NotRun, cut after %d bytes written, %d read", writeLimit, readLimit)
		}
	}
	for n := range 200 {
		serveWithCuts(n, unlimited)
		serveWithCuts(unlimited, n)
	}
	require.Positive(t, outcomes[Answered])
	require.Positive(t, outcomes[OutcomeUnknown])
}
