package figstore_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// callOverhead is the bytes of a call on the wire beside its two messages: TCP and IP headers in both
	// directions with acknowledgements, and the frames of drpc.
	callOverhead = 4*52 + 2*24
	// maxControlBytes is the maximum traffic per node for control messages, in bytes per second.
	maxControlBytes = 5000
	// maxServiceReads is the maximum rate of reads of the service by all instances, per second.
	maxServiceReads = 2000
	// maxActivation is the longest time until a change is active on all nodes of the largest fleet.
	maxActivation = 8 * time.Second
	// steadyTime is how long traffic is measured without changes.
	steadyTime = 10 * time.Second
)

// scaleSizes holds the fleet sizes that are tested.
var scaleSizes = []int{9, 45, 480}

// At each fleet size, changes are active in time and the reads per second stay below a fifth of maxServiceReads;
// in the largest fleet an idle node's traffic stays below half of maxControlBytes.
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
	// Each call counts at both its ends.
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
