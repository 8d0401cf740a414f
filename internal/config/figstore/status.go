package figstore

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
)

// unreachableAfter is how long no instance has received an answer from the service before the status reports it
// unreachable.
const unreachableAfter = 5 * time.Second

// Status describes the active configuration and the state of the configuration service.
type Status struct {
	// Ready is the result of Store.Ready.
	Ready bool `json:"ready"`
	// Reader says that this instance currently reads the service.
	Reader bool `json:"reader"`
	// Service is "reachable", "stale" (the service returns older data than the active one) or "unreachable" (no
	// instance is known to have received an answer within 5 seconds).
	Service string `json:"service"`
	// SinceAnswerMillis is the time in milliseconds since the service last answered any instance, as far as known;
	// -1 if no answer is known.
	SinceAnswerMillis int64 `json:"sinceAnswerMillis"`
	// Highest is the highest version of any value, Digest a hash over all values.
	Highest uint64 `json:"highest"`
	Digest  uint64 `json:"digest"`
	// Instances and Servers are the revisions of the active lists.
	Instances uint64 `json:"instances"`
	Servers   uint64 `json:"servers"`
	// Documents counts the paths known, deleted ones included; Accounts and Keys count what the active tree holds.
	Documents int `json:"documents"`
	Accounts  int `json:"accounts"`
	Keys      int `json:"keys"`
	// Refused holds the parse errors of latest versions that are not active, Faults the declarations of active
	// documents that are ignored or limited.
	Refused []figtree.Fault `json:"refused,omitempty"`
	Faults  []figtree.Fault `json:"faults,omitempty"`
	// Counts holds the counters since the start.
	Counts Counts `json:"counts"`
}

// Status returns the state of the store for operators.
func (s *Store) Status() Status {
	reader := s.shouldRead()
	peerAnswered := s.opts.PeerAnsweredAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.sinceAnswer(peerAnswered)
	return Status{
		Ready:             s.Ready(),
		Reader:            reader,
		Service:           s.serviceState(age),
		SinceAnswerMillis: figtimer.Millis(age),
		Highest:           s.table.highest,
		Digest:            s.table.digest(),
		Instances:         s.instances.revision,
		Servers:           s.serverList.revision,
		Documents:         len(s.table.entries),
		Accounts:          s.Tree().AccountCount(),
		Keys:              s.Tree().KeyCount(),
		Refused:           s.table.rejected(),
		Faults:            s.table.builder.Faults(),
		Counts:            s.counts,
	}
}

// sinceAnswer returns the time since the service last answered any instance: by this instance's reads, by peers'
// replies or, in peerAnswered, by heartbeats. It is negative if no answer is known. The caller holds s.mu.
func (s *Store) sinceAnswer(peerAnswered time.Time) time.Duration {
	last := latest(s.source.answered, s.source.peerAnswered, peerAnswered)
	if last.IsZero() {
		return -1
	}
	return s.opts.Clock.Now().Sub(last)
}

func (s *Store) serviceState(sinceAnswer time.Duration) string {
	switch {
	case sinceAnswer < 0 || sinceAnswer > unreachableAfter:
		return "unreachable"
	case s.source.stale[resourceValues] || s.source.stale[resourceInstances] || s.source.stale[resourceServers]:
		return "stale"
	}
	return "reachable"
}

// Confirmed returns the start time of the last read in which the service confirmed to this instance that the
// active list of instances is the newest; zero if there was none. It takes no lock.
func (s *Store) Confirmed() time.Time {
	if at := s.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Digest returns the highest version of any value and a hash over all values, as sent in heartbeats.
func (s *Store) Digest() (highest, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.highest, s.table.digest()
}
