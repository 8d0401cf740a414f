package figowner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// ownerFixture is one owner with published lists and dependencies that the test controls.
type ownerFixture struct {
	now           time.Time
	view          *figview.View
	servers       *figview.Servers
	pool          figtree.Pool
	dataCentreOut bool
	fresh         bool
	orders        []Order
	owner         *Owner
}

func newOwnerFixture(incarnation uint64) *ownerFixture {
	s := &ownerFixture{
		now: testStart, fresh: true, pool: figtree.Pool{ID: "chat", BlockTokens: 2048},
		view: figview.NewView(5, []figview.Member{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "y"}}),
		servers: &figview.Servers{Version: 1, All: []figview.Server{
			{Name: "d1", DataCentre: "x", Pool: "chat", Role: figview.Decode},
			{Name: "d2", DataCentre: "y", Pool: "chat", Role: figview.Decode},
			{Name: "d3", DataCentre: "z", Pool: "other", Role: figview.Decode},
		}},
	}
	s.owner = New(Options{
		Self: "a", Incarnation: incarnation,
		Clock:             figtimer.Clock{Now: func() time.Time { return s.now }},
		View:              func() *figview.View { return s.view },
		Servers:           func() *figview.Servers { return s.servers },
		Pool:              func(string) (*figtree.Pool, bool) { return &s.pool, true },
		DataCentreDrained: func(string) bool { return s.dataCentreOut },
		ViewFresh:         func() bool { return s.fresh },
		SendOrder: func(_ context.Context, _ figview.Server, o Order) error {
			s.orders = append(s.orders, o)
			return nil
		},
	})
	return s
}

// pollWarm gives the owner reports of a warm server until the handover period is over.
func (s *ownerFixture) pollWarm(fence uint64) {
	for range 8 {
		s.now = s.now.Add(500 * time.Millisecond)
		s.owner.RecordPoll("d1", &Report{
			StartedAt: testStart.Add(-time.Hour), PiecesTotal: 20, PiecesFree: 20, Fence: fence,
		}, nil)
	}
}

func (s *ownerFixture) call(t *testing.T, q *Request) *Reply {
	t.Helper()
	q.From = "b"
	r, err := s.owner.HandleReserve(t.Context(), q)
	require.NoError(t, err)
	return r
}

func (s *ownerFixture) reserve(t *testing.T, server, id string) ReservationResult {
	t.Helper()
	return s.call(t, &Request{Reserve: []ReservationRequest{{Server: server, ID: id, Pieces: 2, Tokens: 4000}}}).Results[0]
}

func TestReserveOnUnavailableServer(t *testing.T) {
	s := newOwnerFixture(1)
	require.Equal(t, Unavailable, s.reserve(t, "d1", "r0").Outcome, "no report yet")
	s.pollWarm(0)
	require.Equal(t, Granted, s.reserve(t, "d1", "r1").Outcome)
	require.Equal(t, NotOwner, s.reserve(t, "d2", "r2").Outcome)
	require.Equal(t, NotOwner, s.reserve(t, "missing", "r3").Outcome)

	s.dataCentreOut = true
	require.Equal(t, Leaving, s.reserve(t, "d1", "r4").Outcome, "data centre is out")
	s.dataCentreOut = false
	live := s.servers
	left := figview.Servers{Version: 2, All: slices.Clone(live.All)}
	left.All[0].State = figview.Leaving
	s.servers = &left
	require.Equal(t, Leaving, s.reserve(t, "d1", "r5").Outcome, "server is leaving")
	// Running requests continue: the lease of the first request is still there.
	require.Equal(t, 1, s.owner.Status()[0].Leases)

	s.now = s.now.Add(maxReportAge + time.Second)
	s.servers = live
	require.Equal(t, Unavailable, s.reserve(t, "d1", "r6").Outcome, "report is old")
}

// A server that was drained and takes work again, without a restart, must start with a ramp.
func TestRampAfterDrain(t *testing.T) {
	s := newOwnerFixture(1)
	s.pollWarm(0)
	s.owner.backends["d1"].Ramp.AddProgress(1e9)
	before := s.owner.Status()[0]
	require.Equal(t, before.RampFull, before.RampLimit)
	s.dataCentreOut = true
	s.pollWarm(0)
	require.Equal(t, Leaving, s.reserve(t, "d1", "r1").Outcome)
	s.dataCentreOut = false
	s.pollWarm(0)
	require.Equal(t, initialRampPieces*int64(2048), s.owner.Status()[0].RampLimit)
	require.Equal(t, Granted, s.reserve(t, "d1", "r2").Outcome)
	require.Equal(t, Warming, s.reserve(t, "d1", "r3").Outcome)
}

