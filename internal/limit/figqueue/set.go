package figqueue

import (
	"context"
	"sync"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Set holds the queue of each pool, made when the pool is first used.
type Set struct {
	timer *figtimer.Timer
	build func(pool string) *Queue

	mu     sync.Mutex
	ctx    context.Context
	queues map[string]*Queue
}

// NewSet returns a set that makes queues by build.
func NewSet(t *figtimer.Timer, build func(pool string) *Queue) *Set {
	return &Set{timer: t, build: build, ctx: context.Background(), queues: map[string]*Queue{}}
}

// Start lets the queues made from now on run until ctx ends.
func (s *Set) Start(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ctx = ctx
	return nil
}

// Of returns the queue of a pool.
func (s *Set) Of(pool string) *Queue {
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

// Wake lets all queues try again at once.
func (s *Set) Wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.queues {
		q.Wake()
	}
}

// Status returns the state of each queue by its pool.
func (s *Set) Status() map[string]Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	statuses := make(map[string]Status, len(s.queues))
	for pool, q := range s.queues {
		statuses[pool] = q.Status()
	}
	return statuses
}
