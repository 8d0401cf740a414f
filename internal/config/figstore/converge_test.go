package figstore_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A change is active on all instances within two seconds at the 99th percentile, while one of the readers can't
// reach the service. The median is bounded by the time of notifications, which arrive well before heartbeats.
func TestChangeActivatesWithUnreachableReader(t *testing.T) {
	fleetOf(t, 9, func(f *fleet) {
		f.n.setCut(f.nodes[f.reader()].Name, "service", true)
		times := make([]time.Duration, 0, 200)
		for i := range 200 {
			times = append(times, f.change(i+1, 10*time.Second))
			<-time.After(time.Duration(i*37%400) * time.Millisecond)
		}
		slices.Sort(times)
		p99 := times[len(times)*99/100-1]
		f.t.Logf("publication to force over 9: median %v, p99 %v, most %v", times[100], p99, times[199])
		require.Less(f.t, p99, 2*time.Second)
		require.Less(f.t, times[100], 100*time.Millisecond)
	})
}

// After a change of the list of instances, all instances hold the new list and know that all others hold it too.
func TestAllAckAndStayFresh(t *testing.T) {
	fleetOf(t, 9, func(f *fleet) {
		v := f.remove()
		f.until(5*time.Second, func() bool {
			return all(f.nodes[:8], func(d *node) bool {
				_, ok := d.members.AllAcked(v)
				return ok && ready(d)
			})
		})
	})
}

// With the service down for an hour, all instances keep serving, report the service as unreachable and stay fresh
// through heartbeats. A change published after its return is received.
func TestServiceDownForAnHour(t *testing.T) {
	fleetOf(t, 9, func(f *fleet) {
		f.change(5, 5*time.Second)
		f.s.down.Store(true)
		<-time.After(10 * time.Second)
		before := f.s.reads.Load()
		f.stays(60, time.Minute, ready, has(5), reports("unreachable"))
		perSecond := float64(f.s.reads.Load()-before) / 3600
		f.t.Logf("reads a second of 9 while the service is down: %.2f", perSecond)
		require.Less(f.t, perSecond, 27.0)
		f.s.down.Store(false)
		f.t.Logf("in force %v after the service's return", f.change(6, 15*time.Second))
	})
}

// Without faults, every instance reports the service as reachable at all times.
func TestStatusInOrder(t *testing.T) {
	fleetOf(t, 9, func(f *fleet) {
		<-time.After(5 * time.Second)
		f.stays(600, 100*time.Millisecond, reports("reachable"))
	})
}
