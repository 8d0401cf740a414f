// Package figring implements a bounded queue between the goroutines of an instance. Each queue has
// a policy for items that arrive when it is full, so that a slow consumer cannot make memory grow
// without a bound.
//
// # Usage
//
//	r := figring.New[Event](1024, figring.Refuse)
//	if !r.Push(e) {
//		// full: report that to the caller of the producer
//	}
//	for {
//		e, err := r.Pop(ctx)
//		if err != nil {
//			return err
//		}
//		handle(e)
//	}
//
// A Ring is safe for concurrent use by many producers and consumers.
package figring

import (
	"context"
	"sync"
)

// Policy determines what Push does on a full ring.
type Policy uint8

const (
	// Refuse makes Push return false and leaves the queued items unchanged.
	Refuse Policy = iota
	// DropOldest makes Push remove the oldest item to make room. It suits reports that
	// become obsolete with the next one.
	DropOldest
)

// Ring is a bounded first-in, first-out queue, implemented as a ring buffer.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	policy  Policy
	dropped uint64
	// ready wakes a goroutine that waits for an item.
	ready chan struct{}
	// space wakes a goroutine that waits for room.
	space chan struct{}
}

// New returns an empty ring for at most capacity items. It panics if capacity is below one.
func New[T any](capacity int, policy Policy) *Ring[T] {
	if capacity < 1 {
		panic("figring: capacity below one")
	}
	return &Ring[T]{
		items:  make([]T, capacity),
		policy: policy,
		ready:  make(chan struct{}, 1),
		space:  make(chan struct{}, 1),
	}
}

// Push adds v. On a full ring it follows the policy: with Refuse it returns false, with DropOldest
// it removes the oldest item and returns true. Both count as dropped.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count < len(r.items) {
		r.put(v)
		return true
	}
	r.dropped++
	if r.policy == Refuse {
		return false
	}
	r.removeOldest()
	r.put(v)
	return true
}

// PushWait adds v, waiting while the ring is full, whatever the policy. It returns the context's
// error if ctx ends before there is room.
func (r *Ring[T]) PushWait(ctx context.Context, v T) error {
	for !r.tryPut(v) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.space:
		}
	}
	if !r.full() {
		signal(r.space)
	}
	return nil
}

// Pop removes and returns the oldest item, waiting while the ring is empty. It returns the
// context's error if ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	for {
		v, ok := r.TryPop()
		if ok {
			return v, nil
		}
		select {
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		case <-r.ready:
		}
	}
}

// TryPop removes and returns the oldest item, or returns false if the ring is empty.
func (r *Ring[T]) TryPop() (T, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		var zero T
		return zero, false
	}
	v := r.removeOldest()
	if r.count > 0 {
		signal(r.ready)
	}
	signal(r.space)
	return v, true
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// Dropped returns the number of items that Push has refused or replaced because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// tryPut adds v and returns true, or returns false if the ring is full. A full ring does not count
// as a dropped item, because PushWait tries again.
func (r *Ring[T]) tryPut(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		return false
	}
	r.put(v)
	return true
}

func (r *Ring[T]) put(v T) {
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	signal(r.ready)
}

func (r *Ring[T]) removeOldest() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v
}

func (r *Ring[T]) full() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count == len(r.items)
}

// signal wakes one waiting goroutine, or the next one that waits on c if there is none yet.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
