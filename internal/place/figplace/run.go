package figplace

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// flushInterval is how long a release waits at most for a message to ride on.
	flushInterval = 50 * time.Millisecond
	// renewInterval is the time between two renewals of a lease; two of them may
	// get lost before it expires.
	renewInterval = time.Second
	// handoverRetryInterval is the time between two tries to tell a new owner of a lease.
	handoverRetryInterval = 250 * time.Millisecond
	// maxConcurrentSends bounds the owners that are written to at the same time.
	maxConcurrentSends = 16
)

// Run renews the leases and sends what waits, until ctx ends.
func (p *Placer) Run(ctx context.Context, t *figtimer.Timer) error {
	for range t.Subscribe(ctx, flushInterval) {
		p.flushConcurrently(ctx)
	}
	return nil
}

// Flush sends what is due now to every owner that something is due for, one after
// the other in the order of their names.
func (p *Placer) Flush(ctx context.Context) {
	for _, b := range p.due(p.opts.Clock.Now()) {
		p.deliver(ctx, b)
	}
}

// flushConcurrently is Flush with several owners at a time, so that one that doesn't
// answer delays no other.
func (p *Placer) flushConcurrently(ctx context.Context) {
	batches := p.due(p.opts.Clock.Now())
	var sends sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentSends)
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
	owner      figview.Member
	message    *message
	renewals   []*lease
	handedOver []*lease
}

// due makes the messages that are due. Leases whose server has a new owner are
// told to that one.
func (p *Placer) due(now time.Time) []*batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	cat := p.refreshCatalogue()
	if cat == nil {
		return nil
	}
	p.reassignLeases(cat)
	batches := map[string]*batch{}
	at := func(name string) *batch {
		b, ok := batches[name]
		if !ok {
			m, listed := cat.view.Find(name)
			if !listed || !p.table.reachable(now, name) {
				return nil
			}
			b = &batch{owner: m, message: p.drainOutbox(name, "")}
			batches[name] = b
		}
		return b
	}
	for name, box := range p.outboxes {
		if _, listed := cat.view.Find(name); !listed {
			delete(p.outboxes, name)
			continue
		}
		if !box.isEmpty() {
			at(name)
		}
	}
	for name, leases := range p.leasesByOwner {
		for l := range leases {
			if !l.due(now) {
				continue
			}
			l.handoverTriedAt = now
			if b := at(name); b != nil {
				b.add(l)
			}
		}
	}
	return sortedBatches(batches)
}

// sortedBatches returns the messages and what is in them in a fixed order.
func sortedBatches(batches map[string]*batch) []*batch {
	all := slices.SortedFunc(maps.Values(batches), func(a, b *batch) int {
		return strings.Compare(a.owner.Name, b.owner.Name)
	})
	for _, b := range all {
		slices.SortFunc(b.renewals, compareLeases)
		slices.SortFunc(b.handedOver, compareLeases)
		b.addLeasesToMessage()
	}
	return all
}

func compareLeases(a, b *lease) int { return strings.Compare(a.ask.ID, b.ask.ID) }

// addLeasesToMessage writes the leases into the message.
func (b *batch) addLeasesToMessage() {
	for _, l := range b.renewals {
		b.message.Renew = append(b.message.Renew, l.number)
	}
	for _, l := range b.handedOver {
		ask := l.ask
		ask.Held = true
		b.message.Reserve = append(b.message.Reserve, ask)
	}
}

// add takes a lease to renew, or to tell a new owner of.
func (b *batch) add(l *lease) {
	if l.number == 0 || l.epoch != b.message.Epoch {
		b.handedOver = append(b.handedOver, l)
		return
	}
	b.renewals = append(b.renewals, l)
}

// reassignLeases gives leases whose server has changed hands to the new owner. The
// caller holds mu.
func (p *Placer) reassignLeases(cat *catalogue) {
	var moved []*lease
	for name, leases := range p.leasesByOwner {
		for l := range leases {
			if m, ok := cat.owner(l.server); ok && m.Name != name {
				moved = append(moved, l)
			}
		}
	}
	for _, l := range moved {
		m, _ := cat.owner(l.server)
		p.untrackLease(l)
		l.owner, l.number, l.epoch = m.Name, 0, 0
		p.trackLease(l)
	}
}

// deliver sends a batch and takes the answers.
func (p *Placer) deliver(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
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
	for _, l := range b.renewals {
		if unknown[l.number] {
			l.number = 0
			continue
		}
		l.renewedAt = asked
	}
	for i, l := range b.handedOver {
		p.handleHandoverGrant(l, i, asked, reply)
	}
}

// handleHandoverGrant takes a new owner's answer to a lease that it was told of.
func (p *Placer) handleHandoverGrant(l *lease, i int, asked time.Time, reply *figowner.Reply) {
	if i >= len(reply.Grants) || reply.Grants[i].Refusal != figowner.Granted {
		return
	}
	g := reply.Grants[i]
	if l.ended {
		r := l.release()
		r.Lease, r.epoch, r.endedAt = g.Lease, reply.Epoch, asked
		p.outboxOf(l.owner).addRelease(r)
		return
	}
	l.number, l.epoch, l.renewedAt = g.Lease, reply.Epoch, asked
}
