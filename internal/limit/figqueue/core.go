package figqueue

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"
)

// agingTime is the wait that raises a request's priority by one.
const agingTime = 5 * time.Second

// entry is an item in the queue.
type entry struct {
	item    Item
	ctx     context.Context
	entered time.Time
	// flow is set while the entry waits.
	flow *flow
	// left is set once the caller has gone.
	left    bool
	refusal *Refusal
	done    chan struct{}
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
	return e.item.Priority + int(now.Sub(e.entered)/agingTime)
}

// flow is the part of one account.
type flow struct {
	account string
	weight  float64
	// virtual is the sum of the costs that it was served, in units of the queue's
	// virtual time.
	virtual float64
	waiting []*entry
	bytes   int64
	tokens  int64
	// rate is how fast its requests are placed while some wait.
	rate drain
}

// core is the queue without its goroutines: it takes the time as an argument.
type core struct {
	opts  Options
	flows map[string]*flow
	// virtual is the virtual time: that of the flow served last.
	virtual float64
	count   int
	bytes   int64
	tokens  int64
	rate    drain
	tally   Counters
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

func newCore(opts Options) *core {
	return &core{opts: opts, flows: map[string]*flow{}, tally: Counters{Refused: map[Reason]int64{}}}
}

// push adds an item or refuses it at once.
func (c *core) push(ctx context.Context, item Item, now time.Time) (*entry, *Refusal) {
	f := c.flow(item.Account, item.Weight)
	if reason, ok := c.admits(f, item, now); !ok {
		c.tally.Refused[reason]++
		c.tidy(f)
		return nil, &Refusal{Account: item.Account, Reason: reason, RetryAfter: c.clearTime()}
	}
	c.rate.advance(now, c.count > 0)
	f.rate.advance(now, len(f.waiting) > 0)
	if len(f.waiting) == 0 {
		f.virtual = max(f.virtual, c.virtual-c.credit())
	}
	e := &entry{item: item, ctx: ctx, entered: now, done: make(chan struct{})}
	c.insert(f, e, c.position(f, item.Priority))
	return e, nil
}

// position keeps an account's own requests in order of priority.
func (c *core) position(f *flow, priority int) int {
	i := len(f.waiting)
	for i > 0 && f.waiting[i-1].item.Priority < priority {
		i--
	}
	return i
}

// pop takes out the entry whose turn it is, or returns nil.
func (c *core) pop(now time.Time) *entry {
	f := c.first(now)
	if f == nil {
		return nil
	}
	e := f.waiting[0]
	f.rate.advance(now, true)
	f.rate.add(e.item.Tokens)
	c.take(f, 0)
	c.virtual = max(c.virtual, f.virtual)
	f.virtual += e.cost()
	return e
}

// first returns the flow whose turn it is: the highest priority, then the least
// virtual time, then the longest wait.
func (c *core) first(now time.Time) *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if best == nil || c.order(f, best, now) < 0 {
			best = f
		}
	}
	return best
}

func (c *core) order(f, g *flow, now time.Time) int {
	return cmp.Or(
		cmp.Compare(g.waiting[0].priority(now), f.waiting[0].priority(now)),
		cmp.Compare(f.virtual, g.virtual),
		f.waiting[0].entered.Compare(g.waiting[0].entered),
		cmp.Compare(f.account, g.account),
	)
}

// unpop puts an entry back first in its turn.
func (c *core) unpop(e *entry) {
	f := c.flow(e.item.Account, e.item.Weight)
	f.virtual -= e.cost()
	f.rate.add(-e.item.Tokens)
	c.insert(f, e, 0)
}

// placed ends an entry that has its room.
func (c *core) placed(e *entry, now time.Time) {
	c.rate.advance(now, true)
	c.rate.add(e.item.Tokens)
	c.tally.Placed++
	close(e.done)
	c.settle()
}

// drop ends an entry that was taken out and not placed. What it cost its
// account is given back.
func (c *core) drop(e *entry, reason Reason) {
	if f := c.flows[e.item.Account]; f != nil {
		f.virtual -= e.cost()
	}
	c.end(e, reason)
	c.settle()
}

// remove ends a waiting entry.
func (c *core) remove(e *entry, reason Reason) {
	f := e.flow
	c.take(f, slices.Index(f.waiting, e))
	c.tidy(f)
	c.end(e, reason)
}

// expire refuses the entries whose deadline has passed.
func (c *core) expire(now time.Time) {
	var late []*entry
	for _, f := range c.flows {
		for _, e := range f.waiting {
			if !e.item.Deadline.IsZero() && !now.Before(e.item.Deadline) {
				late = append(late, e)
			}
		}
	}
	for _, e := range late {
		c.remove(e, Late)
	}
}

func (c *core) end(e *entry, reason Reason) {
	c.tally.Refused[reason]++
	e.refusal = &Refusal{Account: e.item.Account, Reason: reason, RetryAfter: c.clearTime()}
	close(e.done)
}

func (c *core) status() Status {
	s := Status{
		Counters: c.tally, Waiting: c.count, Bytes: c.bytes, Tokens: c.tokens,
		TokensPerSecond: c.rate.perSecond(),
	}
	s.Refused = maps.Clone(c.tally.Refused)
	for _, f := range c.flows {
		if len(f.waiting) > 0 {
			s.Accounts++
		}
	}
	return s
}
