package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// localBonus is how much emptier, as a fraction, a slot held here may be and
	// still be spent before a remote one: it costs no message.
	localPreference = 0.25
	// nearBonus is the same for a slot held in this instance's data centre.
	dataCentrePreference = 0.1
	// suspectMalus puts holders that lately didn't answer behind all others.
	suspectPenalty = 2
	// triesPerSlot bounds the asks to one slot for one reservation.
	maxRequestsPerSlot = 2
)

// attempt is a reservation on its way.
type attempt struct {
	account         string
	tokens          int64
	limits          Limits
	requested       [SlotCount]int
	exhausted       [SlotCount]bool
	useLocal        [SlotCount]bool
	slotUnavailable bool
}

// pieces is what a reservation took, by slot.
type charge struct {
	tokens [SlotCount]int64
	// full is set for slots that were nearly full at that time.
	nearlyFull [SlotCount]bool
}

// ask is what an attempt needs next: a lease from a peer.
type peerRequest struct {
	LeaseRequest
	peer figview.Member
}

// step goes on with the attempt. It returns either the pieces of a reservation,
// an ask for a peer, or a refusal.
func (g *ledger) step(a *attempt, now time.Time, fresh bool) (*charge, *peerRequest, *Refusal) {
	e := g.current()
	if e == nil {
		return nil, nil, refuse(a.account, Unavailable, 0, a.limits)
	}
	p := g.account(a.account, now)
	p.updateHolders(a.account, e)
	for {
		missing := a.tokens - p.available(now) - g.localTokens(a, now, fresh)
		if missing <= 0 {
			return g.commit(a, p, now, fresh), nil, nil
		}
		index, ok := g.nextSlot(a, p, now, fresh)
		if !ok {
			p.returnLeases()
			return nil, nil, refuse(a.account, a.refusalReason(), missing, a.limits)
		}
		a.requested[index]++
		if p.holders[index].Name == g.self {
			a.exhausted[index], a.useLocal[index] = true, true
			a.slotUnavailable = a.slotUnavailable || !g.ready(slotID{a.account, index}, now, fresh)
			continue
		}
		q := LeaseRequest{Account: a.account, Slot: index, Required: missing, Prefetch: p.demand.prefetchTokens(now) / SlotCount}
		return nil, &peerRequest{LeaseRequest: q, peer: p.holders[index]}, nil
	}
}

// next chooses the slot that is fullest by what is known, with a preference for
// near ones.
func (g *ledger) nextSlot(a *attempt, p *accountState, now time.Time, fresh bool) (int, bool) {
	best, bestScore, ok := 0, 0.0, false
	for i := range SlotCount {
		if a.exhausted[i] || a.requested[i] >= maxRequestsPerSlot {
			continue
		}
		if !p.hasHolder[i] {
			a.slotUnavailable = true
			continue
		}
		score := g.slotScore(a, p, i, now, fresh)
		if !ok || score > bestScore {
			best, bestScore, ok = i, score, true
		}
	}
	return best, ok
}

func (g *ledger) slotScore(a *attempt, p *accountState, index int, now time.Time, fresh bool) float64 {
	l := a.limits.slotLimits(index)
	m := p.holders[index]
	if m.Name == g.self {
		left := g.spendable(slotID{a.account, index}, now, fresh)
		return float64(left)/float64(max(1, l.Burst)) + localPreference
	}
	score := p.balances[index].fullness(l, now)
	if m.DataCentre == g.dataCentre {
		score += dataCentrePreference
	}
	if now.Before(g.suspectUntil[m.Name]) {
		score -= suspectPenalty
	}
	return score
}

// localSum returns what the slots held here add to the attempt.
func (g *ledger) localTokens(a *attempt, now time.Time, fresh bool) int64 {
	sum := int64(0)
	for i, useLocal := range a.useLocal {
		if useLocal {
			sum += g.spendable(slotID{a.account, i}, now, fresh)
		}
	}
	return sum
}

// commit charges the whole cost at once.
func (g *ledger) commit(a *attempt, p *accountState, now time.Time, fresh bool) *charge {
	charged := &charge{}
	remaining := a.tokens - p.spend(a.tokens, &charged.tokens, now)
	for i := range SlotCount {
		l := a.limits.slotLimits(i)
		charged.nearlyFull[i] = p.balances[i].known && float64(p.balances[i].tokens) > nearlyFullFraction*float64(l.Burst)
	}
	for i, useLocal := range a.useLocal {
		if !useLocal || remaining == 0 {
			continue
		}
		id := slotID{a.account, i}
		n := min(remaining, g.spendable(id, now, fresh))
		if n > 0 {
			g.slots[id].spend(n)
			charged.tokens[i] += n
			remaining -= n
		}
	}
	p.demand.add(a.tokens, now)
	g.counters.Reserved += a.tokens
	return charged
}

// granted takes in the answer to an ask that was sent at asked.
func (g *ledger) applyGrant(a *attempt, q *peerRequest, r Grant, requestedAt, now time.Time) {
	p := g.account(a.account, now)
	p.balances[q.Slot] = slotBalance{known: true, tokens: r.Remaining, receivedAt: now}
	a.slotUnavailable = a.slotUnavailable || r.Status != SlotReady
	a.exhausted[q.Slot] = a.exhausted[q.Slot] || r.Tokens < q.Required
	if r.Tokens <= 0 {
		return
	}
	p.leases = append(p.leases, lease{
		index: q.Slot, holder: q.peer.Name, number: r.Lease, requestedAt: requestedAt, remaining: r.Tokens,
	})
}

// failed notes that an ask had no answer.
func (g *ledger) requestFailed(a *attempt, q *peerRequest, now time.Time) {
	a.exhausted[q.Slot] = true
	a.slotUnavailable = true
	g.suspectUntil[q.peer.Name] = now.Add(suspectDuration)
}

func (a *attempt) refusalReason() Reason {
	if a.slotUnavailable {
		return Unavailable
	}
	return OverBudget
}
