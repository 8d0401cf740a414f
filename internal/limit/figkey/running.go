package figkey

import (
	"sync"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figtree"
)

// ErrWithdrawn is the cause with which requests of a revoked or removed key are cancelled.
var ErrWithdrawn = errors.New("key withdrawn")

// RunningRequests holds the cancel functions of the running requests of one instance by key
// ID. It is safe for concurrent use.
type RunningRequests struct {
	mu      sync.Mutex
	lastID  uint64
	running map[string]map[uint64]func(error)
	tree    *figtree.Tree
}

// NewRunningRequests returns a RunningRequests without requests.
func NewRunningRequests() *RunningRequests {
	return &RunningRequests{running: map[string]map[uint64]func(error){}}
}

// Add registers a running request. cancel is called at most once, with ErrWithdrawn. Add calls
// it at once if the tree applied last doesn't contain the key or has it as revoked, so that
// a request verified against an older tree doesn't keep running. remove unregisters the
// request and may be called more than once.
func (s *RunningRequests) Add(keyID string, cancel func(cause error)) (remove func()) {
	s.mu.Lock()
	if s.tree != nil && revoked(s.tree, keyID) {
		s.mu.Unlock()
		cancel(ErrWithdrawn)
		return func() {}
	}
	s.lastID++
	registrationID := s.lastID
	if s.running[keyID] == nil {
		s.running[keyID] = map[uint64]func(error){}
	}
	s.running[keyID][registrationID] = cancel
	s.mu.Unlock()
	return func() { s.remove(keyID, registrationID) }
}

// Apply cancels the running requests of keys that t doesn't contain or has as revoked, and
// returns the number of cancelled requests.
func (s *RunningRequests) Apply(t *figtree.Tree) int {
	var cancels []func(error)
	s.mu.Lock()
	s.tree = t
	for id, requests := range s.running {
		if !revoked(t, id) {
			continue
		}
		for _, cancel := range requests {
			cancels = append(cancels, cancel)
		}
		delete(s.running, id)
	}
	s.mu.Unlock()
	for _, cancel := range cancels {
		cancel(ErrWithdrawn)
	}
	return len(cancels)
}

// Len returns the number of running requests.
func (s *RunningRequests) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, requests := range s.running {
		n += len(requests)
	}
	return n
}

func (s *RunningRequests) remove(keyID string, registrationID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running[keyID], registrationID)
	if len(s.running[keyID]) == 0 {
		delete(s.running, keyID)
	}
}

// revoked reports whether t doesn't contain the key or has it as revoked.
func revoked(t *figtree.Tree, keyID string) bool {
	key, ok := t.Key(keyID)
	return !ok || key.Revoked
}
