package figqueue

import "slices"

// flow returns the account's flow. A new one starts at the virtual time: it has
// no claim for the time in which it had nothing waiting.
func (c *core) flow(account string) *flow {
	f := c.flows[account]
	if f == nil {
		f = &flow{account: account, virtual: c.virtual}
		c.flows[account] = f
	}
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

// tidy forgets a flow that is empty and owes nothing: it would come back with
// the same virtual time.
func (c *core) tidy(f *flow) {
	if len(f.waiting) == 0 && f.virtual <= c.virtual {
		delete(c.flows, f.account)
	}
}

// settle forgets the flows that the virtual time has passed. When nothing waits
// nobody is owed anything, and the virtual time catches up with all.
func (c *core) settle() {
	for _, f := range c.flows {
		if c.count == 0 {
			c.virtual = max(c.virtual, f.virtual)
		}
	}
	for _, f := range c.flows {
		c.tidy(f)
	}
}
