package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// giveLife is how long after its loss a slot may be handed over. Together
	// with pullLife it is shorter than regeneration.
	transferWindow = 2 * time.Second
	// pullLife is how long after the pull its answer counts, on the asker's clock.
	transferReplyTTL = time.Second
	// pullPause is the time between two pulls of one slot.
	transferRetryInterval = 200 * time.Millisecond
)

// pull is a pull under way.
type pendingTransfer struct {
	slotID
	gainedVersion uint64
	requestedAt   time.Time
}

// give answers a pull: the slot is subtracted here before the answer leaves.
func (h *slotHolder) releaseSlot(p TransferRequest, from string, now time.Time) TransferReply {
	id := slotID{p.Account, p.Slot}
	e := h.current()
	limits, known := h.limits(p.Account)
	if e == nil || !known || e.view.Version < p.ViewVersion || !e.holds(from, id) {
		return TransferReply{}
	}
	s := h.slots[id]
	if s == nil {
		s = h.untouchedLostSlot(id, limits, now)
	}
	if s == nil || s.state != releasing || !now.Before(s.transferDeadline) {
		return TransferReply{}
	}
	s.update(limits.slotLimits(id.index), now)
	s.state = transferred
	h.slots[id] = s
	h.counters.SlotsTransferredOut++
	return TransferReply{Transferred: true, Balance: max(0, s.balance.tokens()), Outstanding: s.outstandingTokens()}
}

// idleLost returns a lost slot that was idle here, or nil if it wasn't active
// when it was lost.
func (h *slotHolder) untouchedLostSlot(id slotID, limits Limits, now time.Time) *slot {
	e, lostAt := h.lastHeld(id)
	if e == nil || !mayActivate(e, lostAt) {
		return nil
	}
	s := h.untouchedSlot(e, limits.slotLimits(id.index), now)
	s.state = releasing
	s.transferDeadline = lostAt.Add(transferWindow)
	return s
}

// wanted returns the pulls that are due, with the instance to ask for each.
func (h *slotHolder) transfersDue(now time.Time) map[string][]pendingTransfer {
	due := map[string][]pendingTransfer{}
	for id, s := range h.slots {
		if s.state != pending || now.Sub(s.transferRequestedAt) < transferRetryInterval {
			continue
		}
		e := h.gainEpoch(id, s)
		if e.activateAt.IsZero() || now.Sub(e.adoptedAt) > transferWindow+transferReplyTTL {
			continue
		}
		if m, ok := h.transferSource(id, e); ok {
			s.transferRequestedAt = now
			due[m.Name] = append(due[m.Name], pendingTransfer{slotID: id, gainedVersion: s.gainedVersion, requestedAt: now})
		}
	}
	return due
}

// giver returns the instance that may hand the slot over, if it is listed still.
func (h *slotHolder) transferSource(id slotID, e *viewEpoch) (figview.Member, bool) {
	m, ok := h.previousHolder(id, e)
	if !ok || m.Name == h.self {
		return figview.Member{}, false
	}
	return h.current().view.Find(m.Name)
}

// accept takes in the answer to a pull. It returns false if it came too late or
// the slot isn't waiting for it any more; the tokens are lost then.
func (h *slotHolder) acceptTransfer(p pendingTransfer, g TransferReply, now time.Time) bool {
	s := h.slots[p.slotID]
	limits, known := h.limits(p.account)
	expired := now.Sub(p.requestedAt) > transferReplyTTL
	if !g.Transferred || expired || !known || s == nil || s.state != pending || s.gainedVersion != p.gainedVersion {
		return false
	}
	s.state, s.everUsed = active, true
	s.balance, s.refilledAt = toMicroTokens(max(0, g.Balance)), now
	if g.Outstanding > 0 {
		s.leases = []grantedLease{{tokens: g.Outstanding, expiresAt: now.Add(holderLeaseTTL)}}
	}
	s.update(limits.slotLimits(p.index), now)
	h.counters.SlotsTransferredIn++
	return true
}