func TestReserveIsIdempotent(t *testing.T) {
	s := newOwnerFixture(1)
	s.pollWarm(0)
	first := s.reserve(t, "d1", "r1")
	require.Equal(t, first.Lease, s.reserve(t, "d1", "r1").Lease)
	require.Equal(t, 1, s.owner.Status()[0].Leases)
	s.call(t, &Request{Release: []Release{{Server: "d1", ID: "r1"}}})
	require.Zero(t, s.owner.Status()[0].Leases)
}

func TestLeaseNeedsEpochAndHolder(t *testing.T) {
	s := newOwnerFixture(7)
	s.pollWarm(0)
	n := s.reserve(t, "d1", "r1").Lease
	require.Empty(t, s.call(t, &Request{Epoch: 7, Renew: []uint64{n}}).Unknown)
	require.Equal(t, []uint64{n}, s.call(t, &Request{Epoch: 6, Renew: []uint64{n}}).Unknown)
	s.call(t, &Request{Epoch: 6, Release: []Release{{Lease: n}}})
	require.Equal(t, 1, s.owner.Status()[0].Leases)
	_, err := s.owner.HandleReserve(t.Context(), &Request{From: "c", Epoch: 7, Release: []Release{{Lease: n}}})
	require.NoError(t, err)
	require.Equal(t, 1, s.owner.Status()[0].Leases)
	s.call(t, &Request{Epoch: 7, Release: []Release{{Lease: n}}})
	require.Zero(t, s.owner.Status()[0].Leases)
}

// The owner must be in the server's data centre while the view has an instance there.
func TestOwnerOfPrefersSameDataCentre(t *testing.T) {
	s := newOwnerFixture(1)
	for i, want := range []string{"a", "b"} {
		m, ok := OwnerOf(s.view, s.servers.All[i])
		require.True(t, ok)
		require.Equal(t, want, m.Name)
	}
	_, ok := OwnerOf(s.view, s.servers.All[2])
	require.True(t, ok)
	_, ok = OwnerOf(figview.NewView(1, nil), s.servers.All[2])
	require.False(t, ok)
}

func TestOrders(t *testing.T) {
	tests := []struct {
		name   string
		checks bool
		fresh  bool
		kind   OrderKind
		sent   bool
	}{
		{"checked, fresh", true, true, UnloadModel, true},
		{"checked, not fresh", true, false, SetRole, true},
		{"unchecked, repeatable, fresh", false, true, LoadAdapter, true},
		{"unchecked, repeatable, not fresh", false, false, LoadAdapter, false},
		{"unchecked, not repeatable, fresh", false, true, UnloadModel, false},
		{"unchecked, role, fresh", false, true, SetRole, false},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			s := newOwnerFixture(uint64(time.Hour))
			s.pollWarm(0)
			s.pool.ChecksFencingToken, s.fresh = x.checks, x.fresh
			err := s.owner.SendOrder(t.Context(), "d1", x.kind, "m")
			require.Equal(t, x.sent, err == nil)
			require.Len(t, s.orders, map[bool]int{true: 1}[x.sent])
		})
	}
	s := newOwnerFixture(1)
	require.Error(t, s.owner.SendOrder(t.Context(), "d2", LoadModel, "m"), "another instance owns the server")
	s.owner.opts.SendOrder = func(context.Context, figview.Server, Order) error { return errors.New("no") }
	require.Error(t, s.owner.SendOrder(t.Context(), "d1", LoadModel, "m"))
}

// Fencing numbers must increase with the view version first, the owner's start time next and the order
// count last. An owner must not send orders once the server has accepted a higher number.
func TestFenceOrder(t *testing.T) {
	number := func(version, start uint64, orders int) uint64 {
		var f Fence
		f.Start(version, start*uint64(time.Second))
		last := uint64(0)
		for range orders {
			n, err := f.Next("d1")
			require.NoError(t, err)
			require.Greater(t, n, last)
			last = n
		}
		return last
	}
	require.Greater(t, number(6, 1, 1), number(5, 1_000_000, 4000))
	require.Greater(t, number(5, 3, 1), number(5, 2, 4000))

	var f Fence
	f.Start(5, uint64(time.Second))
	f.ObserveAccepted(number(6, 1, 1))
	_, err := f.Next("d1")
	require.Error(t, err, "an owner under a newer view has sent orders")
	f.Start(7, uint64(time.Second))
	_, err = f.Next("d1")
	require.NoError(t, err)
}

// An owner whose fencing numbers are below the accepted one must send no order.
func TestOrderFailsBelowAcceptedFence(t *testing.T) {
	s := newOwnerFixture(uint64(time.Hour))
	s.pool.ChecksFencingToken = true
	s.pollWarm(1 << 62)
	require.Error(t, s.owner.SendOrder(t.Context(), "d1", LoadModel, "m"))
	require.Empty(t, s.orders)
}
