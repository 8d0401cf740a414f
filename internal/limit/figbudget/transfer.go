package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// giveLife is how long after its loss a slot may be handed over. Together
	// with pullLife it is shorter than regeneration.
	giveLife = 2 * time.Second
	// pullLife is how long after the pull its answer counts, on the asker's clock.
	pullLife = time.Second
	// pullPause is the time between two pulls of one slot.
	pullPause = 200 * time.Millisecond
)

// pull is a pull under way.
type pull struct {
	slotID
	gained uint64
	asked  time.Time
}

// give answers a pull: the slot is subtracted here before the answer leaves.
func (h *holder) give(p Pull, from string, now time.Time) Give {
	id := slotID{p.Account, p.Slot}
	e := h.current()
	all, known := h.limits(p.Account)
	if e == nil || !known || e.view.Version < p.Version || !e.holds(from, id) {
		return Give{}
	}
	s := h.slots[id]
	if s == nil {
		s = h.idleLost(id, all, now)
	}
	if s == nil || s.state != giving || !now.Before(s.ends) {
		return Give{}
	}
	s.refresh(all.share(id.index), now)
	s.state = given
	h.slots[id] = s
	h.counters.Given++
	return Give{Given: true, Balance: max(0, s.balance.tokens()), Outstanding: s.outstanding()}
}

// idleLost returns a lost slot that was idle here, or nil if it wasn't active
// when it was lost.
func (h *holder) idleLost(id slotID, all Limits, now time.Time) *slot {
	e, lost := h.lost(id)
	if e == nil || !ripe(e, lost) {
		return nil
	}
	s := h.idle(e, all.share(id.index), now)
	s.state = giving
	s.ends = lost.Add(giveLife)
	return s
}

// wanted returns the pulls that are due, with the instance to ask for each.
func (h *holder) wanted(now time.Time) map[string][]pull {
	due := map[string][]pull{}
	for id, s := range h.slots {
		if s.state != pending || now.Sub(s.pulled) < pullPause {
			continue
		}
		e := h.runOf(id, s)
		if e.ripe.IsZero() || now.Sub(e.adopted) > giveLife+pullLife {
			continue
		}
		if m, ok := h.giver(id, e); ok {
			s.pulled = now
			due[m.Name] = append(due[m.Name], pull{slotID: id, gained: s.gained, asked: now})
		}
	}
	return due
}

// giver returns the instance that may hand the slot over, if it is listed still.
func (h *holder) giver(id slotID, e *epoch) (figview.Member, bool) {
	m, ok := h.before(id, e)
	if !ok || m.Name == h.self {
		return figview.Member{}, false
	}
	return h.current().view.Find(m.Name)
}

// accept takes in the answer to a pull. It returns false if it came too late or
// the slot isn't waiting for it any more; the tokens are lost then.
func (h *holder) accept(p pull, g Give, now time.Time) bool {
	s := h.slots[p.slotID]
	all, known := h.limits(p.account)
	late := now.Sub(p.asked) > pullLife
	if !g.Given || late || !known || s == nil || s.state != pending || s.gained != p.gained {
		return false
	}
	s.state, s.used = active, true
	s.balance, s.refilled = fromTokens(max(0, g.Balance)), now
	if g.Outstanding > 0 {
		s.leases = []granted{{tokens: g.Outstanding, expires: now.Add(leaseHeld)}}
	}
	s.refresh(all.share(p.index), now)
	h.counters.Pulled++
	return true
}
