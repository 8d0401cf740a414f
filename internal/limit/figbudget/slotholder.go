package figbudget

import (
	"time"
)

const (
	// prefetchDivisor bounds what one lease takes beyond the current request: the slot's remaining
	// balance divided by prefetchDivisor.
	prefetchDivisor = 4
	// replayWindowTTL is how long the replay window of a peer is kept after its last message.
	replayWindowTTL = time.Minute
)

// slotHolder manages the slots that one instance holds. It does no I/O.
type slotHolder struct {
	viewHistory
	limits        func(account string) (Limits, bool)
	slots         map[slotID]*slot
	replayWindows map[string]*replayWindow
	nextLease     uint64
	counters      *Counters
}

// releaseLostSlots marks active slots as releasing if the current view assigns them to other
// holders, and deletes slots whose state is no longer valid under that view.
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

// heldSlot returns the slot, updated to now, or nil if this instance doesn't hold it or the account
// is unknown. It creates the slot if it isn't in memory, and activates a pending one that is due.
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

// gainEpoch returns the epoch in which this instance gained the slot that it holds, or nil if it
// doesn't hold the slot. s is the slot in memory, or nil. A slot in memory needs no search of the
// history: releaseLostSlots updates its state with each new view.
func (h *slotHolder) gainEpoch(id slotID, s *slot) *viewEpoch {
	switch {
	case s == nil:
		return h.findGainEpoch(id)
	case s.state == pending || s.state == active:
		return h.epochOfVersion(s.gainedVersion)
	}
	return nil
}

// untouchedSlot returns the state that the slot has if nothing was spent from it since this
// instance gained it in epoch e, or since it was last full.
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

// mayActivate says whether slots gained in epoch e can be active without a transfer.
func mayActivate(e *viewEpoch, now time.Time) bool {
	return !e.activateAt.IsZero() && !now.Before(e.activateAt)
}

// spendable returns how many tokens can be spent now from the slot at this instance. It is zero
// unless this instance holds the slot, the slot is active and the view is fresh.
func (h *slotHolder) spendable(id slotID, now time.Time, fresh bool) int64 {
	s := h.heldSlot(id, now)
	if !fresh || s == nil || s.state != active {
		return 0
	}
	return max(0, s.balance.tokens())
}

// grantLease answers a lease request. It grants the required tokens as far as the balance has them,
// and of the prefetch at most a part of what then remains.
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

// applyLeaseReport applies a report on a lease from a slot held here. Reports on slots that aren't
// in memory are ignored.
func (h *slotHolder) applyLeaseReport(r LeaseReport, now time.Time) {
	id := slotID{r.Account, r.Slot}
	if h.slots[id] == nil {
		return
	}
	if s := h.heldSlot(id, now); s != nil {
		s.applyReport(r.Lease, r.Spent, r.Returned)
	}
}

// applyRefund credits a refund to a slot held here. It counts the tokens for which the slot has no
// room as lost, or all of them if the slot isn't active.
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

// handleRequest applies a message from a peer and returns the reply. It skips lease reports and
// refunds if the message is a duplicate or was sent to another incarnation of this instance.
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
		r.TransferReplies = append(r.TransferReplies, h.handleTransferRequest(p, q.From, now))
	}
	return r
}

// isNew says whether the message is not a duplicate, and records it.
func (h *slotHolder) isNew(q *Request, now time.Time) bool {
	w := h.replayWindows[q.From]
	if w == nil {
		w = &replayWindow{}
		h.replayWindows[q.From] = w
	}
	return w.isNew(q.Incarnation, q.Sequence, now)
}

// evict deletes slots whose time for a transfer is over, slots that would be recreated with the
// same state, and replay windows of peers that sent nothing for replayWindowTTL.
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

// evictable says whether the slot's transfer deadline has passed, or whether heldSlot would
// recreate the slot with the same state. A full slot equals one that was never spent from, whatever
// its earlier limits.
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
