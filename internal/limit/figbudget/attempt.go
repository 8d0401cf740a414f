package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// localBonus is how much emptier, as a fraction, a slot held here may be and
	// still be spent before a remote one: it costs no message.
	localBonus = 0.25
	// nearBonus is the same for a slot held in this instance's data centre.
	nearBonus = 0.1
	// suspectMalus puts holders that lately didn't answer behind all others.
	suspectMalus = 2
	// triesPerSlot bounds the asks to one slot for one reservation.
	triesPerSlot = 2
)

// attempt is a reservation on its way.
type attempt struct {
	account string
	tokens  int64
	limits  Limits
	tries   [Slots]int
	closed  [Slots]bool
	local   [Slots]bool
	missing bool
}

// pieces is what a reservation took, by slot.
type pieces struct {
	tokens [Slots]int64
	// full is set for slots that were nearly full at that time.
	full [Slots]bool
}

// ask is what an attempt needs next: a lease from a peer.
type ask struct {
	Ask
	peer figview.Member
}

// step goes on with the attempt. It returns either the pieces of a reservation,
// an ask for a peer, or a refusal.
func (g *ledger) step(a *attempt, now time.Time, fresh bool) (*pieces, *ask, *Refusal) {
	e := g.current()
	if e == nil {
		return nil, nil, refuse(a.account, Unavailable, 0, a.limits)
	}
	p := g.purse(a.account, now)
	p.place(a.account, e)
	for {
		short := a.tokens - p.available(now) - g.localSum(a, now, fresh)
		if short <= 0 {
			return g.commit(a, p, now, fresh), nil, nil
		}
		index, ok := g.next(a, p, now, fresh)
		if !ok {
			p.discard()
			return nil, nil, refuse(a.account, a.reason(), short, a.limits)
		}
		a.tries[index]++
		if p.holders[index].Name == g.self {
			a.closed[index], a.local[index] = true, true
			a.missing = a.missing || !g.ready(slotID{a.account, index}, now, fresh)
			continue
		}
		q := Ask{Account: a.account, Slot: index, Need: short, Ahead: p.demand.ahead(now) / Slots}
		return nil, &ask{Ask: q, peer: p.holders[index]}, nil
	}
}

// next chooses the slot that is fullest by what is known, with a preference for
// near ones.
func (g *ledger) next(a *attempt, p *purse, now time.Time, fresh bool) (int, bool) {
	best, top, ok := 0, 0.0, false
	for i := range Slots {
		if a.closed[i] || a.tries[i] >= triesPerSlot {
			continue
		}
		if !p.found[i] {
			a.missing = true
			continue
		}
		score := g.score(a, p, i, now, fresh)
		if !ok || score > top {
			best, top, ok = i, score, true
		}
	}
	return best, ok
}

func (g *ledger) score(a *attempt, p *purse, index int, now time.Time, fresh bool) float64 {
	l := a.limits.share(index)
	m := p.holders[index]
	if m.Name == g.self {
		left := g.spendable(slotID{a.account, index}, now, fresh)
		return float64(left)/float64(max(1, l.Burst)) + localBonus
	}
	score := p.levels[index].fraction(l, now)
	if m.DataCentre == g.dataCentre {
		score += nearBonus
	}
	if now.Before(g.suspects[m.Name]) {
		score -= suspectMalus
	}
	return score
}

// localSum returns what the slots held here add to the attempt.
func (g *ledger) localSum(a *attempt, now time.Time, fresh bool) int64 {
	sum := int64(0)
	for i, use := range a.local {
		if use {
			sum += g.spendable(slotID{a.account, i}, now, fresh)
		}
	}
	return sum
}

// commit charges the whole cost at once.
func (g *ledger) commit(a *attempt, p *purse, now time.Time, fresh bool) *pieces {
	taken := &pieces{}
	left := a.tokens - p.take(a.tokens, &taken.tokens, now)
	for i := range Slots {
		l := a.limits.share(i)
		taken.full[i] = p.levels[i].known && float64(p.levels[i].tokens) > nearlyFull*float64(l.Burst)
	}
	for i, use := range a.local {
		if !use || left == 0 {
			continue
		}
		id := slotID{a.account, i}
		n := min(left, g.spendable(id, now, fresh))
		if n > 0 {
			g.slots[id].take(n)
			taken.tokens[i] += n
			left -= n
		}
	}
	p.demand.add(a.tokens, now)
	g.counters.Reserved += a.tokens
	return taken
}

// granted takes in the answer to an ask that was sent at asked.
func (g *ledger) granted(a *attempt, q *ask, r Grant, asked, now time.Time) {
	p := g.purse(a.account, now)
	p.levels[q.Slot] = level{known: true, tokens: r.Level, at: now}
	a.missing = a.missing || r.Status != Granted
	a.closed[q.Slot] = a.closed[q.Slot] || r.Tokens < q.Need
	if r.Tokens <= 0 {
		return
	}
	p.leases = append(p.leases, lease{
		index: q.Slot, holder: q.peer.Name, number: r.Lease, asked: asked, left: r.Tokens,
	})
}

// failed notes that an ask had no answer.
func (g *ledger) failed(a *attempt, q *ask, now time.Time) {
	a.closed[q.Slot] = true
	a.missing = true
	g.suspects[q.peer.Name] = now.Add(suspectTime)
}

func (a *attempt) reason() Reason {
	if a.missing {
		return Unavailable
	}
	return OverBudget
}
