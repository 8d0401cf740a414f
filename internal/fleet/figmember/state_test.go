package figmember

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

var epoch = time.Unix(1_000_000, 0)

func viewOf(version uint64, names ...string) *figview.View {
	members := make([]figview.Member, 0, len(names))
	for _, n := range names {
		members = append(members, figview.Member{Name: n, DataCentre: "d"})
	}
	return figview.NewView(version, members)
}

func stateOf(name string) *state { return newState(name, 1, DefaultFreshness) }

// exchange sends a heartbeat from a to b and its answer back; both hold the version view.
func exchange(a, b *state, view uint64, now time.Time) {
	a.recordOwnVersion(view, now)
	b.recordOwnVersion(view, now)
	b.receive(a.heartbeat(b.self, view, now), now)
	a.receiveAnswer(b.heartbeat(a.self, view, now), now, now, view)
}

// A process that starts with a lower incarnation than its predecessor, because its clock is
// behind, must take a higher one at the first exchange, so that peers accept its acknowledgements.
func TestLowerIncarnation(t *testing.T) {
	a, old, back := stateOf("a"), newState("b", 50, DefaultFreshness), newState("b", 20, DefaultFreshness)
	exchange(a, old, 3, epoch)
	exchange(back, a, 3, epoch)
	require.Equal(t, uint64(51), back.incarnation)
	exchange(back, a, 4, epoch)
	_, ok := a.allAcked(viewOf(4, "a", "b"), 4)
	require.True(t, ok)
}

// Of two processes with the same name, only the acknowledgement of the later incarnation may
// count, in whatever order they arrive.
func TestLatestIncarnationCounts(t *testing.T) {
	former, latter := ViewAck{Member: hashOf("b"), Incarnation: 1, View: 2}, ViewAck{Member: hashOf("b"), Incarnation: 2, View: 1}
	for _, rows := range [][]ViewAck{{former, latter}, {latter, former}} {
		a := stateOf("a")
		a.applyAck(rows[0], epoch)
		a.applyAck(rows[1], epoch)
		_, ok := a.allAcked(viewOf(2, "a", "b"), 2)
		require.False(t, ok)
	}
}

func TestAllAckedSinceLastMember(t *testing.T) {
	a, b, c := stateOf("a"), stateOf("b"), stateOf("c")
	v := viewOf(2, "a", "b", "c")
	exchange(a, b, 2, epoch)
	_, ok := a.allAcked(v, 2)
	require.False(t, ok)
	exchange(a, c, 2, epoch.Add(time.Second))
	exchange(a, b, 2, epoch.Add(2*time.Second))
	since, ok := a.allAcked(v, 2)
	require.True(t, ok)
	require.Equal(t, epoch.Add(time.Second), since)
	_, ok = a.allAcked(v, 3)
	require.False(t, ok)
}

// Acknowledgements must be sent to each peer only once, and all again to a peer that has restarted
// and lost them.
func TestAcksAreSentOnce(t *testing.T) {
	a, b := stateOf("a"), stateOf("b")
	for i := range 100 {
		a.applyAck(ViewAck{Member: uint64(i), Incarnation: 1, View: 7}, epoch)
	}
	exchange(a, b, 7, epoch)
	exchange(a, b, 7, epoch)
	require.Empty(t, a.heartbeat("b", 7, epoch).Acks)
	require.Empty(t, b.heartbeat("a", 7, epoch).Acks)
	again := newState("b", 2, DefaultFreshness)
	exchange(again, a, 7, epoch)
	require.Len(t, again.acks, len(a.acks))
}

func TestPruneUnlistedKeepsListed(t *testing.T) {
	a := stateOf("a")
	a.recordOwnVersion(1, epoch)
	a.applyAck(ViewAck{Member: hashOf("b"), Incarnation: 1, View: 1}, epoch)
	for i := range 1000 {
		a.applyAck(ViewAck{Member: uint64(i), Incarnation: 1, View: 1}, epoch)
	}
	a.peer("b").seenSequence = 9
	v := viewOf(1, "a", "b")
	a.pruneUnlisted(v)
	require.LessOrEqual(t, len(a.acks), 2+extraAcks)
	_, ok := a.allAcked(v, 1)
	require.True(t, ok)
	require.Zero(t, a.peer("b").seenSequence)
}

func largeView(n int) *figview.View {
	members := make([]figview.Member, 0, n)
	for i := range n {
		members = append(members, figview.Member{Name: fmt.Sprint("i", i), DataCentre: fmt.Sprint("d", i%7)})
	}
	return figview.NewView(1, members)
}

