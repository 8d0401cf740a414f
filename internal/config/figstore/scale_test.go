package figstore_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// callOverhead is what a call costs on the wire beside its two messages: TCP and
	// IP headers of both ways with their acknowledgements, and the frames of drpc.
	callOverhead = 4*52 + 2*24
	// controlBytes is what a node may spend a second on control.
	maxControlBytes = 5000
	// serviceReads is what the service bears a second from all.
	maxServiceReads = 2000
	// inForce is the bound on a change at the full size.
	maxActivation = 8 * time.Second
	// watched is how long a steady fleet is measured.
	steadyTime = 10 * time.Second
)

// scaleSizes holds the sizes measured.
var scaleSizes = []int{9, 45, 480}

// A change comes into force in time, the reads a second stay far below what the
// service bears, and an idle node's bytes for configuration and membership below
// half of what it may spend, as the fleet grows to its full size.
func TestScale(t *testing.T) {
	for _, size := range scaleSizes {
		fleetOf(t, size, measure)
	}
}

func measure(f *fleet) {
	size := len(f.nodes)
	<-time.After(5 * time.Second)
	reads, before := f.s.reads.Load(), f.n.traffic()
	f.stays(100, steadyTime/100, func(d *node) bool { return d.members.Fresh() })
	seconds := steadyTime.Seconds()
	readsPerSecond := float64(f.s.reads.Load()-reads) / seconds
	// Each call is a cost of both of its ends.
	steady := f.n.traffic().since(before)
	payload := 2 * float64(steady.bytes) / seconds / float64(size)
	perNode := 2 * steady.onWire() / seconds / float64(size)

	times := make([]time.Duration, 0, 20)
	before = f.n.traffic()
	began := time.Now()
	for i := range cap(times) {
		times = append(times, f.change(i+1, maxActivation))
	}
	idle := perNode * time.Since(began).Seconds()
	changed := 2*f.n.traffic().since(before).onWire()/float64(size) - idle
	slices.Sort(times)
	f.t.Logf("%d instances: all ready after %v; in force: median %v, most %v; reads a second %.1f; "+
		"bytes a second and node %.0f, messages alone %.0f; bytes a change and node %.0f",
		size, f.readyAfter, times[len(times)/2], times[len(times)-1], readsPerSecond, perNode, payload,
		changed/float64(len(times)))
	require.Less(f.t, times[len(times)-1], maxActivation)
	require.Less(f.t, readsPerSecond, maxServiceReads/5.0)
	if size > 100 {
		require.Less(f.t, perNode, maxControlBytes/2.0)
	}
}
