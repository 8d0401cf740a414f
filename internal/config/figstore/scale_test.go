package figstore_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// callOverhead is what a call costs on the wire beside its two messages: TCP and
	// IP headers of both ways with their acknowledgements, and the frames of drpc.
	callOverhead = 4*52 + 2*24
	// controlBytes is what a node may spend a second on control.
	controlBytes = 5000
	// serviceReads is what the service bears a second from all.
	serviceReads = 2000
	// inForce is the bound on a change at the full size.
	inForce = 8 * time.Second
	// watched is how long a steady fleet is measured.
	watched = 10 * time.Second
)

// A change comes into force in time, the reads a second stay far below what the
// service bears, and an idle node's bytes for configuration and membership below
// half of what it may spend, as the fleet grows to its full size.
func TestScale(t *testing.T) {
	sizes := []int{9, 45, 480}
	if raceDetector {
		// Goroutines of the full size overflow the detector's own clocks.
		sizes = sizes[:2]
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) { measure(t, size) })
	}
}

// traffic counts calls and the bytes of their messages.
type traffic struct{ calls, bytes int }

func (n *network) traffic() traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

func (t traffic) since(before traffic) traffic {
	return traffic{t.calls - before.calls, t.bytes - before.bytes}
}

func (t traffic) onWire() float64 { return float64(t.bytes + callOverhead*t.calls) }

func measure(t *testing.T, size int) {
	n, s := newNetwork(), newService()
	publishFirst(s)
	nodes := startFleet(t.Context(), n, s, size)
	defer stopAll(nodes)
	started := until(t, 30*time.Second, func() bool { return all(nodes, ready) })
	<-time.After(5 * time.Second)

	reads := s.readCount()
	before := n.traffic()
	stale := 0
	for range watched / (100 * time.Millisecond) {
		<-time.After(100 * time.Millisecond)
		for _, d := range nodes {
			if !d.members.Fresh() {
				stale++
			}
		}
	}
	seconds := watched.Seconds()
	readsPerSecond := float64(s.readCount()-reads) / seconds
	// Each call is a cost of both of its ends.
	steady := n.traffic().since(before)
	payload := 2 * float64(steady.bytes) / seconds / float64(size)
	perNode := 2 * steady.onWire() / seconds / float64(size)

	times := make([]time.Duration, 0, 20)
	before = n.traffic()
	began := time.Now()
	for i := range cap(times) {
		s.publish("team/accounts", rate(i+1))
		times = append(times, until(t, inForce, func() bool { return all(nodes, has(int64(i+1))) }))
	}
	idle := perNode * time.Since(began).Seconds()
	changed := 2*n.traffic().since(before).onWire()/float64(size) - idle
	slices.Sort(times)
	t.Logf("%d instances: all ready after %v; in force: median %v, most %v; reads a second %.1f; "+
		"bytes a second and node %.0f, messages alone %.0f; bytes a change and node %.0f; not fresh %d of %d",
		size, started, times[len(times)/2], times[len(times)-1], readsPerSecond, perNode, payload,
		changed/float64(len(times)), stale, size*100)
	require.Less(t, times[len(times)-1], inForce)
	require.Less(t, readsPerSecond, serviceReads/5.0)
	require.Zero(t, stale)
	if size > 100 {
		require.Less(t, perNode, controlBytes/2.0)
	}
}
