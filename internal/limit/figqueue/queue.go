// Package figqueue holds the requests of one pool that wait for room on its
// backend servers, and shares the pool among client accounts by tokens. The
// account that has had the least for its weight goes next (start-time fair
// queueing), so that an account's backlog delays its own requests and no others.
// Higher priorities go first; waiting raises a request's priority step by step.
//
// # Usage
//
//	q := figqueue.New(figqueue.Options{Clock: clock, Requests: 400, AccountRequests: 100, …})
//	go q.Run(ctx, timer)
//
//	err := q.Do(ctx, figqueue.Item{Account: a.ID, Weight: a.Weight, Tokens: n, Place: place})
//	var refusal *figqueue.Refusal // why the request won't be placed, and when to come back
//
// Place is called when the request's turn comes, several at once for different
// requests. A request without room stays first in its turn until Wake or the
// next tick. Whoever frees room calls Wake.
package figqueue

import (
	"context"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// tickTime is the time between two ticks of Run.
const tickInterval = 20 * time.Millisecond

// Verdict is what Place says of a request.
type Verdict uint8

const (
	// Placed means that the request has its room.
	Placed Verdict = iota
	// NoRoom means that it has to wait.
	NoRoom
	// Rejected means that it can't be placed at all.
	Rejected
)

// Options bounds a Queue. All bounds are needed.
type Options struct {
	// Clock is the source of time.
	Clock figtimer.Clock
	// Requests bounds the waiting requests of all accounts.
	Requests int
	// Bytes bounds the memory of the waiting requests of all accounts.
	Bytes int64
	// AccountRequests bounds the waiting requests of one account.
	AccountRequests int
	// AccountBytes bounds the memory of the waiting requests of one account.
	AccountBytes int64
	// Placing bounds the calls of Place at one time.
	Placing int
	// Pause returns how long a request that found no room waits for a Wake before it is
	// tried again; nil means until the next tick.
	Pause func() time.Duration
}

// Item is a request that asks for its turn.
type Item struct {
	// Account is the client account that it runs for.
	Account string
	// Weight is the account's part of the pool; less than one counts as one.
	Weight int64
	// Priority orders requests; higher goes first.
	Priority int
	// Tokens is the request's cost in the sharing.
	Tokens int64
	// Bytes is the memory that it takes while it waits.
	Bytes int64
	// Deadline is the time at which it must have been placed; zero means none.
	Deadline time.Time
	// Place tries to place it. It returns soon after its context has ended.
	Place func(ctx context.Context) Verdict
}

// Queue is the waiting room of one pool. It is safe for concurrent use.
type Queue struct {
	opts Options

	mu        sync.Mutex
	scheduler *scheduler
	placing   int
	// wakes counts calls of Wake; blocked is set while the first in turn has no room.
	wakes   uint64
	blocked bool
	// retryAt is when a blocked queue is tried again.
	retryAt time.Time
	// filled tells Run that an item waits; without one it doesn't tick.
	notEmpty chan struct{}
}

// New returns an empty queue.
func New(opts Options) *Queue {
	return &Queue{opts: opts, scheduler: newScheduler(opts), notEmpty: make(chan struct{}, 1)}
}

// Do waits until the item is placed and returns nil, or returns a *Refusal. If
// ctx ends while Place runs, Do returns when Place has, and returns nil if it
// said Placed: the caller then gives the room back.
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

// Wake says that there may be room again.
func (q *Queue) Wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wakes++
	q.blocked = false
	q.dispatch()
}

// Run refuses requests whose deadline has passed and tries again for those
// without room, until ctx ends.
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

// noteFilled starts the ticks if an item waits.
func (q *Queue) signalNotEmpty() {
	if q.scheduler.waitingCount == 0 {
		return
	}
	select {
	case q.notEmpty <- struct{}{}:
	default:
	}
}

// Tick does what Run does at each tick.
func (q *Queue) Tick(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.scheduler.expire(now)
	q.blocked = q.blocked && now.Before(q.retryAt)
	q.dispatch()
}

// block stops dispatching until a Wake or the pause is over, unless there was a Wake
// since wakes.
func (q *Queue) pauseDispatch(wakes uint64) {
	q.blocked = wakes == q.wakes
	q.retryAt = q.opts.Clock.Now()
	if q.opts.Pause != nil {
		q.retryAt = q.retryAt.Add(q.opts.Pause())
	}
}

// Status returns the state at this moment.
func (q *Queue) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.scheduler.status()
	s.Placing = q.placing
	return s
}

func (q *Queue) enqueue(ctx context.Context, item Item) (*entry, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ctx.Err() != nil {
		return nil, &Refusal{Account: item.Account, Reason: Ended}
	}
	if q.scheduler.waitingCount == 0 {
		q.blocked = false // nobody waits for the end of the pause
	}
	e, refusal := q.scheduler.push(ctx, item, q.opts.Clock.Now())
	if refusal != nil {
		return nil, refusal
	}
	q.dispatch()
	q.signalNotEmpty()
	return e, nil
}

// leave takes e out if it waits. An entry that is being placed is left to finish.
func (q *Queue) abandon(e *entry) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e.callerGone = true
	if e.flow != nil {
		q.scheduler.refuseWaiting(e, Ended)
	}
}

// dispatch starts Place for the next items as far as there is room for calls.
func (q *Queue) dispatch() {
	for !q.blocked && q.placing < q.opts.Placing {
		e := q.scheduler.pop(q.opts.Clock.Now())
		if e == nil {
			return
		}
		q.placing++
		go q.place(e, q.wakes)
	}
}

// place calls Place for e. wakes tells whether there was a Wake meanwhile.
func (q *Queue) place(e *entry, wakes uint64) {
	verdict := e.item.Place(e.ctx)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.placing--
	switch {
	case verdict == Placed:
		q.scheduler.finishPlaced(e, q.opts.Clock.Now())
	case verdict == Rejected:
		q.scheduler.refusePopped(e, Unplaceable)
	case e.callerGone:
		q.scheduler.refusePopped(e, Ended)
	default:
		q.scheduler.requeue(e)
		q.pauseDispatch(wakes)
		q.signalNotEmpty()
	}
	q.dispatch()
}
