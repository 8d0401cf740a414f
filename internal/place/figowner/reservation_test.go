package figowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rarely returns true for about one draw in five.
func rarely(t *rapid.T) bool { return rapid.IntRange(0, 4).Draw(t, "rarely") == 0 }

func (m *fleetModel) placeSome(t *rapid.T) {
	for range rapid.IntRange(1, 4).Draw(t, "requests") {
		from := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")
		if _, dead := m.dead[from]; dead {
			continue
		}
		j := m.place(m.owner, from, rapid.Int64Range(1, 6).Draw(t, "pieces"))
		if j != nil && rapid.Bool().Draw(t, "start") {
			m.mustStart(t, j)
		}
	}
}

func (m *fleetModel) mustStart(t *rapid.T, j *job) {
	if !m.start(j) && m.singleOwner {
		t.Fatalf("server lacks memory for a granted request: %d pieces used, %d wanted", m.usedPieces(), j.pieces)
	}
}

// For any sequence of actions by callers, instances, owners and the server: an owner never grants more
// than the server's memory, the server is never asked for more than it has while its owner stays the
// same, and all memory is free within a fixed time after the last holder has ended.
func TestReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		t.Repeat(map[string]func(*rapid.T){
			"place":      m.placeSome,
			"place more": m.placeSome,
			"start":      func(t *rapid.T) { m.mustStart(t, m.pickJob(t)) },
			"finish":     func(t *rapid.T) { m.endJob(m.pickJob(t), true, rapid.Bool().Draw(t, "lost")) },
			"caller leaves": func(t *rapid.T) {
				m.endJob(m.pickJob(t), rapid.Bool().Draw(t, "noticed"), rapid.Bool().Draw(t, "lost"))
			},
			"instance dies": func(t *rapid.T) {
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				if _, dead := m.dead[name]; !dead && rarely(t) {
					m.dead[name] = m.now
				}
			},
			"owner dies": func(t *rapid.T) {
				if rarely(t) {
					m.owner, m.singleOwner = m.newOwner(), false
				}
			},
			"server ignores cancels": func(t *rapid.T) { m.ignoresCancels = rarely(t) },
			"time passes":            func(*rapid.T) { m.tick() },
			"": func(t *rapid.T) {
				require.LessOrEqual(t, m.usedPieces(), int64(serverPieces))
				if m.singleOwner {
					require.LessOrEqual(t, m.owner.HeldPieces(), int64(serverPieces))
				}
			},
		})
		for _, id := range sortedKeys(m.jobs) {
			m.endJob(m.jobs[id], false, true)
		}
		m.ignoresCancels = false
		for end := m.now.Add(max(deadHolderBound, silentHolderBound, unleasedBound)); m.now.Before(end); {
			m.tick()
		}
		require.Empty(t, m.engine)
		require.Zero(t, m.owner.HeldPieces())
		require.Zero(t, m.owner.Len())
	})
}

// Each way in which a holder can end must free the memory within its own bound.
func TestMemoryIsFreedInTime(t *testing.T) {
	tests := []struct {
		name  string
		bound time.Duration
		leave func(m *fleetModel, j *job)
	}{
		{"caller leaves and the server doesn't notice", releaseBound, func(m *fleetModel, j *job) { m.endJob(j, false, false) }},
		{"caller leaves, release is lost, holder still sends messages", lostReleaseBound, func(m *fleetModel, j *job) {
			m.endJob(j, false, true)
			m.place(m.owner, j.from, 1)
		}},
		{"caller leaves and its instance sends no more messages", silentHolderBound, func(m *fleetModel, j *job) { m.endJob(j, false, true) }},
		{"instance dies", deadHolderBound, func(m *fleetModel, j *job) { m.dead[j.from] = m.now }},
		{"instance and owner die", unleasedBound, func(m *fleetModel, j *job) {
			m.dead[j.from] = m.now
			m.owner = m.newOwner()
		}},
		{"owner dies and caller leaves before the new owner is told", unleasedBound, func(m *fleetModel, j *job) {
			m.endJob(j, false, true)
			m.owner = m.newOwner()
		}},
		{"caller leaves and the server ignores cancels for 5 s", 5*time.Second + releaseBound, func(m *fleetModel, j *job) {
			m.endJob(j, false, false)
			m.ignoresCancels = true
			for range int(5 * time.Second / modelTick) {
				m.tick()
			}
			m.ignoresCancels = false
		}},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			m := newFleetModel()
			j := m.place(m.owner, "a", 3)
			require.True(t, m.start(j))
			for range 4 {
				m.tick()
			}
			begin := m.now
			x.leave(m, j)
			for m.engine[j.id] > 0 && m.now.Sub(begin) < time.Minute {
				m.tick()
			}
			t.Logf("freed after %v of %v", m.now.Sub(begin), x.bound)
			require.LessOrEqual(t, m.now.Sub(begin), x.bound)
		})
	}
}

