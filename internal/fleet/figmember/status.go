package figmember

import "figtrail.dev/figtrail/internal/core/figtimer"

// PeerState is what is known of one listed member.
type PeerState struct {
	// Name and DataCentre are as listed.
	Name       string `json:"name"`
	DataCentre string `json:"dataCentre"`
	// Incarnation and View are the latest that it told, itself or through others.
	Incarnation uint64 `json:"incarnation"`
	View        uint64 `json:"view"`
	// SinceHeardMillis is how long ago it last answered this instance, in
	// milliseconds; -1 for never.
	SinceHeardMillis int64 `json:"sinceHeardMillis"`
	// Draining says that it takes no more work.
	Draining bool `json:"draining"`
	// Failures counts its unanswered beats since the last answer.
	Failures int `json:"failures"`
}

// Status says how far the list in force can be relied on.
type Status struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// View is the version in force, Newest the highest known to exist.
	View   uint64 `json:"view"`
	Newest uint64 `json:"newest"`
	// Fresh is as the method, AllAcked that of the version in force.
	Fresh    bool `json:"fresh"`
	AllAcked bool `json:"allAcked"`
	// SinceConfirmedMillis is how long ago the service is known to have had no
	// newer list, in milliseconds; -1 for never.
	SinceConfirmedMillis int64 `json:"sinceConfirmedMillis"`
	// Peers holds the other listed members.
	Peers []PeerState `json:"peers"`
	// Counts holds the counters since the start.
	Counts Counts `json:"counts"`
}

// Peers returns what is known of the other listed members, sorted by name.
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
