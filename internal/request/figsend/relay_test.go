package figsend

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// relay stands between a sender and a server. It can swallow bytes in either
// direction without closing anything, or close both sides after a number of bytes.
type relay struct {
	*listener
	swallowUp, swallowDown atomic.Bool
	// cutUp and cutDown are how many bytes may still pass, counted over all
	// connections. Below zero, any number.
	cutUp, cutDown atomic.Int64
}

func newRelay(t *testing.T, to figview.Server) *relay {
	t.Helper()
	r := &relay{}
	r.cutUp.Store(-1)
	r.cutDown.Store(-1)
	r.listener = listen(t, func(c net.Conn) {
		up, err := net.Dial("tcp", to.Address)
		if err != nil {
			_ = c.Close()
			return
		}
		var both sync.WaitGroup
		both.Go(func() { pass(up, c, &r.swallowUp, &r.cutUp) })
		both.Go(func() { pass(c, up, &r.swallowDown, &r.cutDown) })
		both.Wait()
	})
	return r
}

// pass copies from one side to the other until either ends, then closes both.
func pass(to, from net.Conn, swallow *atomic.Bool, cut *atomic.Int64) {
	defer func() { _, _ = to.Close(), from.Close() }()
	b := make([]byte, 4096)
	for {
		n, err := from.Read(b)
		if swallow.Load() {
			n = 0
		}
		left := cut.Load()
		if left >= 0 {
			n = min(n, int(left))
			cut.Add(-int64(n))
		}
		if _, failed := to.Write(b[:n]); failed != nil || err != nil || (left >= 0 && cut.Load() == 0) {
			return
		}
	}
}

// untilClosed is closed when the other side of a connection has closed it.
func untilClosed(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	return closed
}

func kindIs(t *testing.T, err error, kind Kind, ran Ran) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind.String(), KindOf(err).String(), err)
	require.Equal(t, ran.String(), RanOf(err).String(), err)
}
