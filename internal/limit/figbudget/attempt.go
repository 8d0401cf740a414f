package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// localPreference is how much emptier than a remote slot, as a fraction of the burst, a slot
	// held here may be and still be spent from first: it costs no message.
	localPreference = 0.25
	// dataCentrePreference is the same for a slot held in this instance's data centre.
	dataCentrePreference = 0.1
	// suspectPenalty is subtracted from the score of a slot whose holder recently failed to answer,
	// so that the slots of all other holders come first.
	suspectPenalty = 2
	// maxRequestsPerSlot bounds the lease requests to one slot for one reservation.
	maxRequestsPerSlot = 2
)

// attempt is a reservation in progress.
type attempt struct {
	account string
	tokens  int64
	limits  Limits
	// requested counts how often each slot was chosen.
	requested [SlotCount]int
	// exhausted is set for slots that can add no more tokens to this attempt.
	exhausted [SlotCount]bool
	// useLocal is set for slots held here that the attempt spends from.
	useLocal [SlotCount]bool
	// slotUnavailable is set if some slot could not be spent from for another reason than its
	// balance.
	slotUnavailable bool
}

// charge is what a reservation was charged, by slot.
type charge struct {
	tokens [SlotCount]int64
	// nearlyFull is set for slots whose last known balance was above nearlyFullFraction of their
	// burst when the charge was made.
	nearlyFull [SlotCount]bool
}

// peerRequest is a lease request and the peer to send it to.
type peerRequest struct {
	LeaseRequest
	peer figview.Member
}

// step advances the attempt. It returns the charge if the leases and the slots chosen so far cover
// the cost, else a lease request to send before the next step, or a refusal if no slot is left to
// try. A refusal returns the account's leases to their holders.
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
		q := LeaseRequest{
			Account: a.account, Slot: index, Required: missing,
			Prefetch: p.demand.prefetchTokens(now) / SlotCount,
		}
		return nil, &peerRequest{LeaseRequest: q, peer: p.holders[index]}, nil
	}
}

// nextSlot returns the slot with the highest score among those that the attempt may still try, and
// false if there is none.
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

// slotScore returns how full the slot is by its last known balance, adjusted for the distance and
// the reachability of its holder.
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

// localTokens returns how many tokens the attempt can spend from slots held here.
func (g *ledger) localTokens(a *attempt, now time.Time, fresh bool) int64 {
	sum := int64(0)
	for i, useLocal := range a.useLocal {
		if useLocal {
			sum += g.spendable(slotID{a.account, i}, now, fresh)
		}
	}
	return sum
}

// commit charges the whole cost, to leases first and then to slots held here.
func (g *ledger) commit(a *attempt, p *accountState, now time.Time, fresh bool) *charge {
	charged := &charge{}
	remaining := a.tokens - p.spend(a.tokens, &charged.tokens, now)
	for i := range SlotCount {
		l := a.limits.slotLimits(i)
		charged.nearlyFull[i] = p.balances[i].known &&
			float64(p.balances[i].tokens) > nearlyFullFraction*float64(l.Burst)
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

// applyGrant applies the answer to a lease request that was sent at requestedAt.
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

// requestFailed records that a lease request got no answer.
func (g *ledger) requestFailed(a *attempt, q *peerRequest, now time.Time) {
	a.exhausted[q.Slot] = true
	a.slotUnavailable = true
	g.suspectUntil[q.peer.Name] = now.Add(suspectDuration)
}

// refusalReason returns the reason for refusing the attempt once no slot is left to try.
func (a *attempt) refusalReason() Reason {
	if a.slotUnavailable {
		return Unavailable
	}
	return OverBudget
}