// The request of a caller that stays must never be cancelled, however often the owner changes.
func TestLiveWorkIsNotCancelled(t *testing.T) {
	m := newFleetModel()
	j := m.place(m.owner, "a", 3)
	require.True(t, m.start(j))
	for i := range 400 {
		if i%50 == 10 {
			m.owner = m.newOwner()
		}
		m.tick()
	}
	require.Equal(t, int64(3), m.engine[j.id])
	require.Equal(t, int64(3), m.owner.HeldPieces())
}

// Memory that the server reports as used must not be granted by an owner without a lease for it,
// whether the report assigns the memory to requests or not.
func TestUnleasedRequestsHoldMemory(t *testing.T) {
	m := newFleetModel()
	b := m.newOwner()
	b.Observe(m.now, &Report{
		StartedAt: m.started, PiecesTotal: serverPieces, PiecesFree: serverPieces - 15,
		Running: []Running{{ID: "x", Pieces: 6}, {ID: "y", Pieces: 4}},
	})
	require.Equal(t, int64(serverPieces-15), b.Free())
	m.now = m.now.Add(HandoverPeriod)
	ask := func(id string, pieces int64) Outcome {
		return b.Reserve(m.now, uint64(pieces), "a", ReservationRequest{ID: id, Pieces: pieces, Tokens: 1}, true).Outcome
	}
	require.Equal(t, Full, ask("r1", serverPieces-14))
	require.Equal(t, Granted, ask("r2", serverPieces-15))
}

// An owner whose view isn't fresh must not cancel unleased requests, because they may belong to
// another owner.
func TestNoCancelWithStaleView(t *testing.T) {
	m := newFleetModel()
	b := m.newOwner()
	for range int(2 * UnleasedGrace / modelTick) {
		m.now = m.now.Add(modelTick)
		b.Observe(m.now, &Report{StartedAt: m.started, PiecesTotal: serverPieces, Running: []Running{{ID: "x", Pieces: 6}}})
		require.Empty(t, b.Sweep(m.now, m.holder, false))
	}
	require.Equal(t, []string{"x"}, b.Sweep(m.now, m.holder, true))
}

// While two owners grant to instances that disagree on the owner, the grants must stay bounded. If
// granted requests start or end before the next report, the grants exceed the memory by no more than a
// part of it, and otherwise by no more than the memory. The new owner limits its grants until they
// show in reports, which the old owner sees too.
func TestTwoOwnersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel()
		m.owner.Ramp.AddProgress(1e9)
		m.oldOwner, m.owner, m.staleInstances = m.owner, m.newOwner(), true
		slow := rapid.Bool().Draw(t, "slow to start")
		bound := int64(serverPieces + serverPieces/handoverDivisor*handoverReports)
		if slow {
			bound = 2 * serverPieces
		}
		end := m.now.Add(HandoverPeriod)
		for m.now.Before(end) {
			for range rapid.IntRange(0, 8).Draw(t, "requests") {
				b := rapid.SampledFrom([]*Backend{m.oldOwner, m.owner}).Draw(t, "owner")
				j := m.place(b, "a", rapid.Int64Range(1, 6).Draw(t, "pieces"))
				if j != nil && !slow && !m.start(j) {
					m.endJob(j, true, false)
				}
			}
			granted := int64(0)
			for _, j := range m.jobs {
				granted += j.pieces
			}
			require.LessOrEqual(t, granted, bound)
			require.LessOrEqual(t, m.usedPieces(), int64(serverPieces))
			m.tick()
		}
	})
}

// The worst case for a new owner in its handover period is that no granted request starts.
func TestNewOwnerHandoverLimit(t *testing.T) {
	m := newFleetModel()
	m.owner.Ramp.AddProgress(1e9)
	m.oldOwner, m.owner, m.staleInstances = m.owner, m.newOwner(), true
	for range int(HandoverPeriod / modelTick) {
		for range serverPieces {
			m.place(m.oldOwner, "a", 1)
			m.place(m.owner, "a", 1)
		}
		m.tick()
	}
	require.LessOrEqual(t, len(m.jobs), serverPieces+serverPieces/handoverDivisor)
	require.Greater(t, len(m.jobs), serverPieces, "the new owner grants some reservations")
}
