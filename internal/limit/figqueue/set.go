package figqueue

import (
	"context"
	"sync"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Set holds one queue for each pool and creates it on first use. It is safe for concurrent use.
type Set struct {
	timer *figtimer.Timer
	build func(pool string) *Queue

	mu     sync.Mutex
	ctx    context.Context
	queues map[string]*Queue
}

// NewSet returns an empty set. It calls build to create the queue of a pool, with the set locked.
func NewSet(t *figtimer.Timer, build func(pool string) *Queue) *Set {
	return &Set{timer: t, build: build, ctx: context.Background(), queues: map[string]*Queue{}}
}

// Start makes the Run of each queue that is created from now on end with ctx. Queues that exist already keep
// the context that they were created with; before the first Start, that is one without an end. Start always returns nil.
func (s *Set) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	return nil
}

// ForPool returns the queue of a pool. If there is none, it creates one and starts its Run.
func (s *Set) ForPool(pool string) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.queues[pool]; ok {
		return q
	}
	q := s.build(pool)
	s.queues[pool] = q
	ctx := s.ctx
	go func() { _ = q.Run(ctx, s.timer) }()
	return q
}

// Wake calls Wake on all queues.
func (s *Set) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		q.Wake()
	}
}

// Status returns the status of each queue, by pool.
func (s *Set) Status() map[string]Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[string]Status, len(s.queues))
	for pool, q := range s.queues {
		statuses[pool] = q.Status()
	}
	return statuses
}
