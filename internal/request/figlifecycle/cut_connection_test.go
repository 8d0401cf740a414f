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

// cutConn closes its connection after a number of bytes in either direction.
type cutConn struct {
	net.Conn
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

// refunds is a service that must run each refund once.
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

// refund serves one request of a caller, sending it as often as its life allows.
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
		if err == nil && lifecycle.FirstByte() && string(answer.Body) == "refunded" {
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

// TestRefundUnderCutConnections cuts the first connections at every byte of the
// request and of the answer. Later connections are whole.
func TestRefundUnderCutConnections(t *testing.T) {
	const whole = 1 << 20
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
		// Close waits for the requests that the service has begun.
		service.Close()
		runs := service.runs.Load()
		outcomes[r.Outcome]++
		require.LessOrEqual(t, runs, int64(1), "runs after %d bytes up, %d down", writeLimit, readLimit)
		switch r.Outcome {
		case Answered:
			require.EqualValues(t, 1, runs)
		case NotRun:
			require.Zero(t, runs, "said not to have run, after %d bytes up, %d down", writeLimit, readLimit)
		}
	}
	for n := range 200 {
		serveWithCuts(n, whole)
		serveWithCuts(whole, n)
	}
	require.Positive(t, outcomes[Answered])
	require.Positive(t, outcomes[OutcomeUnknown])
}
