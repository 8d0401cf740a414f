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
	// flushInterval is the longest time that a release is queued for the next message to its owner.
	flushInterval = 50 * time.Millisecond
	// renewInterval is the time between two renewals of a lease. Two renewals may fail before the lease
	// expires after figowner.LeaseDuration.
	renewInterval = time.Second
	// handoverRetryInterval is the time between two attempts to hand a lease over to the server's new owner.
	handoverRetryInterval = 250 * time.Millisecond
	// maxConcurrentSends is the largest number of owners to which Run sends messages at the same time.
	maxConcurrentSends = 16
)

// Run renews leases and sends queued releases, failures and transfers to the owners, until ctx ends.
func (p *Placer) Run(ctx context.Context, t *figtimer.Timer) error {
	for range t.Subscribe(ctx, flushInterval) {
		p.flushConcurrently(ctx)
	}
	return nil
}

// Flush sends all messages that are due now, one after the other in the order of the owners' names.
func (p *Placer) Flush(ctx context.Context) {
	for _, b := range p.due(p.opts.Clock.Now()) {
		p.deliver(ctx, b)
	}
}

// flushConcurrently sends all messages that are due now, several at a time, so that an owner that doesn't
// answer doesn't delay the messages to others.
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

// batch is one message to one owner, with the leases that it renews or hands over.
type batch struct {
	owner      figview.Member
	message    *message
	renewals   []*lease
	handedOver []*lease
}

// due returns the messages to send now. A message contains the owner's outbox, the leases to renew and, for
// servers that have a new owner, the leases to hand over to it. Owners that are unlisted or in backoff get
// none.
func (p *Placer) due(now time.Time) []*batch {
	p.mu.Lock()
	defer p.mu.Unlock()
	cat := p.refreshCatalogue()
	if cat == nil {
		return nil
	}
	p.reassignLeases(cat)
	batches := map[string]*batch{}
	batchFor := func(name string) *batch {
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
			batchFor(name)
		}
	}
	for name, leases := range p.leasesByOwner {
		for l := range leases {
			if !l.due(now) {
				continue
			}
			l.handoverTriedAt = now
			if b := batchFor(name); b != nil {
				b.add(l)
			}
		}
	}
	return sortedBatches(batches)
}

// sortedBatches returns the batches by owner and their leases by request ID, so that the order of messages is
// deterministic.
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

// addLeasesToMessage adds the renewals and the handed-over leases to the message.
func (b *batch) addLeasesToMessage() {
	for _, l := range b.renewals {
		b.message.Renew = append(b.message.Renew, l.number)
	}
	for _, l := range b.handedOver {
		ask := l.ask
		ask.AlreadyRunning = true
		b.message.Reserve = append(b.message.Reserve, ask)
	}
}

// add adds a lease to the renewals, or to the leases to hand over if the owner doesn't know its number.
func (b *batch) add(l *lease) {
	if l.number == 0 || l.epoch != b.message.Epoch {
		b.handedOver = append(b.handedOver, l)
		return
	}
	b.renewals = append(b.renewals, l)
}

// reassignLeases moves leases whose server has a new owner to that owner, without a number, so that they are
// handed over. The caller holds mu.
func (p *Placer) reassignLeases(cat *catalogue) {
	var reassigned []*lease
	for name, leases := range p.leasesByOwner {
		for l := range leases {
			if m, ok := cat.owner(l.server); ok && m.Name != name {
				reassigned = append(reassigned, l)
			}
		}
	}
	for _, l := range reassigned {
		m, _ := cat.owner(l.server)
		p.untrackLease(l)
		l.owner, l.number, l.epoch = m.Name, 0, 0
		p.trackLease(l)
	}
}

// deliver sends a batch and updates the leases from the reply. A lease that the owner doesn't know loses its
// number, so that a later batch hands it over again.
func (p *Placer) deliver(ctx context.Context, b *batch) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	sentAt := p.opts.Clock.Now()
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
		l.renewedAt = sentAt
	}
	for i, l := range b.handedOver {
		p.handleHandoverGrant(l, i, sentAt, reply)
	}
}

// handleHandoverGrant updates a handed-over lease from result i of the new owner's reply. A lease that ended
// while the message was in flight is released. If the new owner refused the lease, nothing changes. The caller holds mu.
func (p *Placer) handleHandoverGrant(l *lease, i int, sentAt time.Time, reply *figowner.Reply) {
	if i >= len(reply.Results) || reply.Results[i].Outcome != figowner.Granted {
		return
	}
	g := reply.Results[i]
	if l.ended {
		r := l.release()
		r.Lease, r.epoch, r.endedAt = g.Lease, reply.Epoch, sentAt
		p.outboxOf(l.owner).addRelease(r)
		return
	}
	l.number, l.epoch, l.renewedAt = g.Lease, reply.Epoch, sentAt
}
