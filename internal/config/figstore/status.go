package figstore

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
)

// staleAfter is how long the service may leave everyone without an answer before
// the status says so.
const unreachableAfter = 5 * time.Second

// Status says what is in force and how the service does.
type Status struct {
	// Ready is as the method.
	Ready bool `json:"ready"`
	// Reader says that this instance reads the service.
	Reader bool `json:"reader"`
	// Service is "reachable", "stale" (it answers with older values than are in
	// force) or "unreachable" (it has not answered anyone heard of for a while).
	Service string `json:"service"`
	// SinceAnswerMillis is how long ago the service last answered anyone heard of,
	// in milliseconds; -1 for never.
	SinceAnswerMillis int64 `json:"sinceAnswerMillis"`
	// Highest is the highest version of any value, Digest stands for all of them.
	Highest uint64 `json:"highest"`
	Digest  uint64 `json:"digest"`
	// Instances and Servers are the versions of the lists.
	Instances uint64 `json:"instances"`
	Servers   uint64 `json:"servers"`
	// Documents counts the values known, Accounts and Keys what is in force.
	Documents int `json:"documents"`
	Accounts  int `json:"accounts"`
	Keys      int `json:"keys"`
	// Refused says why the latest versions of some values are not in force, Faults
	// what else of the values in force is left out or cut to a limit.
	Refused []figtree.Fault `json:"refused,omitempty"`
	Faults  []figtree.Fault `json:"faults,omitempty"`
	// Counts holds the counters since the start.
	Counts Counts `json:"counts"`
}

// Status returns the state for operators.
func (s *Store) Status() Status {
	reader := s.shouldRead()
	peerAnswered := s.opts.Elsewhere()
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

// sinceAnswer returns how long ago the service answered anyone heard of, by pulls
// or, as elsewhere, by beats; negative for never. The caller holds the lock.
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

// Confirmed returns when the service last said to this instance that the list of
// instances in force is its latest one: the time before that read was sent. It is
// zero if it never did. It takes no lock.
func (s *Store) Confirmed() time.Time {
	if at := s.confirmed.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Digest returns the highest version of any value and a number that stands for
// all values, for the beats between instances.
func (s *Store) Digest() (highest, digest uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.highest, s.table.digest()
}
