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
	// beatInterval is how often an instance asks some of its peers.
	beatInterval = 500 * time.Millisecond
	// fullMeshSize is the size of a fleet up to which all ask all.
	fullMeshSize = 24
	// fullMeshTurns is in how many beats all peers of a small fleet are asked once.
	fullMeshTurns = 2
	// outageMeshSize is the size up to which all ask all while nobody is told by the
	// configuration service that the list is the latest: then a majority must be heard.
	outageMeshSize = 64
	// outageConfirmationAge is how old the latest word of the service is by then, and
	// outageRepeat the least time between two beats to the same peer.
	outageConfirmationAge  = 1250 * time.Millisecond
	outageBeatInterval = 800 * time.Millisecond
	// readerTargets is how many of the instances that read the configuration service
	// an instance of a larger fleet asks, one at each beat.
	readerTargets = 2
	// nonReaderTurns is how many beats lie between those to another peer.
	nonReaderTurns = 3
	// failuresBeforeSkip is after how many unanswered beats another peer is asked instead.
	failuresBeforeSkip = 2
	// skipDuration is for how long; up to as much again is added at random.
	skipDuration = 5 * time.Second
)

// Run exchanges beats until ctx ends.
func (m *Membership) Run(ctx context.Context, t *figtimer.Timer) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	turn := 0
	for range t.Subscribe(ctx, beatInterval) {
		m.logFreshness()
		for _, p := range m.choosePeers(turn) {
			calls.Go(func() { m.sendBeat(ctx, p) })
		}
		turn++
	}
	return nil
}

// logFreshness logs when the list in force begins or ceases to be known as the latest.
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
	klog.InfoS("list of instances", "state", state, "version", v.Version, "newest", m.state.newest,
		"sinceConfirmed", m.opts.Clock.Now().Sub(m.state.confirmed), "instances", len(v.Members))
}

// choosePeers returns the peers to ask now, and marks them as busy.
func (m *Membership) choosePeers(turn int) []figview.Member {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var idle []figview.Member
	for _, p := range m.state.beatTargets(v, turn, now) {
		if known := m.state.peer(p.Name); !known.inFlight {
			known.inFlight = true
			idle = append(idle, p)
		}
	}
	return idle
}

// beatTargets returns the peers that this instance asks at a turn. In a small
// fleet they are all of them within two turns; in a larger one a few, which
// differ from instance to instance.
func (s *state) beatTargets(v *figview.View, turn int, now time.Time) []figview.Member {
	if len(v.Members) <= fullMeshSize {
		return s.meshTargets(v.Members, turn%fullMeshTurns)
	}
	if len(v.Members) <= outageMeshSize && now.Sub(s.confirmed) > outageConfirmationAge {
		return s.outageTargets(v.Members, now)
	}
	if s.ranking.view != v {
		s.ranking = rank(v, s.self)
	}
	var near []figview.Member
	if readers := s.firstResponsive(s.ranking.readers, readerTargets, now); len(readers) > 0 {
		near = append(near, readers[turn%len(readers)])
	}
	if others := s.firstResponsive(s.ranking.others, 1, now); turn%nonReaderTurns == 0 && len(others) > 0 {
		near = append(near, others[0])
	}
	return near
}

// meshTargets returns every second of the other members, beginning with one of the first two.
func (s *state) meshTargets(members []figview.Member, first int) []figview.Member {
	others := slices.DeleteFunc(slices.Clone(members), func(m figview.Member) bool { return m.Name == s.self })
	var chosen []figview.Member
	for i := first; i < len(others); i += fullMeshTurns {
		chosen = append(chosen, others[i])
	}
	return chosen
}

// outageTargets returns the other members that have not been heard just now.
func (s *state) outageTargets(members []figview.Member, now time.Time) []figview.Member {
	var quiet []figview.Member
	for _, m := range members {
		p := s.peers[m.Name]
		if m.Name != s.self && (p == nil || now.Sub(p.lastAnswered) >= outageBeatInterval) {
			quiet = append(quiet, m)
		}
	}
	return quiet
}

// ranking is the order in which an instance prefers the other members of a list.
type ranking struct {
	view            *figview.View
	readers, others []figview.Member
}

func rank(v *figview.View, self string) ranking {
	key := figview.Key("beat", self)
	readers := v.Readers()
	notSelf := func(m figview.Member) bool { return m.Name == self }
	notOther := func(m figview.Member) bool { return m.Name == self || slices.Contains(readers, m) }
	return ranking{
		view:    v,
		readers: slices.DeleteFunc((&figview.View{Members: readers}).Rank(key, ""), notSelf),
		others:  slices.DeleteFunc(v.Rank(key, ""), notOther),
	}
}

// firstResponsive returns the first n members that answer.
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

// sendBeat sends one beat and takes in the answer.
func (m *Membership) sendBeat(ctx context.Context, to figview.Member) {
	sent := m.opts.Clock.Now()
	r, err := m.opts.Ask(ctx, to, m.newBeat(to.Name))
	if err != nil || r.From != to.Name {
		r = nil
	}
	m.finishBeat(to, sent, r)
}

// finishBeat takes in the answer to a beat that was sent at a time; nil for none.
func (m *Membership) finishBeat(to figview.Member, sent time.Time, r *Beat) {
	v, now := m.opts.View(), m.opts.Clock.Now()
	m.mu.Lock()
	p := m.state.peer(to.Name)
	p.inFlight = false
	m.counts.Beats++
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
