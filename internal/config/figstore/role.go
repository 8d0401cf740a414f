package figstore

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// lonelyAfter is how long no other instance's read may have been heard of before
// this one reads the service itself. Up to as much again is added at random.
const lonelyAfter = 2 * time.Second

// reading says whether this instance reads the service now: it is among the
// readers, or it hasn't heard of any other that the service answers.
func (s *Store) reading() bool {
	for _, m := range s.View().Readers() {
		if m.Name == s.opts.Self {
			return true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.started
	if s.source.elsewhere.After(last) {
		last = s.source.elsewhere
	}
	return s.opts.Clock.Now().Sub(last) > s.patience
}

// boot keeps what a new instance has learned from its peers.
type boot struct {
	tried  map[string]bool
	synced bool
}

// asked notes a peer's answer, or nil for none.
func (b *boot) asked(name string, r *Reply) {
	if b.tried == nil {
		b.tried = map[string]bool{}
	}
	b.tried[name] = true
	if r != nil && r.Ready && !r.More {
		b.synced = true
	}
}

// settleBoot makes the instance ready once each neighbour has been asked and
// either one that serves has given all that it has, or the service has.
func (s *Store) settleBoot(near []figview.Member) {
	if s.Ready() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.View().Version == 0 || (!s.boot.synced && !s.source.valuesComplete) {
		return
	}
	for _, m := range near {
		if !s.boot.tried[m.Name] {
			return
		}
	}
	s.ready.Store(true)
}
