package figmember

import (
	"context"
	"slices"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// beatInterval is how often an instance asks its peers.
	beatInterval = 500 * time.Millisecond
	// fullMesh is the size of a fleet up to which all ask all.
	fullMesh = 24
	// fewPeers is how many peers are asked in a larger fleet; the first of them is
	// one that reads the configuration service.
	fewPeers = 3
	// failuresSpared is after how many unanswered beats another peer is asked instead.
	failuresSpared = 2
	// spareTime is for how long; up to as much again is added at random.
	spareTime = 5 * time.Second
)

// Run exchanges beats until ctx ends.
func (m *Membership) Run(ctx context.Context, t *figtimer.Timer) error {
	var calls sync.WaitGroup
	defer calls.Wait()
	for range t.Subscribe(ctx, beatInterval) {
		for _, p := range m.choose() {
			calls.Go(func() { m.ask(ctx, p) })
		}
	}
	return nil
}

// choose returns the peers to ask now, and marks them as busy.
func (m *Membership) choose() []figview.Member {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	var idle []figview.Member
	for _, p := range m.state.neighbours(v, now) {
		if known := m.state.peer(p.Name); !known.busy {
			known.busy = true
			idle = append(idle, p)
		}
	}
	return idle
}

// neighbours returns the peers that this instance asks. In a small fleet these
// are all; in a larger one a few, which differ from instance to instance.
func (s *state) neighbours(v *figview.View, now time.Time) []figview.Member {
	if len(v.Members) <= fullMesh {
		return slices.DeleteFunc(slices.Clone(v.Members), func(m figview.Member) bool { return m.Name == s.self })
	}
	if s.ranking.view != v {
		s.ranking = rank(v, s.self)
	}
	near := s.pick(nil, s.ranking.readers, 1, now)
	return s.pick(near, s.ranking.all, fewPeers, now)
}

// ranking is the order in which an instance prefers the members of a list.
type ranking struct {
	view         *figview.View
	readers, all []figview.Member
}

func rank(v *figview.View, self string) ranking {
	key := figview.Key("beat", self)
	readers := &figview.View{Members: v.Readers()}
	return ranking{v, readers.Rank(key, ""), v.Rank(key, "")}
}

// pick adds members in their order up to n, leaving out those that don't answer.
func (s *state) pick(near, ranked []figview.Member, n int, now time.Time) []figview.Member {
	for _, m := range ranked {
		if len(near) >= n {
			break
		}
		p := s.peers[m.Name]
		spared := p != nil && now.Before(p.spared)
		if m.Name != s.self && !spared && !slices.Contains(near, m) {
			near = append(near, m)
		}
	}
	return near
}

// ask sends one beat and takes in the answer.
func (m *Membership) ask(ctx context.Context, to figview.Member) {
	sent := m.opts.Clock.Now()
	r, err := m.opts.Ask(ctx, to, m.beatTo(to.Name))
	if err != nil || r.From != to.Name {
		r = nil
	}
	m.finish(to, sent, r)
}

// finish takes in the answer to a beat that was sent at a time; nil for none.
func (m *Membership) finish(to figview.Member, sent time.Time, r *Beat) {
	v, now := m.opts.View(), m.opts.Clock.Now()
	m.mu.Lock()
	p := m.state.peer(to.Name)
	p.busy = false
	m.counts.Beats++
	if r == nil {
		m.counts.Unanswered++
		p.fail(now, m.opts.Random())
		m.mu.Unlock()
		return
	}
	m.state.answered(r, sent, now, v.Version)
	m.mu.Unlock()
	m.tell(v, r)
}

func (p *peer) fail(now time.Time, random float64) {
	p.failures++
	if p.failures >= failuresSpared {
		p.spared = now.Add(spareTime + time.Duration(random*float64(spareTime)))
	}
}
