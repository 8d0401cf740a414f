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
	// arrivedAt orders the entry in its flow: Item.ArrivedAt, or later for a caller that returned early.
	arrivedAt time.Time
	// flow is the flow that the entry waits in; nil while Place runs and after the end.
	flow *flow
	// callerGone is set once the caller's context has ended.
	callerGone bool
	// returning says that the item is a further attempt of its caller. late says that it goes behind the requests of its
	// class and importance that are not. notBefore is when a caller that returned early was told to return.
	returning, late bool
	notBefore       time.Time
	// level is the importance that the entry counted as when it was popped, and floors what that changed in the floors.
	level  int
	floors [levels]float64
	// tried is closed once Place has returned.
	tried chan struct{}
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
	return e.size() / float64(max(1, e.item.Weight))
}

// size returns the item's tokens as they count in sharing the pool.
func (e *entry) size() float64 { return float64(max(1, e.item.Tokens)) }

// priority returns the item's priority plus one for each agingInterval of waiting, so that no request starves.
func (e *entry) priority(now time.Time) int {
	return e.item.Priority + int(now.Sub(e.enqueuedAt)/agingInterval)
}

// flow is the queue of one client account, as in fair queueing.
type flow struct {
	account string
	weight  float64
	// virtualTime is the virtual start time of the flow's next entry of each importance that is set in started. The cost
	// of each popped entry advances it.
	virtualTime [levels]float64
	started     [levels]bool
	// waiting is sorted by compareEntries.
	waiting []*entry
	bytes   int64
	tokens  int64
	// countAt and tokensAt are sums by Item.Importance. lateCount counts the waiting entries with late set.
	countAt   [levels]int
	tokensAt  [levels]int64
	lateCount int
	// rate measures the tokens per second that the flow gets while it has waiting entries.
	rate rateMeter
}

// scheduler decides which entry goes next and which requests are refused. It has no goroutines, no lock and no clock:
// Queue guards it and passes the time.
type scheduler struct {
	opts  Options
	flows map[string]*flow
	// now is the time of the latest call that passed one.
	now time.Time
	// placedLast is when the last request was placed.
	placedLast time.Time
	// virtualTime is the greatest virtual start time of the entries popped so far, for each importance.
	virtualTime [levels]float64
	// waitingCount, bytes and tokens are sums over all waiting entries.
	waitingCount int
	bytes        int64
	tokens       int64
	// countAt and tokensAt are sums by Item.Importance. ownCount counts the waiting entries with AccountImportance
	// and lateCount those with late set.
	countAt   [levels]int
	tokensAt  [levels]int64
	ownCount  int
	lateCount int
	// floors holds the tokens that are due to each importance by its floor.
	floors [levels]float64
	rate   rateMeter
	// placedAt holds the tokens of rate by importance.
	placedAt [levels]float64
	shares   shares
	ledger   ledger
	counters Counters
}

// Counters counts the outcomes of requests since the queue was made.
type Counters struct {
	// Placed counts the requests that were placed.
	Placed int64 `json:"placed"`
	// Refused counts the refused requests by reason.
	Refused map[Reason]int64 `json:"refused"`
	// PlacedByFloor counts the requests that went before more important ones by the floor.
	PlacedByFloor int64 `json:"placedByFloor,omitempty"`
	// PromisesKept counts the callers that returned when they were told, ReturnsEarly those that returned before,
	// PromisesMissed the promises whose callers didn't return, and PromisesDropped those that the ledger had no room for.
	PromisesKept    int64 `json:"promisesKept,omitempty"`
	ReturnsEarly    int64 `json:"returnsEarly,omitempty"`
	PromisesMissed  int64 `json:"promisesMissed,omitempty"`
	PromisesDropped int64 `json:"promisesDropped,omitempty"`
	// Bounded counts the items with a value outside its bounds.
	Bounded int64 `json:"bounded,omitempty"`
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
	// PromisedTokens is the sum of the tokens of refused requests whose callers are expected back.
	PromisedTokens int64 `json:"promisedTokens,omitempty"`
}

func newScheduler(opts Options) *scheduler {
	return &scheduler{
		opts: opts, flows: map[string]*flow{}, shares: shares{accounts: map[string]*used{}},
		counters: Counters{Refused: map[Reason]int64{}},
	}
}

// push adds an item to its account's flow, or refuses it at once. To make room it may evict another entry.
func (s *scheduler) push(ctx context.Context, item Item, now time.Time) (*entry, *Refusal) {
	s.now = now
	e := s.newEntry(ctx, item, now)
	f := s.flowFor(e.item.Account, e.item.Weight)
	s.shares.note(f.account, f.weight, now)
	if reason, ok := s.admit(f, e, now); !ok {
		r := s.refusalOf(e, reason)
		s.deleteIfIdle(f)
		return nil, r
	}
	s.advanceRate(now, s.waitingCount > 0)
	f.rate.advance(now, len(f.waiting) > 0)
	s.startFlow(f, e.item.Importance)
	if e.item.AccountImportance {
		s.startFlow(f, e.item.RouteImportance)
	}
	i, _ := slices.BinarySearchFunc(f.waiting, e, func(w, e *entry) int { return cmp.Or(compareEntries(w, e), -1) })
	s.insert(f, e, i)
	return e, nil
}

