package figowner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// A server that doesn't answer polls must not delay polls of other servers. The owner must cancel an
// unleased request on the other server, and repeat the cancel until the request is gone.
func TestRunPollsServersIndependently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newOwnerFixture(1)
		s.servers.All = append(s.servers.All, figview.Server{Name: "d0", DataCentre: "x", Pool: "chat", Role: figview.Decode})
		var mu sync.Mutex
		polls, cancels := map[string]int{}, 0
		began := time.Now().Add(-time.Hour)
		opts := s.owner.opts
		opts.Clock = figtimer.System()
		opts.Poll = func(ctx context.Context, x figview.Server) (*Report, error) {
			mu.Lock()
			polls[x.Name]++
			deaf := cancels < 3
			mu.Unlock()
			if x.Name == "d0" {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			r := &Report{StartedAt: began, PiecesTotal: 20, PiecesFree: 18}
			if deaf {
				r.Running = []Running{{ID: "stranger", Pieces: 2}}
			}
			return r, nil
		}
		opts.Cancel = func(_ context.Context, _ figview.Server, id string) error {
			mu.Lock()
			defer mu.Unlock()
			require.Equal(t, "stranger", id)
			cancels++
			return nil
		}
		o := New(opts)
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error)
		timer := figtimer.New(opts.Clock)
		go func() { ended <- o.Run(ctx, timer) }()
		require.NoError(t, timer.Sleep(t.Context(), UnleasedGrace+10*time.Second))
		mu.Lock()
		require.GreaterOrEqual(t, polls["d1"], 38)
		require.GreaterOrEqual(t, polls["d0"], 9)
		require.Equal(t, 3, cancels)
		mu.Unlock()
		for _, x := range o.Status() {
			require.Equal(t, x.Server == "d0", x.Total == 0, x.Server)
			require.Zero(t, x.Strays)
		}
		stop()
		require.NoError(t, <-ended)
	})
}
