package figstore

import (
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// faultsLogged bounds the lines that one change can add to the log.
const maxLoggedFaults = 20

// logged keeps what the log has been told, so that it is told once.
type logState struct {
	service string
	faults  map[figtree.Fault]bool
}

// logRefused logs why a new version of a document is not in force.
func logRejected(p parsed) {
	for _, f := range p.faults[:min(len(p.faults), maxLoggedFaults)] {
		klog.ErrorS(nil, "document refused; its last good version stays in force",
			"path", f.Path, "line", f.Line, "version", p.Version, "reason", f.Reason)
	}
}

// logFaults logs what of the documents in force has newly been left out or cut.
// The caller holds the lock.
func (s *Store) logFaults() {
	for _, f := range s.logged.newFaults(s.table.builder.Faults()) {
		klog.ErrorS(nil, "declaration left out or cut to its limit", "path", f.Path, "line", f.Line, "reason", f.Reason)
	}
}

// fresh returns those of the present faults that have not been logged, up to the
// bound, and forgets those that are gone.
func (l *logState) newFaults(present []figtree.Fault) []figtree.Fault {
	kept := make(map[figtree.Fault]bool, len(present))
	var added []figtree.Fault
	for _, f := range present {
		switch {
		case l.faults[f]:
			kept[f] = true
		case len(added) < maxLoggedFaults:
			kept[f] = true
			added = append(added, f)
		}
	}
	l.faults = kept
	return added
}

// logService logs when the service has become reachable, stale or unreachable.
func (s *Store) logService() {
	peerAnswered := s.opts.Elsewhere()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.sinceAnswer(peerAnswered)
	state := s.serviceState(age)
	if state == s.logged.service {
		return
	}
	s.logged.service = state
	klog.InfoS("configuration service", "state", state, "sinceAnswer", age, "highest", s.table.highest,
		"instances", s.instances.revision, "servers", s.serverList.revision)
}
