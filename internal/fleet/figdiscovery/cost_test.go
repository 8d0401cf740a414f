package figdiscovery

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// TestCost logs how many messages and bytes an instance sends and receives for heartbeats and load
// updates, with eight servers in use, in fleets of growing size. The number of exchanges per round
// must not exceed maxRoundTargets and the seeds, however large the fleet is.
func TestCost(t *testing.T) {
	const span = 4 * time.Second
	for _, size := range []int{9, 60, 120} {
		synctest.Test(t, func(t *testing.T) {
			n := newNet(t)
			var messages, bytes int
			n.mu.Lock()
			n.seen = func(m any) {
				b, err := cbor.Marshal(m)
				require.NoError(t, err)
				messages++
				bytes += len(b)
			}
			n.mu.Unlock()
			stops := make([]func(), 0, size)
			for i := range size {
				name := fmt.Sprintf("instance-%d", i)
				_, stop := n.start(name, 1, "instance-0", "instance-1", "instance-2")
				stops = append(stops, stop)
				n.mu.Lock()
				for j := range 8 {
					n.load[name][fmt.Sprintf("i-%08x@loxyzabc", j)] = figview.ServerLoad{Requests: 2, Tokens: 11000}
				}
				n.mu.Unlock()
			}
			advance(span)
			n.mu.Lock()
			messages, bytes = 0, 0
			n.mu.Unlock()
			advance(span)
			n.mu.Lock()
			sent, volume := messages, bytes
			n.mu.Unlock()
			each := float64(size) * span.Seconds()
			t.Logf("%d instances: %.0f messages and %.0f bytes a second each", size, float64(sent)/each, float64(volume)/each)
			// An exchange consists of two messages, and each side starts one per round.
			most := 2 * float64(min(size-1, maxRoundTargets)+3) / Interval.Seconds()
			require.LessOrEqual(t, float64(sent)/each, most)
			for _, stop := range stops {
				stop()
			}
			advance(time.Second)
		})
	}
}
