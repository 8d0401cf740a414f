package figbudget

import (
	"time"
)

const (
	// aheadPart is the divisor of a slot's balance that bounds what one lease
	// takes beyond the request at hand.
	prefetchDivisor = 4
	// windowKept is how long the messages of a silent peer are remembered.
	replayWindowTTL = time.Minute
)

// holder keeps the slots that one instance holds. It does no input or output.
type slotHolder struct {
	viewHistory
	limits        func(account string) (Limits, bool)
	slots         map[slotID]*slot
	replayWindows map[string]*replayWindow
	nextLease     uint64
	counters      *Counters
}

// changeView starts the loss of the slots that the view in force gives to others.
func (h *slotHolder) releaseLostSlots(now time.Time) {
	e := h.current()
	for id, s := range h.slots {
		switch {
		case e.discontinuous:
			delete(h.slots, id)
		case e.holds(h.self, id):
			if s.state == releasing || s.state == transferred {
				delete(h.slots, id)
			}
		case s.state == active:
			s.state = releasing
			s.transferDeadline = now.Add(transferWindow)
		case s.state == pending:
			delete(h.slots, id)
		}
	}
}

// held returns the slot if this instance holds it, brought up to now. It makes
// the slot if it was idle so far.
func (h *slotHolder) heldSlot(id slotID, now time.Time) *slot {
	limits, known := h.limits(id.account)
	if !known || id.index < 0 || id.index >= SlotCount {
		return nil
	}
	l := limits.slotLimits(id.index)
	s := h.slots[id]
	e := h.gainEpoch(id, s)
	if e == nil {
		return nil
	}
	if s == nil {
		s = h.untouchedSlot(e, l, now)
		h.slots[id] = s
	}
	s.limits = l
	if s.state == pending && mayActivate(e, now) {
		s.state = active
		s.balance, s.refilledAt = 0, e.activateAt
	}
	if s.state == active {
		s.update(l, now)
	}
	return s
}

// runOf is run, without the search for a slot in memory: these follow each change
// of the view.
func (h *slotHolder) gainEpoch(id slotID, s *slot) *viewEpoch {
	switch {
	case s == nil:
		return h.findGainEpoch(id)
	case s.state == pending || s.state == active:
		return h.epochOfVersion(s.gainedVersion)
	}
	return nil
}

// idle returns the slot as it stands if nothing was spent from it since it was
// gained with e, or if it was full since then.
func (h *slotHolder) untouchedSlot(e *viewEpoch, l Limits, now time.Time) *slot {
	s := &slot{gainedVersion: e.view.Version, limits: l}
	if !mayActivate(e, now) {
		return s
	}
	s.state = active
	s.refilledAt = e.activateAt
	s.update(l, now)
	return s
}

func mayActivate(e *viewEpoch, now time.Time) bool {
	return !e.activateAt.IsZero() && !now.Before(e.activateAt)
}

// spendable returns how many tokens may be spent from the slot here and now.
func (h *slotHolder) spendable(id slotID, now time.Time, fresh bool) int64 {
	s := h.heldSlot(id, now)
	if !fresh || s == nil || s.state != active {
		return 0
	}
	return max(0, s.balance.tokens())
}

// grant answers an ask.
func (h *slotHolder) grantLease(a LeaseRequest, now time.Time, fresh bool) Grant {
	id := slotID{a.Account, a.Slot}
	s := h.heldSlot(id, now)
	if s == nil {
		return Grant{Status: SlotNotHeld}
	}
	if s.state != active || !fresh {
		return Grant{Status: SlotNotReady}
	}
	left := max(0, s.balance.tokens())
	tokens := min(max(0, a.Required), left)
	tokens += min(max(0, a.Prefetch), (left-tokens)/prefetchDivisor)
	if tokens == 0 {
		return Grant{Remaining: left}
	}
	h.nextLease++
	s.addLease(h.nextLease, tokens, now)
	h.counters.LeasesGranted++
	return Grant{Lease: h.nextLease, Tokens: tokens, Remaining: left - tokens}
}

// report takes in what became of a lease.
func (h *slotHolder) applyLeaseReport(r LeaseReport, now time.Time) {
	id := slotID{r.Account, r.Slot}
	if h.slots[id] == nil {
		return
	}
	if s := h.heldSlot(id, now); s != nil {
		s.applyReport(r.Lease, r.Spent, r.Returned)
	}
}

// refund takes in what a request did not use.
func (h *slotHolder) applyRefund(r Refund, now time.Time) {
	id := slotID{r.Account, r.Slot}
	limits, _ := h.limits(r.Account)
	s := h.heldSlot(id, now)
	if s == nil || s.state != active {
		h.counters.RefundsLost += max(0, r.Tokens)
		return
	}
	credited := s.credit(r.Tokens, limits.slotLimits(r.Slot))
	h.counters.Credited += max(0, credited)
	h.counters.RefundsLost += max(0, r.Tokens-credited)
}

// answer takes in a whole message.
func (h *slotHolder) handleRequest(q *Request, incarnation uint64, now time.Time, fresh bool) *Reply {
	if q.mustApplyOnce() && q.PeerIncarnation == incarnation && h.isNew(q, now) {
		for _, r := range q.LeaseReports {
			h.applyLeaseReport(r, now)
		}
		for _, r := range q.Refunds {
			h.applyRefund(r, now)
		}
	}
	r := &Reply{}
	if q.WantIncarnation || (q.mustApplyOnce() && q.PeerIncarnation != incarnation) {
		r.Incarnation = incarnation
	}
	for _, a := range q.LeaseRequests {
		r.Grants = append(r.Grants, h.grantLease(a, now, fresh))
	}
	for _, p := range q.TransferRequests {
		r.TransferReplies = append(r.TransferReplies, h.releaseSlot(p, q.From, now))
	}
	return r
}

func (h *slotHolder) isNew(q *Request, now time.Time) bool {
	w := h.replayWindows[q.From]
	if w == nil {
		w = &replayWindow{}
		h.replayWindows[q.From] = w
	}
	return w.isNew(q.Incarnation, q.Sequence, now)
}

// forget drops what needs no memory: slots that were handed over or could have
// been, slots that are as if never used, and silent peers.
func (h *slotHolder) evict(now time.Time) {
	for id, s := range h.slots {
		if h.evictable(id, s, now) {
			delete(h.slots, id)
		}
	}
	for name, w := range h.replayWindows {
		if now.Sub(w.lastUsed) > replayWindowTTL {
			delete(h.replayWindows, name)
		}
	}
}

// forgettable says whether the slot would come back the same. A full slot is as
// one that was never spent from, whatever its limits have been.
func (h *slotHolder) evictable(id slotID, s *slot, now time.Time) bool {
	if s.state == releasing || s.state == transferred {
		return !now.Before(s.transferDeadline)
	}
	e := h.gainEpoch(id, s)
	if !mayActivate(e, now) || s.state == pending {
		return false
	}
	if limits, known := h.limits(id.account); known {
		s.limits = limits.slotLimits(id.index)
	}
	s.update(s.limits, now)
	full := toMicroTokens(s.limits.Burst)
	if len(s.leases) > 0 || h.untouchedSlot(e, s.limits, now).balance != s.balance {
		return false
	}
	return s.balance == full || !s.everUsed
}
