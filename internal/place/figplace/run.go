package figplace

import (
	"context"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// flushInterval is how long a release waits at most for a message to ride on.
	flushInterval = 100 * time.Millisecond
	// renewInterval is the time between two renewals of a lease; two of them may
	// get lost before it expires.
	renewInterval = time.Second
	// duties bounds the owners that are written to at the same time.
	duties = 16
)

// Run renews the leases and sends what waits, until ctx ends.
func (p *Placer) Run(ctx context.Context, t *figtimer.Timer) error {
	for range t.Subscribe(ctx, flushInterval) {
		p.Flush(ctx)
	}
	return nil
}

// Flush sends what is due now to every owner that something is due for.
func (p *Placer) Flush(ctx context.Context) {
	batches := p.due(p.opts.Clock.Now())
	var sends sync.WaitGroup
	slots := make(chan struct{}, duties)
	for _, b := range batches {
		slots <- struct{}{}
		sends.Go(func() {
			p.deliver(ctx, b)
			<-slots
		})
	}
	sends.Wait()
}

// batch is one message to one owner.
type batch struct {
	owner   figview.Member
	message *message
	renewed []*lease
	moved   []*lease
}

// due makes the messages that are due. Leases whose server has a new owner are
// told to that one.
func (p *Placer) due(now time.Time) []*batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	cat := p.sync()
	if cat == nil {
		return nil
	}
	p.moveLeases(cat)
	batches := map[string]*batch{}
	at := func(name string) *batch {
		b, ok := batches[name]
		if !ok {
			m, listed := cat.view.Find(name)
			if !listed || !p.table.reachable(now, name) {
				return nil
			}
			b = &batch{owner: m, message: p.empty(name, p.anyPool(name))}
			batches[name] = b
		}
		return b
	}
	for name, box := range p.outbox {
		if _, listed := cat.view.Find(name); !listed {
			delete(p.outbox, name)
			continue
		}
		if !box.empty() {
			at(name)
		}
	}
	for name, leases := range p.held {
		for l := range leases {
			if now.Sub(l.renewed) < renewInterval && l.number != 0 {
				continue
			}
			if b := at(name); b != nil {
				b.add(l)
			}
		}
	}
	all := make([]*batch, 0, len(batches))
	for _, b := range batches {
		all = append(all, b)
	}
	return all
}

// add puts a renewal into the message, or the ask that tells a new owner of it.
func (b *batch) add(l *lease) {
	if l.number == 0 || l.epoch != b.message.Epoch {
		ask := l.ask
		ask.Held = true
		b.message.Reserve = append(b.message.Reserve, ask)
		b.moved = append(b.moved, l)
		return
	}
	b.message.Renew = append(b.message.Renew, l.number)
	b.renewed = append(b.renewed, l)
}

// moveLeases gives leases whose server has changed hands to the new owner. The
// caller holds mu.
func (p *Placer) moveLeases(cat *catalogue) {
	var moved []*lease
	for name, leases := range p.held {
		for l := range leases {
			if m, ok := cat.owner(l.server); ok && m.Name != name {
				moved = append(moved, l)
			}
		}
	}
	for _, l := range moved {
		m, _ := cat.owner(l.server)
		p.unhold(l)
		l.owner, l.number, l.epoch = m.Name, 0, 0
		p.hold(l)
	}
}

// anyPool returns a pool that is in use at an owner, for its load indexes.
func (p *Placer) anyPool(owner string) string {
	for l := range p.held[owner] {
		return l.pool
	}
	return ""
}

// deliver sends a batch and takes the answers.
func (p *Placer) deliver(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	asked := p.opts.Clock.Now()
	reply, err := p.send(ctx, b.owner, b.message)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	unknown := make(map[uint64]bool, len(reply.Unknown))
	for _, n := range reply.Unknown {
		unknown[n] = true
	}
	for _, l := range b.renewed {
		if unknown[l.number] {
			l.number = 0
			continue
		}
		l.renewed = asked
	}
	for i, l := range b.moved {
		p.adopted(l, i, asked, reply)
	}
}

// adopted takes a new owner's answer to a lease that it was told of.
func (p *Placer) adopted(l *lease, i int, asked time.Time, reply *figowner.Reply) {
	if i >= len(reply.Grants) || reply.Grants[i].Refusal != figowner.Granted {
		return
	}
	g := reply.Grants[i]
	if l.ended {
		r := l.release()
		r.Lease, r.epoch, r.ended = g.Lease, reply.Epoch, asked
		p.box(l.owner).release(r)
		return
	}
	l.number, l.epoch, l.renewed = g.Lease, reply.Epoch, asked
}
