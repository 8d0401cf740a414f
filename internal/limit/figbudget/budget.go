// Package figbudget enforces a token bucket per client account over all instances together. Amounts
// are LLM tokens. There is no shared store; instances only exchange messages.
//
// Each account's bucket is divided into a fixed number of slots. The list of instances assigns each
// slot to one holder, which alone refills it. Other instances lease tokens from the holder; a lease
// also covers expected demand if the account is busy there. A token is counted at one instance
// only: every move subtracts it at the sender first, so that a lost message loses tokens and never
// duplicates them. The holder measures the lifetime of a lease from its answer and the lessee from
// its request, so that the holder never reclaims tokens that the lessee may still spend.
//
// When the list assigns a slot to another instance, the former holder transfers the slot's state.
// Without a transfer the slot starts empty at its new holder once the former one can no longer
// grant leases. In every interval, the tokens that all instances charge, less those refunded, don't
// exceed the rate times the length of the interval plus the burst.
//
// # Usage
//
//	b := figbudget.New(figbudget.Options{Self: name, Incarnation: started, …})
//	figpeer.Handle(handlers, "budget", b.Answer)
//	go b.Run(ctx, timer)
//
// Each request reserves the tokens of its prompt and its output limit before it runs. When it ends,
// in whatever way, it settles the reservation with what it used:
//
//	r, err := b.Reserve(ctx, account, prompt+outputLimit)
//	if err != nil {
//		var refusal *figbudget.Refusal // has the reason and the time to retry after
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
	// tickInterval is the time between two ticks of Run.
	tickInterval = 100 * time.Millisecond
	// callTimeout is the timeout of one message to a peer and its reply.
	callTimeout = 250 * time.Millisecond
)

// Options holds the dependencies of a Budget. All fields are required.
type Options struct {
	// Self is the name of this instance on the published list.
	Self string
	// Incarnation must grow with each start of this instance.
	Incarnation uint64
	// Clock must return times with a monotonic reading.
	Clock figtimer.Clock
	// View returns the current list of instances, or nil before the first one.
	View func() *figview.View
	// Fresh says whether the view was confirmed as the latest within the last two seconds.
	Fresh func() bool
	// AllAcked says whether every other listed member has told this instance that its view is of
	// this version or newer, and since when.
	AllAcked func(version uint64) (since time.Time, ok bool)
	// Limits returns the limits of an account, and false for an unknown account.
	Limits func(account string) (Limits, bool)
	// Call sends one message to a peer and returns the reply.
	Call func(ctx context.Context, m figview.Member, q *Request) (*Reply, error)
}

// Budget is the budget service of one instance. It is safe for concurrent use.
type Budget struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	ledger *ledger
}

// New returns a Budget without slots or leases.
func New(opts Options) *Budget {
	ctx, cancel := context.WithCancel(context.Background())
	return &Budget{
		opts:   opts,
		ctx:    ctx,
		cancel: cancel,
		ledger: newLedger(opts.Self, opts.Incarnation, opts.Limits),
	}
}

// Run calls Tick periodically until ctx ends, and then cancels the messages in flight.
func (b *Budget) Run(ctx context.Context, t *figtimer.Timer) error {
	defer b.cancel()
	for range t.Subscribe(ctx, tickInterval) {
		b.Tick()
	}
	return nil
}

// Tick does the periodic work: it adopts a new list of instances, returns unspent leases and
// requests transfers of slots that this instance has gained.
func (b *Budget) Tick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, _ := b.syncView()
	b.ledger.recordAcks(b.opts.Clock.Now, b.acked)
	b.send(b.ledger.tick(now))
}

// Answer handles a message from a peer. The error is always nil.
func (b *Budget) Answer(_ context.Context, q *Request) (*Reply, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, fresh := b.syncView()
	return b.ledger.handleRequest(q, b.opts.Incarnation, now, fresh), nil
}

// Reserve charges tokens to the account. The caller settles the reservation when its request ends.
// The error is always a *Refusal.
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

// requestLease sends a lease request and waits for its answer, with b.mu unlocked meanwhile. It
// returns false if ctx ended first; the next request of the account then uses the lease.
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

// send sends messages, each in a goroutine of its own.
func (b *Budget) send(due []*peerMessage) {
	for _, m := range due {
		go b.exchange(m)
	}
}

// exchange sends one message and handles its reply.
func (b *Budget) exchange(m *peerMessage) {
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	r, err := b.opts.Call(ctx, m.member, m.payload)
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

// syncView adopts the latest view and returns the time and whether the view is fresh. Freshness is
// read before the view, so that a view that arrives in between can only be newer than the one that
// was confirmed. If the process was paused during the reads, their results may be outdated, and the
// view counts as not fresh.
func (b *Budget) syncView() (now time.Time, fresh bool) {
	started := b.opts.Clock.Now()
	fresh = b.opts.Fresh()
	v := b.opts.View()
	now = b.opts.Clock.Now()
	fresh = fresh && now.Sub(started) < maxViewReadTime
	b.ledger.updateView(v, now, fresh)
	return now, fresh
}

// acked says whether all other members have acknowledged the version.
func (b *Budget) acked(version uint64) bool {
	_, ok := b.opts.AllAcked(version)
	return ok
}
