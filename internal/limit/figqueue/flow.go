package figqueue

import (
	"slices"
	"time"
)

// creditTime is how long an account can save up its part of the pool: one that
// had less than its part for so long goes before the others until it has caught
// up. Without it a burst of an account within its part would queue behind its
// own average.
const creditTime = 2 * time.Second

// credit returns how far a flow may be behind the virtual time.
func (c *core) credit() float64 {
	weights := 1.0
	for _, f := range c.flows {
		weights += f.weight
	}
	return c.rate.perSecond() * creditTime.Seconds() / weights
}

// flow returns the account's flow. A new one has saved up all it can.
func (c *core) flow(account string, weight int64) *flow {
	f := c.flows[account]
	if f == nil {
		f = &flow{account: account, virtual: c.virtual - c.credit()}
		c.flows[account] = f
	}
	f.weight = float64(max(1, weight))
	return f
}

func (c *core) insert(f *flow, e *entry, i int) {
	e.flow = f
	f.waiting = slices.Insert(f.waiting, i, e)
	f.bytes += e.item.Bytes
	f.tokens += e.item.Tokens
	c.count++
	c.bytes += e.item.Bytes
	c.tokens += e.item.Tokens
}

func (c *core) take(f *flow, i int) {
	e := f.waiting[i]
	e.flow = nil
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.bytes -= e.item.Bytes
	f.tokens -= e.item.Tokens
	c.count--
	c.bytes -= e.item.Bytes
	c.tokens -= e.item.Tokens
}

// tidy forgets a flow that is empty and would come back the same.
func (c *core) tidy(f *flow) {
	if len(f.waiting) == 0 && f.virtual <= c.virtual-c.credit() {
		delete(c.flows, f.account)
	}
}

// settle forgets the flows that the virtual time has passed. When nothing waits
// nobody is owed anything, and all start anew.
func (c *core) settle() {
	if c.count == 0 {
		c.virtual = 0
		clear(c.flows)
		return
	}
	limit := c.virtual - c.credit()
	for account, f := range c.flows {
		if len(f.waiting) == 0 && f.virtual <= limit {
			delete(c.flows, account)
		}
	}
}
