package figplace

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// ownerTimeout limits one message to an owner, until its reply has arrived.
	ownerTimeout = 250 * time.Millisecond
	// refusalBackoff limits the time for which a server that refused a request for lack of room isn't asked
	// for as many pieces or more.
	refusalBackoff = 50 * time.Millisecond
)

// lease is a reservation that an owner has granted. The Placer's mutex guards the fields that change.
type lease struct {
	number uint64
	epoch  uint64
	owner  string
	pool   string
	server figview.Server
	ask    figowner.ReservationRequest
	// requestedAt is when the lease was requested.
	requestedAt time.Time
	// renewedAt is when the lease was last requested or renewed with success; the time is that of sending, so
	// that the owner's lease doesn't expire earlier than this one.
	renewedAt time.Time
	// handoverTriedAt is when the lease was last due for a message to the server's new owner.
	handoverTriedAt time.Time
	ended           bool
}

// due says whether l must now be renewed or, if it has no number from the current owner, handed over.
func (l *lease) due(now time.Time) bool {
	if l.number == 0 {
		return now.Sub(l.handoverTriedAt) >= handoverRetryInterval
	}
	return now.Sub(l.renewedAt) >= renewInterval
}

// requestLease asks the owner of c to reserve room. The lease is nil if the owner refused, with the reason in
// the result's Outcome, or if the owner couldn't be reached, with a zero result.
func (p *Placer) requestLease(ctx context.Context, c candidate, pool string, ask figowner.ReservationRequest) (figowner.ReservationResult, *lease) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	now := p.opts.Clock.Now()
	m := p.newMessage(c.owner.Name, pool)
	m.Reserve = []figowner.ReservationRequest{ask}
	reply, err := p.send(ctx, c.owner, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || len(reply.Results) != 1 {
		// The owner may have granted the lease and the reply been lost, so release it by request ID.
		p.outboxOf(c.owner.Name).addRelease(pendingRelease{
			Release: figowner.Release{Server: ask.Server, ID: ask.ID}, endedAt: now,
		})
		return figowner.ReservationResult{}, nil
	}
	g := reply.Results[0]
	if g.Outcome != figowner.Granted {
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

// leaseValid says whether l hasn't expired by this instance's clock and no request of this instance has
// failed on the server since l was requested.
func (p *Placer) leaseValid(l *lease) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.table.state(l.server.Name).failedAt.After(l.requestedAt) {
		return false
	}
	return p.opts.Clock.Now().Sub(l.renewedAt) < figowner.LeaseDuration
}

// recordRefusal sets a backoff for a server whose owner refused a lease: for requests of this size or larger
// if it lacked room, for all requests if the server takes no work.
func (p *Placer) recordRefusal(now time.Time, ask figowner.ReservationRequest, g figowner.ReservationResult) {
	r := p.table.state(ask.Server)
	wait := time.Duration(g.RetryMillis) * time.Millisecond
	switch g.Outcome {
	case figowner.Full, figowner.Warming, figowner.HandoverLimited:
		r.refusedPieces, r.refusedUntil = max(1, ask.Pieces), now.Add(min(wait, refusalBackoff))
	case figowner.Leaving, figowner.Unavailable, figowner.NotOwner:
		r.blockedUntil = now.Add(min(wait, closedBackoff))
	}
}

// trackLease adds l to the leases that are renewed. The caller holds mu.
func (p *Placer) trackLease(l *lease) {
	m, ok := p.leasesByOwner[l.owner]
	if !ok {
		m = map[*lease]struct{}{}
		p.leasesByOwner[l.owner] = m
	}
	m[l] = struct{}{}
}

// untrackLease removes l from the leases that are renewed. The caller holds mu.
func (p *Placer) untrackLease(l *lease) {
	delete(p.leasesByOwner[l.owner], l)
	if len(p.leasesByOwner[l.owner]) == 0 {
		delete(p.leasesByOwner, l.owner)
	}
}

// endLease stops renewing l and queues its release. tokens is the work done and took its duration; zero
// tokens means that the work didn't succeed. abandoned says that the server may still be working on it.
func (p *Placer) endLease(l *lease, tokens int64, took time.Duration, abandoned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.ended = true
	p.untrackLease(l)
	p.table.state(l.server.Name).freedPieces += l.ask.Pieces
	r := l.release()
	r.Tokens, r.PrefillMillis, r.Abandoned = tokens, took.Milliseconds(), abandoned
	r.endedAt = p.opts.Clock.Now()
	p.outboxOf(l.owner).addRelease(r)
}

// release returns the release message for l, without the time at which the work ended.
func (l *lease) release() pendingRelease {
	return pendingRelease{
		Release: figowner.Release{Lease: l.number, Server: l.server.Name, ID: l.ask.ID},
		epoch:   l.epoch,
	}
}

// recordPrefixes stores server as the last one that computed a prompt with these prefix hashes.
func (p *Placer) recordPrefixes(hashes []uint64, server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prefixes.record(hashes, server)
}

// recordTransfer uses a finished KV cache transfer to the server of l to update the pool's estimate, and
// queues the measurement for the server's owner.
func (p *Placer) recordTransfer(l *lease, r Request, bytes int64, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateTransferEstimate(r.Pool, bytes, r.PromptTokens, took)
	p.outboxOf(l.owner).addTransfer(figowner.Transfer{
		Server: l.server.Name, Bytes: bytes, DurationMillis: took.Milliseconds(),
	})
}

// recordFailure handles a failure of the server of l.
func (p *Placer) recordFailure(l *lease, e FailureKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applyFailure(l.owner, l.server.Name, e)
}

// recordFailureByName handles a failure of a server whose lease has ended. It does nothing if the server is
// no longer listed in the pool or has no owner.
func (p *Placer) recordFailureByName(pool, server string, e FailureKind) {
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

// applyFailure sets the backoff of a server that has failed and queues the failure for its owner. Failures that
// the caller caused are ignored. The caller holds mu.
func (p *Placer) applyFailure(owner, server string, e FailureKind) {
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
	p.outboxOf(owner).addFailure(figowner.Failure{Server: server, Kind: e})
}
