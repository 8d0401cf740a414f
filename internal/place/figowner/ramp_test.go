package figowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// viewFreshness is how long an instance may act on a view that is not the latest: the freshness bound
// of the published list.
const viewFreshness = 2 * time.Second

// newColdFleetModel returns a model whose server has just started.
func newColdFleetModel() *fleetModel {
	m := newFleetModel()
	m.started = m.now
	for range 2 {
		m.tick()
	}
	return m
}

// inProgress returns the tokens of all granted jobs that have not ended.
func (m *fleetModel) inProgress() int64 {
	n := int64(0)
	for _, j := range m.jobs {
		n += j.pieces * m.owner.PieceTokens
	}
	return n
}

// A server in a cold start must get no more work than its ramp allows, from all instances together,
// also while its owner changes. The old owner grants until its view is no longer fresh, the new owner
// only after that. The ramp must not grow without completed work.
func TestColdStartBoundHoldsWhileOwnerChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newColdFleetModel()
		gained := m.now
		old := m.owner
		m.owner, m.oldOwner = m.newOwner(), old
		// Instances that don't know the new owner can't register their leases with it. The new owner then sees
		// their work only in the server's reports.
		m.staleInstances = rapid.Bool().Draw(t, "stale instances")
		for m.now.Sub(gained) < 3*HandoverPeriod {
			for range rapid.IntRange(0, 4).Draw(t, "requests") {
				b, fresh := m.owner, true
				if rapid.Bool().Draw(t, "old owner") {
					b, fresh = old, m.now.Sub(gained) < viewFreshness
				}
				j := m.placeAs(b, "a", rapid.Int64Range(1, 2).Draw(t, "pieces"), fresh)
				if j != nil && (m.staleInstances || rapid.Bool().Draw(t, "start")) {
					require.True(t, m.start(j))
				}
			}
			if len(m.jobs) > 1 {
				require.LessOrEqual(t, m.inProgress(), initialRampPieces*m.owner.PieceTokens)
			}
			m.tick()
		}
		require.NotEmpty(t, m.jobs, "nothing was granted at all")
	})
}

// Any sign that the server has restarted must restart the ramp.
func TestColdStartRestartsRamp(t *testing.T) {
	tests := []struct {
		name  string
		cause func(m *fleetModel)
	}{
		{"changed start time", func(m *fleetModel) { m.started = m.now }},
		{"lost speed", func(m *fleetModel) { m.speed = 4 }},
		{"server stops answering", func(m *fleetModel) {
			m.owner.PollFailed(m.now)
			m.owner.PollFailed(m.now)
		}},
		{"connections fail", func(m *fleetModel) { m.owner.RecordFailure(m.now, Unreachable) }},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			m := newFleetModel()
			m.speed = 40
			require.True(t, m.start(m.place(m.owner, "a", 1)))
			for range 4 {
				m.tick()
			}
			before := m.owner.Ramp.Limit
			require.Greater(t, before, 4*initialRampPieces*m.owner.PieceTokens)
			x.cause(m)
			for range 4 {
				m.tick()
			}
			// Tokens generated since the restart have raised the limit a little.
			require.Less(t, m.owner.Ramp.Limit, 2*initialRampPieces*m.owner.PieceTokens)
		})
	}
}

// The ramp must grow by completed work and not by time.
func TestRampGrowsByProgress(t *testing.T) {
	m := newColdFleetModel()
	for range 40 {
		m.tick()
	}
	require.Equal(t, initialRampPieces*m.owner.PieceTokens, m.owner.Ramp.Limit)
	limit := m.owner.Ramp.Limit
	for m.owner.Ramp.Active() {
		j := m.place(m.owner, "a", 1)
		require.NotNil(t, j)
		delete(m.jobs, j.id)
		m.owner.Release(m.now, "a", Release{Lease: j.lease, Tokens: 100})
		require.LessOrEqual(t, m.owner.Ramp.Limit, limit+m.owner.PieceTokens)
		limit = m.owner.Ramp.Limit
	}
	require.Equal(t, serverPieces*m.owner.PieceTokens, limit)
}

func TestBreaker(t *testing.T) {
	at := func(d time.Duration) time.Time { return testStart.Add(d) }
	var b Breaker
	for range 10 {
		require.False(t, b.RecordFailure(at(0), CallerError))
		require.False(t, b.RecordFailure(at(0), Refused))
	}
	require.False(t, b.RecordFailure(at(0), StreamFailed))
	require.False(t, b.RecordFailure(at(time.Second), ServerError))
	require.True(t, b.RecordFailure(at(2*time.Second), ServerError))
	require.True(t, b.IsOpen(at(2500*time.Millisecond)))
	require.False(t, b.IsOpen(at(3*time.Second)))
	require.True(t, b.HalfOpen(at(3*time.Second)))

	// A failed probe doubles the open time, and a success closes the breaker.
	require.True(t, b.RecordFailure(at(3*time.Second), ServerError))
	require.True(t, b.IsOpen(at(4500*time.Millisecond)))
	require.False(t, b.IsOpen(at(5*time.Second)))
	b.RecordSuccess(at(5 * time.Second))
	require.False(t, b.HalfOpen(at(5*time.Second)))

	// Old failures no longer count.
	require.False(t, b.RecordFailure(at(10*time.Second), ServerError))
	require.False(t, b.RecordFailure(at(11*time.Second), ServerError))
	require.False(t, b.RecordFailure(at(30*time.Second), ServerError))
}
