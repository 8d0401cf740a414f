package figstore

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// minTakeoverDelay is how long an instance outside the list's readers waits without a report that the service
// answered another instance, before it reads the service itself. Up to half as much is added at random, so that
// instances don't take over at once.
const minTakeoverDelay = 2 * time.Second

// shouldRead says whether this instance reads the service now: it is one of the readers, or no report of an
// answered read by any instance arrived within the takeover delay.
func (s *Store) shouldRead() bool {
	peerAnswered := s.opts.PeerAnsweredAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentRole().reader {
		return true
	}
	last := latest(s.started, s.source.peerAnswered, peerAnswered)
	return s.opts.Clock.Now().Sub(last) > s.takeoverDelay
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// role says whether this instance is a reader by a list of instances, and which members are its neighbours.
type role struct {
	view       *figview.View
	reader     bool
	neighbours []figview.Member
}

// currentRole returns the role by the active list of instances, recomputed when the list changes. The caller holds
// s.mu.
func (s *Store) currentRole() role {
	if v := s.View(); s.role.view != v {
		self := func(m figview.Member) bool { return m.Name == s.opts.Self }
		ranked := slices.DeleteFunc(v.Rank(figview.Key("relay", s.opts.Self), ""), self)
		s.role = role{v, slices.ContainsFunc(v.Readers(), self), pickAcrossDataCentres(ranked, neighbourCount)}
	}
	return s.role
}

// neighbours returns the peers that this instance pulls from and notifies: the seeds while no list is known, else
// a selection that differs between instances and covers as many data centres as possible.
func (s *Store) neighbours() []figview.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.View().Version == 0 {
		return s.opts.Seeds
	}
	return s.currentRole().neighbours
}

// updateReady marks the store ready if a ready peer has sent all its values or all values have been read from the
// service. The caller has sent a request to every neighbour before.
func (s *Store) updateReady() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.synced || s.source.valuesComplete {
		s.ready.Store(true)
	}
}
