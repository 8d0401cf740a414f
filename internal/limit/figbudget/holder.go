package figbudget

import (
	"time"
)

const (
	// aheadPart is the divisor of a slot's balance that bounds what one lease
	// takes beyond the request at hand.
	aheadPart = 4
	// windowKept is how long the messages of a silent peer are remembered.
	windowKept = time.Minute
)

// holder keeps the slots that one instance holds. It does no input or output.
type holder struct {
	history
	limits    func(account string) (Limits, bool)
	slots     map[slotID]*slot
	windows   map[string]*window
	nextLease uint64
	counters  *Counters
}

// changeView starts the loss of the slots that the view in force gives to others.
func (h *holder) changeView(now time.Time) {
	e := h.current()
	for id, s := range h.slots {
		switch {
		case e.broken:
			delete(h.slots, id)
		case e.holds(h.self, id):
			if s.state == giving || s.state == given {
				delete(h.slots, id)
			}
		case s.state == active:
			s.state = giving
			s.ends = now.Add(giveLife)
		case s.state == pending:
			delete(h.slots, id)
		}
	}
}

// held returns the slot if this instance holds it, brought up to now. It makes
// the slot if it was idle so far.
func (h *holder) held(id slotID, now time.Time) *slot {
	all, known := h.limits(id.account)
	if !known || id.index < 0 || id.index >= Slots {
		return nil
	}
	l := all.share(id.index)
	s := h.slots[id]
	e := h.runOf(id, s)
	if e == nil {
		return nil
	}
	if s == nil {
		s = h.idle(e, l, now)
		h.slots[id] = s
	}
	s.limits = l
	if s.state == pending && ripe(e, now) {
		s.state = active
		s.balance, s.refilled = 0, e.ripe
	}
	if s.state == active {
		s.refresh(l, now)
	}
	return s
}

// runOf is run, without the search for a slot in memory: these follow each change
// of the view.
func (h *holder) runOf(id slotID, s *slot) *epoch {
	switch {
	case s == nil:
		return h.run(id)
	case s.state == pending || s.state == active:
		return h.since(s.gained)
	}
	return nil
}

// idle returns the slot as it stands if nothing was spent from it since it was
// gained with e, or if it was full since then.
func (h *holder) idle(e *epoch, l Limits, now time.Time) *slot {
	s := &slot{gained: e.view.Version, limits: l}
	if !ripe(e, now) {
		return s
	}
	s.state = active
	s.refilled = e.ripe
	s.refresh(l, now)
	return s
}

func ripe(e *epoch, now time.Time) bool {
	return !e.ripe.IsZero() && !now.Before(e.ripe)
}

// spendable returns how many tokens may be spent from the slot here and now.
func (h *holder) spendable(id slotID, now time.Time, fresh bool) int64 {
	s := h.held(id, now)
	if !fresh || s == nil || s.state != active {
		return 0
	}
	return max(0, s.balance.tokens())
}

// grant answers an ask.
func (h *holder) grant(a Ask, now time.Time, fresh bool) Grant {
	id := slotID{a.Account, a.Slot}
	s := h.held(id, now)
	if s == nil {
		return Grant{Status: NotHeld}
	}
	if s.state != active || !fresh {
		return Grant{Status: NotReady}
	}
	left := max(0, s.balance.tokens())
	tokens := min(max(0, a.Need), left)
	tokens += min(max(0, a.Ahead), (left-tokens)/aheadPart)
	if tokens == 0 {
		return Grant{Level: left}
	}
	h.nextLease++
	s.lend(h.nextLease, tokens, now)
	h.counters.Leases++
	return Grant{Lease: h.nextLease, Tokens: tokens, Level: left - tokens}
}

// report takes in what became of a lease.
func (h *holder) report(r Report, now time.Time) {
	id := slotID{r.Account, r.Slot}
	if h.slots[id] == nil {
		return
	}
	if s := h.held(id, now); s != nil {
		s.report(r.Lease, r.Spent, r.Returned)
	}
}

// refund takes in what a request did not use.
func (h *holder) refund(r Refund, now time.Time) {
	id := slotID{r.Account, r.Slot}
	all, _ := h.limits(r.Account)
	s := h.held(id, now)
	if s == nil || s.state != active {
		h.counters.RefundsLost += max(0, r.Tokens)
		return
	}
	credited := s.credit(r.Tokens, all.share(r.Slot))
	h.counters.Credited += max(0, credited)
	h.counters.RefundsLost += max(0, r.Tokens-credited)
}

// answer takes in a whole message.
func (h *holder) answer(q *Request, incarnation uint64, now time.Time, fresh bool) *Reply {
	if q.settles() && q.Peer == incarnation && h.isNew(q, now) {
		for _, r := range q.Reports {
			h.report(r, now)
		}
		for _, r := range q.Refunds {
			h.refund(r, now)
		}
	}
	r := &Reply{}
	if q.Hello || (q.settles() && q.Peer != incarnation) {
		r.Incarnation = incarnation
	}
	for _, a := range q.Asks {
		r.Grants = append(r.Grants, h.grant(a, now, fresh))
	}
	for _, p := range q.Pulls {
		r.Gives = append(r.Gives, h.give(p, q.From, now))
	}
	return r
}

func (h *holder) isNew(q *Request, now time.Time) bool {
	w := h.windows[q.From]
	if w == nil {
		w = &window{}
		h.windows[q.From] = w
	}
	return w.fresh(q.Incarnation, q.Sequence, now)
}

// forget drops what needs no memory: slots that were handed over or could have
// been, slots that are as if never used, and silent peers.
func (h *holder) forget(now time.Time) {
	for id, s := range h.slots {
		if h.forgettable(id, s, now) {
			delete(h.slots, id)
		}
	}
	for name, w := range h.windows {
		if now.Sub(w.used) > windowKept {
			delete(h.windows, name)
		}
	}
}

// forgettable says whether the slot would come back the same. A full slot is as
// one that was never spent from, whatever its limits have been.
func (h *holder) forgettable(id slotID, s *slot, now time.Time) bool {
	if s.state == giving || s.state == given {
		return !now.Before(s.ends)
	}
	e := h.runOf(id, s)
	if !ripe(e, now) || s.state == pending {
		return false
	}
	if all, known := h.limits(id.account); known {
		s.limits = all.share(id.index)
	}
	s.refresh(s.limits, now)
	full := fromTokens(s.limits.Burst)
	if len(s.leases) > 0 || h.idle(e, s.limits, now).balance != s.balance {
		return false
	}
	return s.balance == full || !s.used
}
