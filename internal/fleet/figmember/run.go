package figmember

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// heartbeatInterval is the time between two rounds of heartbeats.
	heartbeatInterval = 500 * time.Millisecond
	// fullMeshSize is the largest number of instances at which each one sends heartbeats to all
	// others.
	fullMeshSize = 24
	// fullMeshTurns is the number of rounds over which a full mesh spreads one heartbeat to every
	// peer.
	fullMeshTurns = 2
	// outageMeshSize is the largest number of instances that switch to a full mesh while no instance
	// can get a confirmation from the configuration service: Fresh then depends on hearing a majority.
	outageMeshSize = 64
	// outageConfirmationAge is the age of the latest confirmation after which an instance switches to
	// that full mesh, outageHeartbeatInterval the minimum time between two heartbeats to one peer in it.
	outageConfirmationAge   = 1250 * time.Millisecond
	outageHeartbeatInterval = 800 * time.Millisecond
	// readerTargets is the number of readers of the configuration service that an instance of a larger
	// fleet has as peers. It sends a heartbeat to one of them in each round, in turn.
	readerTargets = 2
	// nonReaderTurns is the number of rounds between two heartbeats to a peer that is not a reader.
	nonReaderTurns = 3
	// failuresBeforeSkip is the number of consecutive unanswered heartbeats after which a larger
	// fleet's instance replaces a peer by the next one in its ranking.
	failuresBeforeSkip = 2
	// skipDuration is the minimum time for which such a peer is skipped; a random time of up to the
	// same length is added.
	skipDuration = 5 * time.Second
)

// Run sends heartbeats every heartbeatInterval until ctx ends, then waits for the pending ones. It
// returns nil.
func (m *Membership) Run(ctx context.Context, t *figtimer.Timer) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	turn := 0
	for range t.Subscribe(ctx, heartbeatInterval) {
		m.logFreshness()
		for _, p := range m.choosePeers(turn) {
			calls.Go(func() { m.sendHeartbeat(ctx, p) })
		}
		turn++
	}
	return nil
}

// logFreshness logs changes of Fresh.
func (m *Membership) logFreshness() {
	fresh := m.Fresh()
	v := m.opts.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	if fresh == m.loggedFresh {
		return
	}
	m.loggedFresh = fresh
	state := "unconfirmed"
	if fresh {
		state = "fresh"
	}
	klog.InfoS("freshness of the list of instances changed", "state", state, "version", v.Version, "newest", m.state.newest,
		"sinceConfirmed", m.opts.Clock.Now().Sub(m.state.confirmed), "instances", len(v.Members))
}

// choosePeers returns the peers to which to send a heartbeat in this round, without those that
// still have one in flight, and marks them as in flight.
func (m *Membership) choosePeers(turn int) []figview.Member {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var idle []figview.Member
	for _, p := range m.state.heartbeatTargets(v, turn, now) {
		if s := m.state.peer(p.Name); !s.inFlight {
			s.inFlight = true
			idle = append(idle, p)
		}
	}
	return idle
}

// heartbeatTargets returns the peers for a round. In a small fleet, two consecutive rounds cover all
// peers; in a larger one, each instance has a few peers, which differ from instance to instance.
func (s *state) heartbeatTargets(v *figview.View, turn int, now time.Time) []figview.Member {
	if len(v.Members) <= fullMeshSize {
		return s.meshTargets(v.Members, turn%fullMeshTurns)
	}
	if len(v.Members) <= outageMeshSize && now.Sub(s.confirmed) > outageConfirmationAge {
		return s.outageTargets(v.Members, now)
	}
	if s.ranking.view != v {
		s.ranking = rank(v, s.self)
	}
	var targets []figview.Member
	if readers := s.firstResponsive(s.ranking.readers, readerTargets, now); len(readers) > 0 {
		targets = append(targets, readers[turn%len(readers)])
	}
	if nonReaders := s.firstResponsive(s.ranking.nonReaders, 1, now); turn%nonReaderTurns == 0 && len(nonReaders) > 0 {
		targets = append(targets, nonReaders[0])
	}
	return targets
}

// meshTargets returns every fullMeshTurns-th member other than this instance, starting at index
// first.
func (s *state) meshTargets(members []figview.Member, first int) []figview.Member {
	peers := slices.DeleteFunc(slices.Clone(members), func(m figview.Member) bool { return m.Name == s.self })
	var chosen []figview.Member
	for i := first; i < len(peers); i += fullMeshTurns {
		chosen = append(chosen, peers[i])
	}
	return chosen
}

// outageTargets returns the other members that have not answered a heartbeat sent within
// outageHeartbeatInterval.
func (s *state) outageTargets(members []figview.Member, now time.Time) []figview.Member {
	var unheard []figview.Member
	for _, m := range members {
		p := s.peers[m.Name]
		if m.Name != s.self && (p == nil || now.Sub(p.lastAnswered) >= outageHeartbeatInterval) {
			unheard = append(unheard, m)
		}
	}
	return unheard
}

// ranking is the order in which an instance prefers the other members of a list as peers.
type ranking struct {
	view                *figview.View
	readers, nonReaders []figview.Member
}

func rank(v *figview.View, self string) ranking {
	key := figview.Key("beat", self)
	readers := v.Readers()
	isSelf := func(m figview.Member) bool { return m.Name == self }
	isSelfOrReader := func(m figview.Member) bool { return m.Name == self || slices.Contains(readers, m) }
	return ranking{
		view:       v,
		readers:    slices.DeleteFunc((&figview.View{Members: readers}).Rank(key, ""), isSelf),
		nonReaders: slices.DeleteFunc(v.Rank(key, ""), isSelfOrReader),
	}
}

// firstResponsive returns the first ranked members, at most n, that are not being skipped for unanswered
// heartbeats.
func (s *state) firstResponsive(ranked []figview.Member, n int, now time.Time) []figview.Member {
	picked := make([]figview.Member, 0, n)
	for _, m := range ranked {
		p := s.peers[m.Name]
		if p != nil && now.Before(p.skippedUntil) {
			continue
		}
		if picked = append(picked, m); len(picked) == n {
			break
		}
	}
	return picked
}

// sendHeartbeat sends one heartbeat to a peer and processes its answer. An answer that carries another
// sender's name counts as none.
func (m *Membership) sendHeartbeat(ctx context.Context, to figview.Member) {
	sent := m.opts.Clock.Now()
	r, err := m.opts.SendHeartbeat(ctx, to, m.newHeartbeat(to.Name))
	if err != nil || r.From != to.Name {
		r = nil
	}
	m.finishHeartbeat(to, sent, r)
}

// finishHeartbeat processes the answer to a heartbeat that was sent at the given time. A nil answer
// means that no valid one came.
func (m *Membership) finishHeartbeat(to figview.Member, sent time.Time, r *Heartbeat) {
	v, now := m.opts.View(), m.opts.Clock.Now()
	m.mu.Lock()
	p := m.state.peer(to.Name)
	p.inFlight = false
	m.counts.Heartbeats++
	if r == nil {
		m.counts.Unanswered++
		p.recordFailure(now, m.opts.Random())
		m.mu.Unlock()
		return
	}
	m.state.receiveAnswer(r, sent, now, v.Version)
	m.mu.Unlock()
	m.notifyObserver(v, r)
}

func (p *peer) recordFailure(now time.Time, random float64) {
	p.failures++
	if p.failures >= failuresBeforeSkip {
		p.skippedUntil = now.Add(skipDuration + time.Duration(random*float64(skipDuration)))
	}
}
