// Package figqueue queues the requests of one pool until its backend servers have capacity, and shares the pool among
// client accounts by start-time fair queueing: the next request comes from the account that was served the fewest tokens
// for its weight, so that an account's backlog delays only its own requests. Requests of higher priority go first; a
// request's priority rises with its waiting time. Of those with equal priority the more important go first, with a floor
// for the others. A request is refused at once if the queue or its account's share of the queue is full, or if the
// estimated wait exceeds its deadline; less important requests are refused first. A caller that returns after a refusal
// keeps the place of its first attempt.
//
// # Usage
//
//	q := figqueue.New(figqueue.Options{Clock: clock, MaxRequests: 400, MaxAccountRequests: 100, …})
//	go q.Run(ctx, timer)
//
//	err := q.Do(ctx, figqueue.Item{Account: a.ID, Weight: a.Weight, Tokens: n, Place: place})
//	var refusal *figqueue.Refusal // for errors.As: the reason, and when to retry
//
// The queue calls Place when a request is next, for up to MaxConcurrentPlacements requests concurrently. If Place
// returns NoCapacity, the request goes back to the front of its account's queue, and no request is tried until Wake is
// called or RetryPause has passed. Code that frees capacity calls Wake.
package figqueue

import (
	"context"
	"slices"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// tickInterval is the time between two calls of Tick by Run.
const tickInterval = 20 * time.Millisecond

// PlaceResult is the result of an attempt to place a request.
type PlaceResult uint8

const (
	// Placed means that capacity is reserved for the request.
	Placed PlaceResult = iota
	// NoCapacity means that no server has capacity now; the request stays queued.
	NoCapacity
	// Rejected means that no server can take the request even if it waits; it is refused as Unplaceable.
	Rejected
)

// Options configures a Queue. All bounds are required.
type Options struct {
	// Clock is the source of time.
	Clock figtimer.Clock
	// MaxRequests bounds the number of waiting requests of all accounts.
	MaxRequests int
	// MaxBytes bounds the sum of Item.Bytes over the waiting requests of all accounts.
	MaxBytes int64
	// MaxAccountRequests bounds the number of waiting requests of one account.
	MaxAccountRequests int
	// MaxAccountBytes bounds the sum of Item.Bytes over the waiting requests of one account.
	MaxAccountBytes int64
	// MaxConcurrentPlacements bounds the concurrent calls of Place.
	MaxConcurrentPlacements int
	// RetryPause returns how long the queue waits for a Wake before it tries again after NoCapacity. It is called once
	// for each NoCapacity, with the queue locked. If it is nil, the queue tries again at the next tick.
	RetryPause func() time.Duration
}

// Item is a request to be placed.
type Item struct {
	// Account is the client account that the request is queued under.
	Account string
	// Weight is the account's weight in sharing the pool; values below one count as one.
	Weight int64
	// Priority orders requests; higher values go first.
	Priority int
	// Importance is the published priority plus one, from 1 (first) to 10; 0 if unknown. AccountImportance says that it is
	// the account's own.
	Importance        int
	AccountImportance bool
	// RouteImportance is the route's if Importance is the account's. It counts once the account has had more than its
	// share.
	RouteImportance int
	// ArrivedAt is when the caller's first attempt of the request arrived; the zero time means now.
	ArrivedAt time.Time
	// Probe says that the caller isn't told if the request is refused, because it is queued elsewhere then.
	Probe bool
	// Tokens is the request's cost in sharing the pool; for that, values below one count as one.
	Tokens int64
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Deadline is the time by which the request must be placed; the zero time means no deadline.
	Deadline time.Time
	// Place tries to place the request on a server. It must return soon after ctx, the context given to Do, has ended.
	Place func(ctx context.Context) PlaceResult
}

// Queue queues the requests of one pool. It is safe for concurrent use.
type Queue struct {
	opts Options

	mu        sync.Mutex
	scheduler *scheduler
	reserved  reservedEntries
	// placing holds the entries whose Place runs or waits for that of others.
	placing []*entry
	// wakes counts the calls of Wake.
	wakes uint64
	// blocked stops dispatch after a Place that returned NoCapacity, until Wake is called, a tick comes at or after
	// retryAt, or a request arrives at the empty queue.
	blocked bool
	// retryAt is the time from which a tick unblocks dispatch.
	retryAt time.Time
	// notEmpty tells Run that an item waits. Run doesn't tick while the queue is empty.
	notEmpty chan struct{}
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts, scheduler: newScheduler(opts), notEmpty: make(chan struct{}, 1)}
}