// compareEntries orders the entries of a flow: by falling class, importance, those on time before late ones, then the
// arrival of the first attempt.
func compareEntries(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.item.Priority, a.item.Priority),
		cmp.Compare(a.item.Importance, b.item.Importance),
		compareLate(a, b),
		a.arrivedAt.Compare(b.arrivedAt),
	)
}

// compareLate orders entries on time before late ones.
func compareLate(a, b *entry) int {
	switch {
	case a.late == b.late:
		return 0
	case b.late:
		return -1
	default:
		return 1
	}
}

// pop removes and returns the entry that goes next, and charges its cost to its flow. It returns nil if none waits.
func (s *scheduler) pop(now time.Time) *entry {
	s.now = now
	c := s.first(now)
	if c.flow == nil {
		return nil
	}
	if s.mixed() {
		c = s.takeFromFloor(c, now)
	}
	f, e := c.flow, c.entry()
	e.level = c.level
	f.rate.advance(now, true)
	f.rate.add(e.item.Tokens)
	s.removeAt(f, c.index)
	start := s.startTime(f, e.level)
	s.virtualTime[e.level] = max(s.virtualTime[e.level], *start)
	*start += e.cost()
	return e
}

// first returns the first entry in the order of compareCandidates. Its flow is nil if no entry waits.
func (s *scheduler) first(now time.Time) candidate {
	var best candidate
	for _, f := range s.flows {
		if len(f.waiting) == 0 {
			continue
		}
		head := f.waiting[0]
		c := candidate{flow: f, class: head.priority(now), level: s.importanceOf(f, &head.item)}
		if best.flow == nil || s.compareCandidates(&c, &best) < 0 {
			best = c
		}
	}
	return best
}

// compareCandidates orders entries of different flows: the highest class, then the most important, those on time, the
// least virtual time, the longest wait, and the account's name.
func (s *scheduler) compareCandidates(a, b *candidate) int {
	if order := cmp.Or(cmp.Compare(b.class, a.class), cmp.Compare(a.level, b.level)); order != 0 {
		return order
	}
	return cmp.Or(
		compareLate(a.entry(), b.entry()),
		cmp.Compare(*s.startTime(a.flow, a.level), *s.startTime(b.flow, b.level)),
		a.entry().enqueuedAt.Compare(b.entry().enqueuedAt),
		cmp.Compare(a.flow.account, b.flow.account),
	)
}

// requeue undoes pop for an entry that found no capacity: the entry is first among its equals in its flow again, and its
// cost is taken back.
func (s *scheduler) requeue(e *entry) {
	f := s.flowFor(e.item.Account, e.item.Weight)
	*s.startTime(f, e.level) -= e.cost()
	f.rate.add(-e.item.Tokens)
	s.undoFloor(e)
	i, _ := slices.BinarySearchFunc(f.waiting, e, compareEntries)
	s.insert(f, e, i)
}

// finishPlaced completes a popped entry that was placed.
func (s *scheduler) finishPlaced(e *entry, now time.Time) {
	s.now, s.placedLast = now, now
	s.advanceRate(now, true)
	s.rate.add(e.item.Tokens)
	s.placedAt[e.item.Importance] += float64(e.item.Tokens)
	s.shares.add(e.item.Account, e.size(), now)
	s.endProbe(e)
	s.counters.Placed++
	close(e.done)
	s.deleteIdleFlows()
}

// refusePopped refuses a popped entry that was not placed, and takes its cost back from the flow.
func (s *scheduler) refusePopped(e *entry, reason Reason) {
	if f := s.flows[e.item.Account]; f != nil {
		*s.startTime(f, e.level) -= e.cost()
	}
	s.undoFloor(e)
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

// expire refuses the waiting entries whose deadline has passed or, behind more important ones, can't be met, and ends
// promises.
func (s *scheduler) expire(now time.Time) {
	s.now = now
	s.counters.PromisesMissed += int64(s.ledger.expire(now))
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
	s.refuseHopeless(now)
}

// refuse counts the refusal and releases the caller that waits for the entry.
func (s *scheduler) refuse(e *entry, reason Reason) {
	e.refusal = s.refusalOf(e, reason)
	close(e.done)
}

func (s *scheduler) status() Status {
	snapshot := Status{
		Counters: s.counters, Waiting: s.waitingCount, Bytes: s.bytes, Tokens: s.tokens,
		TokensPerSecond: s.rate.perSecond(), PromisedTokens: int64(s.ledger.promised(levels - 1)),
	}
	snapshot.Refused = maps.Clone(s.counters.Refused)
	for _, f := range s.flows {
		if len(f.waiting) > 0 {
			snapshot.Accounts++
		}
	}
	return snapshot
}
