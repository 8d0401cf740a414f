package figplace

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Run renews the leases at all other owners while one owner doesn't answer, and returns when its context
// ends.
func TestRunRenewsDespiteUnresponsiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCounter(size{servers: 30, members: 3})
		var unresponsive atomic.Pointer[string]
		p := c.placer()
		p.opts.Clock = figtimer.System()
		p.opts.SendToOwner = func(ctx context.Context, m figview.Member, q *figowner.Request) (*figowner.Reply, error) {
			if s := unresponsive.Load(); s != nil && *s == m.Name {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			return c.answer(ctx, m, q)
		}
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		timer := figtimer.New(p.opts.Clock)
		go func() { ended <- p.Run(ctx, timer) }()
		byOwner := map[string][]*Placement{}
		for i := range 30 {
			x, err := p.Place(t.Context(), request(uuid(i)))
			require.NoError(t, err)
			m, _ := figowner.OwnerOf(c.view, x.Decode)
			byOwner[m.Name] = append(byOwner[m.Name], x)
		}
		require.Len(t, byOwner, 3)
		name := "entry001"
		unresponsive.Store(&name)
		require.NoError(t, timer.Sleep(t.Context(), 2*figowner.LeaseDuration))
		for owner, all := range byOwner {
			for _, x := range all {
				require.Equal(t, owner != name, x.DecodeLeaseValid(), owner)
			}
		}
		unresponsive.Store(nil)
		require.NoError(t, timer.Sleep(t.Context(), 2*time.Second))
		for _, x := range byOwner[name] {
			require.True(t, x.DecodeLeaseValid())
		}
		stop()
		require.NoError(t, <-ended)
	})
}
