package figserve

import (
	"context"
	"sync"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/limit/figqueue"
)

// queues holds the queue of each pool, made when the pool is first used.
type queues struct {
	timer *figtimer.Timer
	build func(pool string) *figqueue.Queue

	mu     sync.Mutex
	ctx    context.Context
	byPool map[string]*figqueue.Queue
}

func newQueues(t *figtimer.Timer, build func(pool string) *figqueue.Queue) *queues {
	return &queues{timer: t, build: build, ctx: context.Background(), byPool: map[string]*figqueue.Queue{}}
}

// start lets the queues made from now on run until ctx ends.
func (q *queues) start(ctx context.Context) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ctx = ctx
	return nil
}

// of returns the queue of a pool.
func (q *queues) of(pool string) *figqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if one, ok := q.byPool[pool]; ok {
		return one
	}
	one := q.build(pool)
	q.byPool[pool] = one
	ctx := q.ctx
	go func() { _ = one.Run(ctx, q.timer) }()
	return one
}

// wake lets all queues try again at once.
func (q *queues) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, one := range q.byPool {
		one.Wake()
	}
}

// status returns the state of each queue by its pool.
func (q *queues) status() map[string]figqueue.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := make(map[string]figqueue.Status, len(q.byPool))
	for pool, one := range q.byPool {
		all[pool] = one.Status()
	}
	return all
}
