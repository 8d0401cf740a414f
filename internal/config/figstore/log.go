package figstore

import (
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// maxLoggedFaults bounds the log lines written for one rejected value or one change of the active configuration.
const maxLoggedFaults = 20

// logState holds the last service state and the faults that were already logged, so that each is logged once.
type logState struct {
	service string
	faults  map[figtree.Fault]bool
}

// logRejected logs why the newest version of a document was rejected.
func logRejected(p parsed) {
	for _, f := range p.faults[:min(len(p.faults), maxLoggedFaults)] {
		klog.ErrorS(nil, "document rejected; the last valid version of the path stays active",
			"path", f.Path, "line", f.Line, "version", p.Version, "reason", f.Reason)
	}
}

// logFaults logs the declarations of active documents that were ignored or limited and have not been logged yet.
// The caller holds s.mu.
func (s *Store) logFaults() {
	for _, f := range s.logged.newFaults(s.table.builder.Faults()) {
		klog.ErrorS(nil, "declaration ignored or reduced to its limit", "path", f.Path, "line", f.Line, "reason", f.Reason)
	}
}

// newFaults returns the faults in present that have not been logged, at most maxLoggedFaults, and records them as
// logged. It drops the records of faults that are no longer present.
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

// logService logs a change of the configuration service's state: reachable, stale or unreachable.
func (s *Store) logService() {
	peerAnswered := s.opts.PeerAnsweredAt()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.sinceAnswer(peerAnswered)
	state := s.serviceState(age)
	if state == s.logged.service {
		return
	}
	s.logged.service = state
	klog.InfoS("configuration service state changed", "state", state, "sinceAnswer", age, "highest", s.table.highest,
		"instances", s.instances.revision, "servers", s.serverList.revision)
}
