package figqueue

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// agingInterval is the waiting time that raises a request's priority by one.
const agingInterval = 5 * time.Second

// entry is an item that waits or is being placed.
type entry struct {
	item       Item
	ctx        context.Context
	enqueuedAt time.Time
	// flow is the flow that the entry waits in; nil while Place runs and after the end.
	flow *flow
	// callerGone is set once the caller's context has ended.
	callerGone bool
	// refusal is nil if the entry was placed. It is valid once done is closed.
	refusal *Refusal
	done    chan struct{}
}

// result returns the refusal as an error, without the non-nil error that a nil *Refusal would be.
func (e *entry) result() error {
	if e.refusal != nil {
		return e.refusal
	}
	return nil
}

// cost returns how far placing the entry advances its flow's virtual time: its tokens divided by the account's weight.
func (e *entry) cost() float64 {
	return float64(max(1, e.item.Tokens)) / float64(max(1, e.item.Weight))
}

// priority returns the item's priority plus one for each agingInterval of waiting, so that no request starves.
func (e *entry) priority(now time.Time) int {
	return e.item.Priority + int(now.Sub(e.enqueuedAt)/agingInterval)
}

// flow is the queue of one client account, as in fair queueing.
type flow struct {
	account string
	weight  float64
	// virtualTime is the virtual start time of the flow's next entry. The cost of each popped entry advances it.
	virtualTime float64
	// waiting is sorted by falling Item.Priority, then by arrival.
	waiting []*entry
	bytes   int64
	tokens  int64
	// rate measures the tokens per second that the flow gets while it has waiting entries.
	rate rateMeter
}

// scheduler decides which entry goes next and which requests are refused. It has no goroutines, no lock and no clock:
// Queue guards it and passes the time.
type scheduler struct {
	opts  Options
	flows map[string]*flow
	// virtualTime is the greatest virtual start time of the entries popped so far.
	virtualTime float64
	// waitingCount, bytes and tokens are sums over all waiting entries.
	waitingCount int
	bytes        int64
	tokens       int64
	rate         rateMeter
	counters     Counters
}

// Counters counts the outcomes of requests since the queue was made.
type Counters struct {
	// Placed counts the requests that were placed.
	Placed int64 `json:"placed"`
	// Refused counts the refused requests by reason.
	Refused map[Reason]int64 `json:"refused"`
}

// Status is a snapshot of a queue for operators.
type Status struct {
	Counters
	// Waiting counts the requests in the queue, Placing those whose Place runs.
	Waiting int `json:"waiting"`
	Placing int `json:"placing"`
	// Accounts counts the client accounts that have waiting requests.
	Accounts int `json:"accounts"`
	// Bytes is the sum of Item.Bytes over the waiting requests.
	Bytes int64 `json:"bytes"`
	// Tokens is the sum of Item.Tokens over the waiting requests.
	Tokens int64 `json:"tokens"`
	// TokensPerSecond is the rate at which requests are placed while others wait; zero if it isn't known yet.
	TokensPerSecond float64 `json:"tokensPerSecond"`
}

func newScheduler(opts Options) *scheduler {
	return &scheduler{opts: opts, flows: map[string]*flow{}, counters: Counters{Refused: map[Reason]int64{}}}
}

// push adds an item to its account's flow, or refuses it at once. To make room it may evict another entry.
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

// insertIndex returns where a new request belongs in f.waiting: behind all requests of the same or a higher priority.
func (s *scheduler) insertIndex(f *flow, priority int) int {
	i := len(f.waiting)
	for i > 0 && f.waiting[i-1].item.Priority < priority {
		i--
	}
	return i
}

// pop removes and returns the entry that goes next, and charges its cost to its flow. It returns nil if none waits.
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

// nextFlow returns the first flow with waiting entries in the order of compareFlows, or nil.
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

// compareFlows orders flows with waiting entries by their first entry: the highest priority, then the least virtual
// time, then the longest wait, then the account's name.
func (s *scheduler) compareFlows(f, g *flow, now time.Time) int {
	return cmp.Or(
		cmp.Compare(g.waiting[0].priority(now), f.waiting[0].priority(now)),
		cmp.Compare(f.virtualTime, g.virtualTime),
		f.waiting[0].enqueuedAt.Compare(g.waiting[0].enqueuedAt),
		cmp.Compare(f.account, g.account),
	)
}

// requeue undoes pop for an entry that found no capacity: the entry is first in its flow again, and its cost is taken
// back.
func (s *scheduler) requeue(e *entry) {
	f := s.flowFor(e.item.Account, e.item.Weight)
	f.virtualTime -= e.cost()
	f.rate.add(-e.item.Tokens)
	s.insert(f, e, 0)
}

// finishPlaced completes a popped entry that was placed.
func (s *scheduler) finishPlaced(e *entry, now time.Time) {
	s.rate.advance(now, true)
	s.rate.add(e.item.Tokens)
	s.counters.Placed++
	close(e.done)
	s.deleteIdleFlows()
}

// refusePopped refuses a popped entry that was not placed, and takes its cost back from the flow.
func (s *scheduler) refusePopped(e *entry, reason Reason) {
	if f := s.flows[e.item.Account]; f != nil {
		f.virtualTime -= e.cost()
	}
	s.refuse(e, reason)
	s.deleteIdleFlows()
}

// refuseWaiting removes a waiting entry from its flow and refuses it.
func (s *scheduler) refuseWaiting(e *entry, reason Reason) {
	f := e.flow
	s.removeAt(f, slices.Index(f.waiting, e))
	s.deleteIfIdle(f)
	s.refuse(e, reason)
}

// expire refuses the waiting entries whose deadline has passed.
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

// refuse counts the refusal and releases the caller that waits for the entry.
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
