package figqueue

import (
	"math"
	"time"
)

const (
	// drainTime is the time constant of the measured rate of placing.
	drainTime = 5 * time.Second
	// drainLeast is the time under load after which the measured rate counts.
	drainLeast = 500 * time.Millisecond
	// retryLeast and retryMost bound the pause that a refused caller is told.
	retryLeast = 100 * time.Millisecond
	retryMost  = 30 * time.Second
)

// drain measures how many tokens a second are placed while requests wait.
type drain struct {
	tokens  float64
	seconds float64
	at      time.Time
}

// advance counts the time up to now as time under load, if it was.
func (d *drain) advance(now time.Time, loaded bool) {
	elapsed := now.Sub(d.at).Seconds()
	d.at = now
	if !loaded || elapsed <= 0 {
		return
	}
	f := math.Exp(-elapsed / drainTime.Seconds())
	d.tokens *= f
	d.seconds = d.seconds*f + elapsed
}

func (d *drain) add(tokens int64) { d.tokens += float64(tokens) }

// perSecond returns the rate, or zero while it isn't known.
func (d *drain) perSecond() float64 {
	if d.seconds < drainLeast.Seconds() {
		return 0
	}
	return d.tokens / d.seconds
}

// time returns how long it takes to place so many tokens, or zero while the rate
// isn't known.
func (d *drain) time(tokens float64) time.Duration {
	rate := d.perSecond()
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/rate, retryMost.Seconds()) * float64(time.Second))
}

// admits says whether there is room for an item, and why not. A full queue
// makes room at the cost of the account that has the most in it.
func (c *core) admits(f *flow, item Item, now time.Time) (Reason, bool) {
	if len(f.waiting) >= c.opts.AccountRequests || f.bytes+item.Bytes > c.opts.AccountBytes {
		return AccountFull, false
	}
	if item.Bytes > c.opts.Bytes {
		return Full, false
	}
	if c.late(f, item, now) {
		return Late, false
	}
	for c.count >= c.opts.Requests || c.bytes+item.Bytes > c.opts.Bytes {
		if !c.evict(f, item) {
			return Full, false
		}
	}
	return 0, true
}

// evict refuses the last request of the flow with the most tokens for its
// weight, if that has more than f would have with the item.
func (c *core) evict(f *flow, item Item) bool {
	var most *flow
	top := float64(f.tokens+item.Tokens) / f.weight
	for _, g := range c.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		if load := float64(g.tokens) / g.weight; load > top {
			most, top = g, load
		}
	}
	if most == nil {
		return false
	}
	c.remove(most.waiting[len(most.waiting)-1], Full)
	return true
}

// late says whether the item's deadline has passed or can't be met.
func (c *core) late(f *flow, item Item, now time.Time) bool {
	if item.Deadline.IsZero() {
		return false
	}
	if !now.Before(item.Deadline) {
		return true
	}
	wait := max(c.rate.time(c.ahead(f, item)), f.rate.time(float64(f.tokens)))
	return now.Add(wait).After(item.Deadline)
}

// ahead returns how many tokens go before the item: its own account's, those of
// higher priority, and of the others as many as the sharing gives them meanwhile.
func (c *core) ahead(f *flow, item Item) float64 {
	own := float64(f.tokens + item.Tokens)
	sum := float64(f.tokens)
	for _, g := range c.flows {
		if g == f || len(g.waiting) == 0 {
			continue
		}
		head := g.waiting[0].item
		switch {
		case head.Priority > item.Priority:
			sum += float64(g.tokens)
		case head.Priority == item.Priority:
			sum += min(float64(g.tokens), own/f.weight*g.weight)
		}
	}
	return sum
}

// clearTime returns how long what waits now takes at the measured rate.
func (c *core) clearTime() time.Duration {
	return max(c.rate.time(float64(c.tokens)), retryLeast)
}
