package figplace

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// ownerTimeout bounds one ask of an owner.
	ownerTimeout = 250 * time.Millisecond
	// refusalBackoff is how long a server that refused for lack of room isn't asked
	// again for as much.
	refusalBackoff = 50 * time.Millisecond
)

// lease is one reservation that an owner has granted.
type lease struct {
	number uint64
	epoch  uint64
	owner  string
	pool   string
	server figview.Server
	ask    figowner.Ask
	// requestedAt is when the lease was asked for.
	requestedAt time.Time
	// renewedAt is when the last renewal that succeeded was asked for.
	renewedAt time.Time
	// handoverTriedAt is when a new owner was last told of it.
	handoverTriedAt time.Time
	ended           bool
}

// due says whether l must be renewed, or told to a new owner, now.
func (l *lease) due(now time.Time) bool {
	if l.number == 0 {
		return now.Sub(l.handoverTriedAt) >= handoverRetryInterval
	}
	return now.Sub(l.renewedAt) >= renewInterval
}

// requestLease asks the owner of c for room. The lease is nil if there is none.
func (p *Placer) requestLease(ctx context.Context, c candidate, pool string, ask figowner.Ask) (figowner.Grant, *lease) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	now := p.opts.Clock.Now()
	m := p.newMessage(c.owner.Name, pool)
	m.Reserve = []figowner.Ask{ask}
	reply, err := p.send(ctx, c.owner, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || len(reply.Grants) != 1 {
		// The ask may have been granted all the same.
		p.outboxOf(c.owner.Name).addRelease(pendingRelease{
			Release: figowner.Release{Server: ask.Server, ID: ask.ID}, endedAt: now,
		})
		return figowner.Grant{}, nil
	}
	g := reply.Grants[0]
	if g.Refusal != figowner.Granted {
		p.recordRefusal(now, ask, g)
		return g, nil
	}
	l := &lease{
		number: g.Lease, epoch: reply.Epoch, owner: c.owner.Name, pool: pool,
		server: c.server, ask: ask, requestedAt: now, renewedAt: now,
	}
	p.trackLease(l)
	return g, l
}

// leaseValid says whether the owner still counts on l, as far as this instance knows.
func (p *Placer) leaseValid(l *lease) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.state(l.server.Name).failedAt.After(l.requestedAt) {
		return false
	}
	return p.opts.Clock.Now().Sub(l.renewedAt) < figowner.LeaseTime
}

// recordRefusal notes what an owner has refused.
func (p *Placer) recordRefusal(now time.Time, ask figowner.Ask, g figowner.Grant) {
	r := p.table.state(ask.Server)
	wait := time.Duration(g.RetryMillis) * time.Millisecond
	switch g.Refusal {
	case figowner.Full, figowner.Warming, figowner.Shared:
		r.refusedPieces, r.refusedUntil = max(1, ask.Pieces), now.Add(min(wait, refusalBackoff))
	case figowner.Leaving, figowner.Broken, figowner.NotOwner:
		r.blockedUntil = now.Add(min(wait, closedBackoff))
	}
}

// trackLease adds l to the leases to renew. The caller holds mu.
func (p *Placer) trackLease(l *lease) {
	m, ok := p.leasesByOwner[l.owner]
	if !ok {
		m = map[*lease]struct{}{}
		p.leasesByOwner[l.owner] = m
	}
	m[l] = struct{}{}
}

// untrackLease removes l from the leases to renew. The caller holds mu.
func (p *Placer) untrackLease(l *lease) {
	delete(p.leasesByOwner[l.owner], l)
	if len(p.leasesByOwner[l.owner]) == 0 {
		delete(p.leasesByOwner, l.owner)
	}
}

// endLease gives a lease back.
func (p *Placer) endLease(l *lease, tokens int64, took time.Duration, abandoned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.ended = true
	p.untrackLease(l)
	p.table.state(l.server.Name).freedPieces += l.ask.Pieces
	r := l.release()
	r.Tokens, r.TookMillis, r.Abandoned = tokens, took.Milliseconds(), abandoned
	r.endedAt = p.opts.Clock.Now()
	p.outboxOf(l.owner).addRelease(r)
}

// release returns the message that ends l.
func (l *lease) release() pendingRelease {
	return pendingRelease{
		Release: figowner.Release{Lease: l.number, Server: l.server.Name, ID: l.ask.ID},
		epoch:   l.epoch,
	}
}

// recordPrefixes remembers where a prompt was computed.
func (p *Placer) recordPrefixes(hashes []uint64, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.record(hashes, server)
}

// recordTransfer takes a finished transfer.
func (p *Placer) recordTransfer(l *lease, r Request, bytes int64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateTransferEstimate(r.Pool, bytes, r.PromptTokens, took)
	p.outboxOf(l.owner).addTransfer(figowner.Transfer{
		Server: l.server.Name, Bytes: bytes, TookMillis: took.Milliseconds(),
	})
}

// recordFailure takes evidence against the server of a lease.
func (p *Placer) recordFailure(l *lease, e Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyFailure(l.owner, l.server.Name, e)
}

// recordFailureByName takes evidence against a server whose lease has ended.
func (p *Placer) recordFailureByName(pool, server string, e Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cat := p.refreshCatalogue()
	if cat == nil {
		return
	}
	for _, s := range cat.servers.All {
		if s.Name == server && s.Pool == pool {
			if m, ok := cat.owner(s); ok {
				p.applyFailure(m.Name, server, e)
			}
			return
		}
	}
}

func (p *Placer) applyFailure(owner, server string, e Evidence) {
	if e == figowner.CallerError {
		return
	}
	now := p.opts.Clock.Now()
	r := p.table.state(server)
	if e == figowner.Refused {
		r.refusedPieces, r.refusedUntil = 1, now.Add(closedBackoff)
	} else {
		r.failedAt = now
		r.blockedUntil = now.Add(failureBackoff)
		p.prefixes.dropServer(server)
	}
	p.outboxOf(owner).addFailure(figowner.Failure{Server: server, Evidence: e})
}