// heartbeatsPerPeer returns how often an instance sends a heartbeat to each peer in a number of rounds.
func heartbeatsPerPeer(s *state, v *figview.View, turns int) map[string]int {
	asked := map[string]int{}
	for turn := range turns {
		s.recordOwnConfirmation(epoch, v.Version)
		for _, m := range s.heartbeatTargets(v, turn, epoch) {
			asked[m.Name]++
		}
	}
	return asked
}

func TestSmallFleetIsFullMesh(t *testing.T) {
	v := largeView(9)
	asked := heartbeatsPerPeer(stateOf("i3"), v, fullMeshTurns)
	require.Len(t, asked, 8)
	require.NotContains(t, asked, "i3")
}

func TestHeartbeatLoadIsBounded(t *testing.T) {
	const turns = 6
	v := largeView(480)
	inward, readers := map[string]int{}, 0
	for _, m := range v.Members {
		asked := heartbeatsPerPeer(stateOf(m.Name), v, turns)
		require.Len(t, asked, readerTargets+1)
		require.NotContains(t, asked, m.Name)
		for name, n := range asked {
			inward[name] += n
		}
	}
	for _, r := range v.Readers() {
		readers += inward[r.Name]
	}
	require.Equal(t, 480*turns, readers)
	most := 0
	for _, n := range inward {
		most = max(most, n)
	}
	perSecond := float64(most) / turns / heartbeatInterval.Seconds()
	t.Logf("an instance among 480 receives at most %.1f heartbeats a second", perSecond)
	require.Less(t, perSecond, 32.0)
}

func TestUnresponsivePeerIsSkipped(t *testing.T) {
	v := largeView(48)
	s := stateOf("i0")
	s.recordOwnConfirmation(epoch.Add(skipDuration), v.Version)
	first := s.heartbeatTargets(v, 1, epoch)
	for range failuresBeforeSkip {
		s.peer(first[0].Name).recordFailure(epoch, 0)
	}
	require.NotContains(t, s.heartbeatTargets(v, 0, epoch), first[0])
	require.NotContains(t, s.heartbeatTargets(v, 1, epoch), first[0])
	require.Equal(t, first, s.heartbeatTargets(v, 1, epoch.Add(skipDuration+time.Millisecond)))
}

// During an outage of the configuration service, a fleet of medium size must use a full mesh with
// one heartbeat per second and peer, and a large fleet must not.
func TestOutageMesh(t *testing.T) {
	v := largeView(45)
	s := stateOf("i0")
	s.recordOwnConfirmation(epoch, v.Version)
	require.Len(t, s.heartbeatTargets(v, 1, epoch.Add(outageConfirmationAge)), 1)
	now := epoch.Add(outageConfirmationAge + 1)
	quiet := s.heartbeatTargets(v, 1, now)
	require.Len(t, quiet, 44)
	for _, m := range quiet {
		s.peer(m.Name).lastAnswered = now
	}
	require.Empty(t, s.heartbeatTargets(v, 2, now.Add(heartbeatInterval)))
	require.Len(t, s.heartbeatTargets(v, 3, now.Add(2*heartbeatInterval)), 44)
	require.LessOrEqual(t, len(s.heartbeatTargets(largeView(480), 0, now)), 2)
}

func TestHeartbeatSize(t *testing.T) {
	a, b := newState("instance-one", 1_764_820_000_000, DefaultFreshness), newState("instance-two", 1_764_820_000_001, DefaultFreshness)
	exchange(a, b, 9, epoch)
	exchange(a, b, 9, epoch)
	steady, err := cbor.Marshal(a.heartbeat("instance-two", 9, epoch))
	require.NoError(t, err)
	for i := range 480 {
		a.applyAck(ViewAck{Member: hashOf(fmt.Sprint(i)), Incarnation: 1_764_820_000_000, View: 9}, epoch)
	}
	whole, err := cbor.Marshal(a.heartbeat("instance-two", 9, epoch))
	require.NoError(t, err)
	t.Logf("a heartbeat without changes has %d bytes; one with 480 acknowledgements has %d", len(steady), len(whole))
	require.Less(t, len(steady), 120)
	require.Less(t, len(whole), 480*24)
}

// A confirmation that the service sent to this instance must not count as one to another instance
// when a peer repeats it.
func TestOwnConfirmationIsNotElsewhere(t *testing.T) {
	a, b := stateOf("a"), stateOf("b")
	a.recordOwnConfirmation(epoch, 1)
	exchange(b, a, 1, epoch)
	exchange(a, b, 1, epoch)
	require.True(t, a.confirmedElsewhere.IsZero())
	require.Equal(t, epoch.Add(-time.Millisecond), b.confirmedElsewhere)
}
