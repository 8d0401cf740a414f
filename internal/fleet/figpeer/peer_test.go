package figpeer

import (
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

type ask struct {
	Text string `cbor:"1,keyasint"`
}

func serve(t testing.TB) figview.Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := NewHandlers()
	Handle(h, "echo", func(_ context.Context, q *ask) (*ask, error) {
		if q.Text == "" {
			return nil, errors.New("nothing to say")
		}
		return q, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = h.Serve(ctx, l) }()
	return figview.Member{Name: "b", Address: l.Addr().String()}
}

func TestCall(t *testing.T) {
	m := serve(t)
	c := NewClient(ClientOptions{})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	for range 3 {
		r, err := Call[ask, ask](context.Background(), c, m, "echo", &ask{Text: "hello"})
		require.NoError(t, err)
		require.Equal(t, "hello", r.Text)
	}
	_, err := Call[ask, ask](context.Background(), c, m, "echo", &ask{})
	require.ErrorContains(t, err, "nothing to say")
	_, err = Call[ask, ask](context.Background(), c, m, "missing", &ask{})
	require.ErrorContains(t, err, "no such call")
}

// A peer connection that goes silent must fail by its deadline, and the next
// call must use a new connection.
func TestCallOnSilentConnection(t *testing.T) {
	m := serve(t)
	silent := true
	c := NewClient(ClientOptions{
		Timeout: 100 * time.Millisecond,
		Dial: func(_ context.Context, address string) (net.Conn, error) {
			if silent {
				near, _ := net.Pipe()
				return near, nil
			}
			return net.Dial("tcp", address)
		},
	})
	t.Cleanup(func() { require.NoError(t, c.Close()) })
	_, err := Call[ask, ask](context.Background(), c, m, "echo", &ask{Text: "a"})
	require.ErrorIs(t, err, context.DeadlineExceeded)
	silent = false
	_, err = Call[ask, ask](context.Background(), c, m, "echo", &ask{Text: "a"})
	require.NoError(t, err)
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkCall gives the processor time of one call, of both sides together.
func BenchmarkCall(b *testing.B) {
	m := serve(b)
	c := NewClient(ClientOptions{})
	b.Cleanup(func() { require.NoError(b, c.Close()) })
	q := &ask{Text: strings.Repeat("a", 100)}
	b.ReportAllocs()
	begun := cpuTime(b)
	for b.Loop() {
		_, err := Call[ask, ask](context.Background(), c, m, "echo", q)
		require.NoError(b, err)
	}
	b.ReportMetric(float64((cpuTime(b)-begun).Microseconds())/float64(b.N), "cpu-µs/op")
}
