package figqueue

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// agingTime is the wait that raises a request's priority by one.
const agingInterval = 5 * time.Second

// entry is an item in the queue.
type entry struct {
	item       Item
	ctx        context.Context
	enqueuedAt time.Time
	// flow is set while the entry waits.
	flow *flow
	// left is set once the caller has gone.
	callerGone bool
	refusal    *Refusal
	done       chan struct{}
}

func (e *entry) result() error {
	if e.refusal != nil {
		return e.refusal
	}
	return nil
}

// cost is what the entry adds to its account's virtual time.
func (e *entry) cost() float64 {
	return float64(max(1, e.item.Tokens)) / float64(max(1, e.item.Weight))
}

// priority grows with the wait, so that no request starves.
func (e *entry) priority(now time.Time) int {
	return e.item.Priority + int(now.Sub(e.enqueuedAt)/agingInterval)
}

// flow is the part of one account.
type flow struct {
	account string
	weight  float64
	// virtual is the sum of the costs that it was served, in units of the queue's
	// virtual time.
	virtualTime float64
	waiting     []*entry
	bytes       int64
	tokens      int64
	// rate is how fast its requests are placed while some wait.
	rate rateMeter
}

// core is the queue without its goroutines: it takes the time as an argument.
type scheduler struct {
	opts  Options
	flows map[string]*flow
	// virtual is the virtual time: that of the flow served last.
	virtualTime  float64
	waitingCount int
	bytes        int64
	tokens       int64
	rate         rateMeter
	counters     Counters
}

// Counters counts what a queue did since its start.
type Counters struct {
	// Placed counts the requests that got their room.
	Placed int64 `json:"placed"`
	// Refused counts the others by reason.
	Refused map[Reason]int64 `json:"refused"`
}

// Status is what a queue tells operators.
type Status struct {
	Counters
	// Waiting and Placing count the requests by state.
	Waiting int `json:"waiting"`
	Placing int `json:"placing"`
	// Accounts counts the accounts that have requests waiting.
	Accounts int `json:"accounts"`
	// Bytes is the memory of the waiting requests.
	Bytes int64 `json:"bytes"`
	// Tokens is the sum of their costs.
	Tokens int64 `json:"tokens"`
	// TokensPerSecond is the measured rate of placing under load; zero if unknown.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

func newScheduler(opts Options) *scheduler {
	return &scheduler{opts: opts, flows: map[string]*flow{}, counters: Counters{Refused: map[Reason]int64{}}}
}

// push adds an item or refuses it at once.
func (s *scheduler) push(ctx context.Context, item Item, now time.Time) (*entry, *Refusal) {
	f := s.flowFor(item.Account, item.Weight)
	if reason, ok := s.admit(f, item, now); !ok {
		s.counters.Refused[reason]++
		s.deleteIfIdle(f)
		return nil, &Refusal{Account: item.Account, Reason: reason, RetryAfter: s.timeToDrain()}
	}
	s.rate.advance(now, s.waitingCount > 0)
	f.rate.advance(now, len(f.waiting) > 0)
	if len(f.waiting) == 0 {
		f.virtualTime = max(f.virtualTime, s.virtualTime-s.maxCredit())
	}
	e := &entry{item: item, ctx: ctx, enqueuedAt: now, done: make(chan struct{})}
	s.insert(f, e, s.insertIndex(f, item.Priority))
	return e, nil
}

// position keeps an account's own requests in order of priority.
func (s *scheduler) insertIndex(f *flow, priority int) int {
	i := len(f.waiting)
	for i > 0 && f.waiting[i-1].item.Priority < priority {
		i--
	}
	return i
}

// pop takes out the entry whose turn it is, or returns nil.
func (s *scheduler) pop(now time.Time) *entry {
	f := s.nextFlow(now)
	if f == nil {
		return nil
	}
	e := f.waiting[0]
	f.rate.advance(now, true)
	f.rate.add(e.item.Tokens)
	s.removeAt(f, 0)
	s.virtualTime = max(s.virtualTime, f.virtualTime)
	f.virtualTime += e.cost()
	return e
}

// first returns the flow whose turn it is: the highest priority, then the least
// virtual time, then the longest wait.
func (s *scheduler) nextFlow(now time.Time) *flow {
	var best *flow
	for _, f := range s.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || s.compareFlows(f, best, now) < 0 {
			best = f
		}
	}
	return best
}

func (s *scheduler) compareFlows(f, g *flow, now time.Time) int {
	return cmp.Or(
		cmp.Compare(g.waiting[0].priority(now), f.waiting[0].priority(now)),
		cmp.Compare(f.virtualTime, g.virtualTime),
		f.waiting[0].enqueuedAt.Compare(g.waiting[0].enqueuedAt),
		cmp.Compare(f.account, g.account),
	)
}

// unpop puts an entry back first in its turn.
func (s *scheduler) requeue(e *entry) {
	f := s.flowFor(e.item.Account, e.item.Weight)
	f.virtualTime -= e.cost()
	f.rate.add(-e.item.Tokens)
	s.insert(f, e, 0)
}

// placed ends an entry that has its room.
func (s *scheduler) finishPlaced(e *entry, now time.Time) {
	s.rate.advance(now, true)
	s.rate.add(e.item.Tokens)
	s.counters.Placed++
	close(e.done)
	s.deleteIdleFlows()
}

// drop ends an entry that was taken out and not placed. What it cost its
// account is given back.
func (s *scheduler) refusePopped(e *entry, reason Reason) {
	if f := s.flows[e.item.Account]; f != nil {
		f.virtualTime -= e.cost()
	}
	s.refuse(e, reason)
	s.deleteIdleFlows()
}

// remove ends a waiting entry.
func (s *scheduler) refuseWaiting(e *entry, reason Reason) {
	f := e.flow
	s.removeAt(f, slices.Index(f.waiting, e))
	s.deleteIfIdle(f)
	s.refuse(e, reason)
}

// expire refuses the entries whose deadline has passed.
func (s *scheduler) expire(now time.Time) {
	var expired []*entry
	for _, f := range s.flows {
		for _, e := range f.waiting {
			if !e.item.Deadline.IsZero() && !now.Before(e.item.Deadline) {
				expired = append(expired, e)
			}
		}
	}
	for _, e := range expired {
		s.refuseWaiting(e, DeadlineUnmet)
	}
}

func (s *scheduler) refuse(e *entry, reason Reason) {
	s.counters.Refused[reason]++
	e.refusal = &Refusal{Account: e.item.Account, Reason: reason, RetryAfter: s.timeToDrain()}
	close(e.done)
}

func (s *scheduler) status() Status {
	snapshot := Status{
		Counters: s.counters, Waiting: s.waitingCount, Bytes: s.bytes, Tokens: s.tokens,
		TokensPerSecond: s.rate.perSecond(),
	}
	snapshot.Refused = maps.Clone(s.counters.Refused)
	for _, f := range s.flows {
		if len(f.waiting) > 0 {
			snapshot.Accounts++
		}
	}
	return snapshot
}
