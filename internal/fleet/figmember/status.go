package figmember

import "figtrail.dev/figtrail/internal/core/figtimer"

// PeerState describes one other listed member for operators.
type PeerState struct {
	// Name and DataCentre come from the list.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Incarnation and View are the latest known ones, reported by the member itself or by other
	// instances.
	Incarnation uint64 `json:"incarnation"`
	View        uint64 `json:"view"`
	// SinceHeardMillis is the time since the sending of the latest heartbeat that the member answered,
	// in milliseconds; -1 means never.
	SinceHeardMillis int64 `json:"sinceHeardMillis"`
	// Draining is true if the member takes no more work.
	Draining bool `json:"draining"`
	// Failures counts consecutive heartbeats that the member did not answer.
	Failures int `json:"failures"`
}

// Status describes the reliability of the list in use for operators.
type Status struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// View is the version in use, Newest the highest version known to exist.
	View   uint64 `json:"view"`
	Newest uint64 `json:"newest"`
	// Fresh is the result of Membership.Fresh, AllAcked that of Membership.AllAcked for View.
	Fresh    bool `json:"fresh"`
	AllAcked bool `json:"allAcked"`
	// SinceConfirmedMillis is the time since the configuration service is known to have had no newer
	// list, in milliseconds; -1 means never.
	SinceConfirmedMillis int64 `json:"sinceConfirmedMillis"`
	// Peers describes the other listed members, sorted by name.
	Peers  []PeerState `json:"peers"`
	Counts Counts      `json:"counts"`
}

// Peers returns the state of the other listed members, sorted by name.
func (m *Membership) Peers() []PeerState {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]PeerState, 0, len(v.Members))
	for _, l := range v.Members {
		if l.Name == m.opts.Self.Name {
			continue
		}
		s := PeerState{Name: l.Name, DataCentre: l.DataCentre, SinceHeardMillis: -1}
		if a := m.state.acks[hashOf(l.Name)]; a != nil {
			s.Incarnation, s.View = a.incarnation, a.view
		}
		if p := m.state.peers[l.Name]; p != nil {
			s.Draining, s.Failures = p.draining, p.failures
			if !p.lastAnswered.IsZero() {
				s.SinceHeardMillis = figtimer.Millis(now.Sub(p.lastAnswered))
			}
		}
		peers = append(peers, s)
	}
	return peers
}

// Status returns the state for operators.
func (m *Membership) Status() Status {
	v := m.opts.View()
	_, acked := m.AllAcked(v.Version)
	s := Status{Name: m.opts.Self.Name, View: v.Version, Fresh: m.Fresh(), AllAcked: acked, Peers: m.Peers()}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Incarnation, s.Newest, s.Counts = m.state.incarnation, m.state.newest, m.counts
	s.SinceConfirmedMillis = -1
	if !m.state.confirmed.IsZero() {
		s.SinceConfirmedMillis = figtimer.Millis(m.opts.Clock.Now().Sub(m.state.confirmed))
	}
	return s
}
