package figplace

import (
	"context"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// message is a message to one owner, with its releases also in the form in which they were queued.
type message struct {
	figowner.Request
	releases []pendingRelease
}

// newMessage returns a message to an owner with the content of the owner's outbox.
func (p *Placer) newMessage(owner, pool string) *message {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.drainOutbox(owner, pool)
}

// drainOutbox moves the content of an owner's outbox into a new message. The caller holds mu.
func (p *Placer) drainOutbox(owner, pool string) *message {
	m := &message{Request: figowner.Request{From: p.opts.Self, Pool: pool}}
	b, ok := p.outboxes[owner]
	if !ok {
		return m
	}
	now := p.opts.Clock.Now()
	m.Epoch = b.epoch
	m.Failures, b.failures = b.failures, nil
	m.Transfers, b.transfers = b.transfers, nil
	for _, r := range b.releases {
		m.Release = append(m.Release, r.message(b.epoch, now))
	}
	m.releases, b.releases = b.releases, nil
	return m
}

// send sends a message to an owner and stores the load indexes and the epoch of the reply. If that fails, the
// owner gets a backoff and the message's releases are queued again, which is safe because owners ignore
// repeated releases. Its failures and transfers are lost.
func (p *Placer) send(ctx context.Context, owner figview.Member, m *message) (*figowner.Reply, error) {
	p.OwnerRequests.Add(1)
	reply, err := p.opts.SendToOwner(ctx, owner, &m.Request)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.opts.Clock.Now()
	b := p.outboxOf(owner.Name)
	if err != nil {
		p.OwnerRequestErrors.Add(1)
		p.table.blockOwner(now, owner.Name)
		for _, r := range m.releases {
			b.addRelease(r)
		}
		return nil, err
	}
	delete(p.table.blockedOwners, owner.Name)
	p.table.updateLoads(now, reply.Loads)
	b.epoch = reply.Epoch
	return reply, nil
}
