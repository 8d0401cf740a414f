// Package figbudget keeps each client account inside its rate and burst, in
// tokens, over all instances together and without shared writes.
//
// An account's budget has a fixed number of slots. The list of instances gives
// each slot one holder, which alone refills it; other instances lease tokens
// from it, in blocks if the account is busy there. Tokens exist in one place:
// whoever moves them subtracts first, and what a lost message carried is lost.
// A holder's clock for a lease starts when it answers and the lessee's when it
// asks, so that the holder never takes back what may still be spent.
//
// A slot that changes hands is handed over by its former holder, or starts empty
// once that one can't grant any more. For every interval, what all instances
// charge less what is refunded stays within rate times length plus burst.
//
// # Usage
//
//	b := figbudget.New(figbudget.Options{Self: name, Incarnation: started, …})
//	figpeer.Handle(handlers, "budget", b.Answer)
//	go b.Run(ctx, timer)
//
// Each request reserves its prompt and output limit before it runs, and settles
// what it used when it ends, however it ends:
//
//	r, err := b.Reserve(ctx, account, prompt+outputLimit)
//	if err != nil {
//		var refusal *figbudget.Refusal // says why, and when to try again
//		…
//	}
//	defer func() { r.Settle(used) }()
package figbudget

import (
	"context"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// tickTime is the time between two ticks of Run.
	tickInterval = 100 * time.Millisecond
	// askTimeout bounds one message to a peer and its answer.
	callTimeout = 250 * time.Millisecond
)

// Options holds what a Budget depends on. All fields are needed.
type Options struct {
	// Self is this instance's name on the published list.
	Self string
	// Incarnation grows with each start of this instance.
	Incarnation uint64
	// Clock is the source of time; it must carry a monotonic reading.
	Clock figtimer.Clock
	// View returns the list of instances in force, or nil before the first one.
	View func() *figview.View
	// Fresh says whether the view is known to be the latest, within two seconds.
	Fresh func() bool
	// AllAcked says whether every other listed member has told us that its view
	// is of this version or newer, and since when.
	AllAcked func(version uint64) (since time.Time, ok bool)
	// Limits returns what an account may spend, and false for an unknown account.
	Limits func(account string) (Limits, bool)
	// Ask carries one message to a peer.
	Ask func(ctx context.Context, m figview.Member, q *Request) (*Reply, error)
}

// Budget is the budget service of one instance. It is safe for concurrent use.
type Budget struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	ledger *ledger
}

// New returns a service that holds nothing yet.
func New(opts Options) *Budget {
	ctx, cancel := context.WithCancel(context.Background())
	return &Budget{
		opts:   opts,
		ctx:    ctx,
		cancel: cancel,
		ledger: newLedger(opts.Self, opts.Incarnation, opts.Limits),
	}
}

// Run ticks until ctx ends. It then ends the messages under way.
func (b *Budget) Run(ctx context.Context, t *figtimer.Timer) error {
	defer b.cancel()
	for range t.Subscribe(ctx, tickInterval) {
		b.Tick()
	}
	return nil
}

// Tick does what is due: it takes in a new list of instances, hands
// unspent leases back and pulls slots that were gained.
func (b *Budget) Tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, _ := b.syncView()
	b.ledger.recordAcks(b.opts.Clock.Now, b.acked)
	b.send(b.ledger.tick(now))
}

// Answer takes in a message from a peer.
func (b *Budget) Answer(_ context.Context, q *Request) (*Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, fresh := b.syncView()
	return b.ledger.handleRequest(q, b.opts.Incarnation, now, fresh), nil
}

// Reserve charges tokens to the account or returns a *Refusal. A reservation is
// settled once its request has ended.
func (b *Budget) Reserve(ctx context.Context, account string, tokens int64) (*Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	attempt, refusal := b.ledger.newAttempt(account, tokens)
	if refusal != nil {
		return nil, refusal
	}
	for {
		now, fresh := b.syncView()
		charged, request, refusal := b.ledger.step(attempt, now, fresh)
		if refusal != nil {
			return nil, refusal
		}
		if request == nil {
			return &Reservation{budget: b, account: account, charged: *charged}, nil
		}
		if !b.requestLease(ctx, attempt, request) {
			return nil, refuse(account, ContextEnded, 0, attempt.limits)
		}
	}
}

// exchange carries an ask and waits for its answer without the lock. It returns
// false if ctx ended first; the lease then serves the next request.
func (b *Budget) requestLease(ctx context.Context, attempt *attempt, request *peerRequest) bool {
	done := make(chan struct{})
	now := b.opts.Clock.Now()
	p := b.ledger.queueFor(request.peer.Name, now)
	p.requests = append(p.requests, &pendingRequest{attempt: attempt, request: request, done: func() { close(done) }})
	b.send(b.ledger.nextMessages(p, now))
	b.mu.Unlock()
	defer b.mu.Lock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// send starts the messages on their way.
func (b *Budget) send(due []*peerMessage) {
	for _, m := range due {
		go b.exchange(m)
	}
}

// carry carries one message and takes in the answer.
func (b *Budget) exchange(m *peerMessage) {
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	r, err := b.opts.Ask(ctx, m.member, m.payload)
	cancel()
	if err != nil {
		r = nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, _ := b.syncView()
	b.ledger.handleReply(m, r, now)
	b.send(b.ledger.nextMessages(m.peer, now))
}

// sync takes in the view in force, and returns the time and whether the view is
// fresh at it. Freshness is read first: a view that comes in between is newer
// than the one vouched for. If the process was paused in between, what was read
// may be old: it counts as not fresh.
func (b *Budget) syncView() (now time.Time, fresh bool) {
	started := b.opts.Clock.Now()
	fresh = b.opts.Fresh()
	v := b.opts.View()
	now = b.opts.Clock.Now()
	fresh = fresh && now.Sub(started) < maxViewReadTime
	b.ledger.updateView(v, now, fresh)
	return now, fresh
}

func (b *Budget) acked(version uint64) bool {
	_, ok := b.opts.AllAcked(version)
	return ok
}