// Do waits until the item is placed, and returns nil, or until it is refused, and returns a *Refusal. If ctx ends while
// Place runs, Do still waits for Place; if Place returns Placed, Do returns nil, and the caller must release the
// capacity.
func (q *Queue) Do(ctx context.Context, item Item) error {
	e, err := q.enqueue(ctx, item)
	if err != nil {
		return err
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		q.abandon(e)
		<-e.done
	}
	return e.result()
}

// Wake tells the queue that servers may have capacity again, and tries the next requests at once.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakes++
	q.blocked = false
	q.reserved.retry()
	q.dispatch()
}

// Run calls Tick every tickInterval while requests wait, until ctx ends. It always returns nil.
func (q *Queue) Run(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-q.notEmpty:
		}
		for q.Status().Waiting > 0 && t.Sleep(ctx, tickInterval) == nil {
			q.Tick(t.Now())
		}
	}
}

// signalNotEmpty makes Run tick if an item waits. The caller holds q.mu.
func (q *Queue) signalNotEmpty() {
	if q.scheduler.waitingCount+q.reserved.len() == 0 {
		return
	}
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// Tick refuses the waiting requests whose deadline has passed, and tries the next requests unless the queue still
// pauses after NoCapacity.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.expire(now)
	q.expireReserved(now)
	q.blocked = q.blocked && now.Before(q.retryAt)
	q.dispatch()
}

// pauseDispatch stops dispatch until Wake is called or the retry pause is over. wakes is the value of q.wakes when Place
// was started. If Wake was called since then, dispatch isn't stopped, because capacity may have been freed after Place
// checked for it. The caller holds q.mu.
func (q *Queue) pauseDispatch(wakes uint64) {
	q.blocked = wakes == q.wakes
	q.retryAt = q.opts.Clock.Now()
	if q.opts.RetryPause != nil {
		q.retryAt = q.retryAt.Add(q.opts.RetryPause())
	}
}

// Status returns a snapshot of the queue.
func (q *Queue) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.scheduler.status()
	s.Placing = len(q.placing)
	s.Waiting += q.reserved.len()
	return s
}

// enqueue adds an item and dispatches. The error is a *Refusal.
func (q *Queue) enqueue(ctx context.Context, item Item) (*entry, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &Refusal{Account: item.Account, Reason: ContextDone}
	}
	if q.scheduler.waitingCount == 0 {
		q.blocked = false // the request that caused the pause is gone
	}
	e, refusal := q.scheduler.push(ctx, item, q.opts.Clock.Now())
	if refusal != nil {
		return nil, refusal
	}
	q.dispatch()
	q.signalNotEmpty()
	return e, nil
}

// abandon refuses e as ContextDone if it waits. If its Place is running, place decides when Place has returned.
func (q *Queue) abandon(e *entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.callerGone = true
	q.scheduler.now = q.opts.Clock.Now()
	if e.flow != nil {
		q.scheduler.refuseWaiting(e, ContextDone)
	}
	q.refuseReserved(e, ContextDone)
}

// dispatch starts Place for the next entries, up to MaxConcurrentPlacements calls. The caller holds q.mu.
func (q *Queue) dispatch() {
	for !q.blocked && len(q.placing) < q.opts.MaxConcurrentPlacements {
		e := q.next(q.opts.Clock.Now())
		if e == nil {
			return
		}
		var before []chan struct{}
		for _, other := range q.placing {
			if other.level < e.level {
				before = append(before, other.tried)
			}
		}
		e.tried = make(chan struct{})
		q.placing = append(q.placing, e)
		go q.place(e, before, q.wakes)
	}
}

// place calls Place for e, then completes, refuses or requeues e and dispatches further entries. It waits for the
// concurrent calls for more important entries, which would otherwise find their room taken. wakes is the value of q.wakes
// before the call, for pauseDispatch.
func (q *Queue) place(e *entry, before []chan struct{}, wakes uint64) {
	for _, tried := range before {
		<-tried
	}
	result := e.item.Place(e.ctx)
	close(e.tried)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.placing = slices.DeleteFunc(q.placing, func(other *entry) bool { return other == e })
	switch {
	case result == Placed:
		q.scheduler.finishPlaced(e, q.opts.Clock.Now())
	case result == Rejected:
		q.scheduler.refusePopped(e, Unplaceable)
	case e.callerGone:
		q.scheduler.refusePopped(e, ContextDone)
	case result == Reserved && q.keepReserved(e, wakes):
	default:
		q.scheduler.requeue(e)
		q.pauseDispatch(wakes)
		q.signalNotEmpty()
	}
	q.dispatch()
}
