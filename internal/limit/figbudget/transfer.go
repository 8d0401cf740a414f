package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// transferWindow is how long after losing a slot an instance may transfer it. Together with
	// transferReplyTTL it is shorter than takeoverDelay, so that a slot can't be both transferred
	// and restarted empty.
	transferWindow = 2 * time.Second
	// transferReplyTTL is how long after its request a transfer reply is accepted, on the
	// requester's clock.
	transferReplyTTL = time.Second
	// transferRetryInterval is the time between two transfer requests for one slot.
	transferRetryInterval = 200 * time.Millisecond
)

// pendingTransfer is a transfer request that waits for its reply.
type pendingTransfer struct {
	slotID
	gainedVersion uint64
	requestedAt   time.Time
}

// handleTransferRequest answers a transfer request from the instance called requester. It marks the slot as
// transferred before the reply is sent, so that no token can be spent at both instances.
func (h *slotHolder) handleTransferRequest(request TransferRequest, requester string, now time.Time) TransferReply {
	id := slotID{request.Account, request.Slot}
	e := h.current()
	limits, known := h.limits(request.Account)
	if e == nil || !known || e.view.Version < request.ViewVersion || !e.holds(requester, id) {
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

// untouchedLostSlot returns a lost slot that wasn't in memory, ready to be transferred, or nil if
// the slot wasn't active when this instance lost it.
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

// transfersDue returns the transfer requests that are due, by the name of the instance to ask.
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
			due[m.Name] = append(due[m.Name], pendingTransfer{
				slotID: id, gainedVersion: s.gainedVersion, requestedAt: now,
			})
		}
	}
	return due
}

// transferSource returns the former holder of the slot, and false if it is unknown, no longer
// listed or this instance.
func (h *slotHolder) transferSource(id slotID, e *viewEpoch) (figview.Member, bool) {
	m, ok := h.previousHolder(id, e)
	if !ok || m.Name == h.self {
		return figview.Member{}, false
	}
	return h.current().view.Find(m.Name)
}

// acceptTransfer applies the reply to a transfer request. It returns false if the slot wasn't
// transferred, or if the reply came after transferReplyTTL or for a slot that is no longer pending
// from that gain. In the latter cases the tokens are lost.
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
