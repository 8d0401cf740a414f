package figcatalogue

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Keys that are of no use here may change as often as their writer likes, and a source may answer watches at once.
func TestWatchesWithoutChangesCostFewCalls(t *testing.T) {
	for name, moves := range map[string]bool{"other keys change": true, "watches don't wait": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var revision atomic.Uint64
				revision.Store(10)
				source := Source{
					Read: func(context.Context) (*Contents, error) {
						return &Contents{Declarations: version(1), Position: at(revision.Load())}, nil
					},
					Watch: func(_ context.Context, after figview.Position, _ time.Duration) ([]Change, figview.Position, error) {
						<-time.After(time.Millisecond)
						if moves {
							return nil, at(revision.Add(1)), nil
						}
						return nil, after, nil
					},
				}
				clock := figtimer.System()
				c := New(Options{Source: source, Clock: clock, QueryPeer: noPeer, IsReader: always})
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error, 1)
				go func() { ended <- c.Run(ctx, figtimer.New(clock)) }()
				<-time.After(10 * time.Second)
				calls := c.Calls.Load()
				cancel()
				require.NoError(t, <-ended)
				require.Less(t, calls, uint64(10*time.Second/batchDelay)+10)
			})
		})
	}
}
