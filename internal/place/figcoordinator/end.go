package figcoordinator

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

// HandleEnds ends placements of another instance.
func (c *Coordinator) HandleEnds(_ context.Context, q *Ends) (*Ack, error) {
	for i := range q.All {
		e := &q.All[i]
		c.End(Key{q.Instance, q.Incarnation, e.Number}, e)
	}
	return &Ack{}, nil
}

// End ends a placement or a part of it. A request that still waits is removed from the queue.
func (c *Coordinator) End(key Key, e *End) {
	now := c.Clock.Now()
	c.mu.Lock()
	p := c.placed[key]
	if r, ok := c.requests[key]; ok && p == nil && e.Part == Whole {
		r.ended = true
		r.cancel()
		delete(c.requests, key)
	}
	if p != nil && e.Part == Whole {
		delete(c.placed, key)
	}
	c.mu.Unlock()
	switch {
	case p == nil:
	case e.Part == AnswerReport:
		p.decode.RecordNotices(now, e.Result)
	case e.Part != Whole && p.prefill == nil:
	case e.Part == PrefillPart:
		end(p.prefill, now, e)
		c.work.prefillEnded(p, e)
	case e.Part == PrefillReport:
		p.prefill.Report(now, e.Result)
	default:
		c.rooms.end(now, p, e) // before the queue is woken
		end(p.decode, now, e)
		p.release()
		if v := c.View(); v.Table != nil {
			c.outputs.record(p.pool, v.Table.Pool(p.pool).Engine, e.OutputTokens)
		}
	}
}

// end ends a reservation with the result in e.
func end(r *figbalancer.Reservation, now time.Time, e *End) {
	if e.NoResult {
		r.Release()
		return
	}
	r.End(now, e.Result)
}

// release releases what is still reserved.
func (p *placed) release() {
	p.rooms.end(time.Time{}, p, nil)
	p.decode.Release()
	if p.prefill != nil {
		p.prefill.Release()
	}
}

// HandleAdopt records requests in progress of another instance at engines that this instance now
// coordinates.
func (c *Coordinator) HandleAdopt(_ context.Context, q *Adopt) (*Ack, error) {
	for i := range q.All {
		c.Adopt(Key{q.Instance, q.Incarnation, q.All[i].Number}, &q.All[i])
	}
	c.LearnLimits(q.Limits)
	return &Ack{}, nil
}

// LearnLimits records rate limits that another instance knows.
func (c *Coordinator) LearnLimits(all []Limit) { learnLimits(c.Clock.Now(), c.View(), c.picker, all) }

// learnLimits makes a picker keep rate limits that another instance knows.
func learnLimits(now time.Time, v *figcatalogue.View, p *figbalancer.Picker, all []Limit) {
	for _, l := range all {
		if s, ok := v.Find(l.Pool, l.Lifetime); ok && l.PerSecond >= 0 {
			p.LearnLimit(now, s, l.PerSecond)
		}
	}
}

// Adopt records a request in progress, unless it is known already.
func (c *Coordinator) Adopt(key Key, h *Held) {
	v := c.View()
	s, ok := v.Find(h.Pool, h.Decode)
	if !ok || h.Tokens < 0 || v.Table == nil {
		return
	}
	now := c.Clock.Now()
	tokens := h.Tokens + c.outputs.expected(h.Pool, v.Table.Pool(h.Pool).Engine)
	c.mu.Lock()
	_, known := c.placed[key]
	if !known {
		p := &placed{pool: h.Pool, until: now.Add(h.Lasts), rooms: &c.rooms, decode: c.picker.Reserve(now, s, tokens)}
		c.rooms.adopt(now, v, p, s, tokens)
		c.placed[key] = p
		c.AdoptedCount.Add(1)
	}
	c.mu.Unlock()
}
