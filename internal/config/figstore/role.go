package figstore

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// lonelyAfter is how long no other instance's read may have been heard of before
// this one reads the service itself. Up to half as much is added at random.
const minTakeoverDelay = 2 * time.Second

// reading says whether this instance reads the service now: it is among the
// readers, or it hasn't heard of any other that the service answers.
func (s *Store) shouldRead() bool {
	peerAnswered := s.opts.Elsewhere()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentRole().reader {
		return true
	}
	last := latest(s.started, s.source.peerAnswered, peerAnswered)
	return s.opts.Clock.Now().Sub(last) > s.takeoverDelay
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// role is what a list of instances makes of this one.
type role struct {
	view       *figview.View
	reader     bool
	neighbours []figview.Member
}

// roleNow returns the role by the list in force. The caller holds the lock.
func (s *Store) currentRole() role {
	if v := s.View(); s.role.view != v {
		self := func(m figview.Member) bool { return m.Name == s.opts.Self }
		ranked := slices.DeleteFunc(v.Rank(figview.Key("relay", s.opts.Self), ""), self)
		s.role = role{v, slices.ContainsFunc(v.Readers(), self), pickAcrossDataCentres(ranked, neighbourCount)}
	}
	return s.role
}

// neighbours returns the peers that this instance asks and notifies. They differ
// from instance to instance and stand in different data centres where they can.
func (s *Store) neighbours() []figview.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.View().Version == 0 {
		return s.opts.Seeds
	}
	return s.currentRole().neighbours
}

// settleBoot makes the instance ready once a peer that serves has given all that
// it has, or the service has. The caller has asked all neighbours before.
func (s *Store) updateReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.synced || s.source.valuesComplete {
		s.ready.Store(true)
	}
}
