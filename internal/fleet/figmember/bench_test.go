package figmember

import (
	"testing"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// BenchmarkFresh measures one call of Fresh and one of AllAcked in a fleet of 480 instances.
func BenchmarkFresh(b *testing.B) {
	v := largeView(480)
	confirmed := time.Now()
	m := New(Options{
		Self: v.Members[0], Incarnation: 1,
		View:      func() *figview.View { return v },
		Confirmed: func() time.Time { return confirmed },
	})
	for _, p := range v.Members {
		m.state.applyAck(ViewAck{Member: hashOf(p.Name), Incarnation: 1, View: 1}, confirmed)
	}
	b.ReportAllocs()
	for b.Loop() {
		m.Fresh()
		m.AllAcked(1)
	}
}
