package figbudget

import (
	"slices"
	"time"
)

// slotID identifies one slot of a client account.
type slotID struct {
	account string
	index   int
}

// slotState is the state of a slot at one instance.
type slotState uint8

const (
	// pending slots are held under the current view and can't be spent from yet.
	pending slotState = iota
	// active slots are held and can be spent from.
	active
	// releasing slots went to another holder and may be transferred to it until transferDeadline.
	releasing
	// transferred slots have been transferred to their new holder.
	transferred
)

// grantedLease is the holder's record of a lease. Number zero stands for all leases that a former
// holder granted before it transferred the slot.
type grantedLease struct {
	number    uint64
	tokens    int64
	expiresAt time.Time
}

// slot is the state of one slot at one instance. While it is active, its balance and outstanding
// leases together don't exceed its burst, unless the burst was lowered meanwhile.
type slot struct {
	state slotState
	// gainedVersion is the version of the view with which this instance gained the slot.
	gainedVersion uint64
	// transferDeadline is when a releasing slot can no longer be transferred. Releasing and
	// transferred slots are evicted then.
	transferDeadline time.Time
	// transferRequestedAt is when this instance last asked the former holder for a transfer.
	transferRequestedAt time.Time
	// everUsed is set once tokens were spent from the slot or the slot was received by a transfer.
	everUsed bool
	// limits are the slot's limits when it was last updated.
	limits     Limits
	balance    microTokens
	refilledAt time.Time
	leases     []grantedLease
}

// update refills the balance and removes expired leases up to now. It handles expiries in order, so
// that the balance gains no refill for a time in which a lease still used that part of the burst.
func (s *slot) update(l Limits, now time.Time) {
	for len(s.leases) > 0 && !now.Before(s.leases[0].expiresAt) {
		s.refillUntil(l, s.leases[0].expiresAt)
		s.leases = s.leases[1:]
	}
	s.leases = slices.DeleteFunc(s.leases, func(g grantedLease) bool { return g.tokens == 0 })
	s.refillUntil(l, now)
}

// refillUntil adds the refill up to t, as far as the burst less the outstanding leases allows.
func (s *slot) refillUntil(l Limits, t time.Time) {
	if refilled := refillAmount(l.TokensPerSecond, t.Sub(s.refilledAt)); refilled > 0 {
		s.balance += min(refilled, max(0, toMicroTokens(l.Burst)-s.balance))
		s.refilledAt = t
	}
	s.balance = min(s.balance, max(0, toMicroTokens(l.Burst-s.outstandingTokens())))
}

// outstandingTokens returns how many tokens are leased from the slot.
func (s *slot) outstandingTokens() int64 {
	sum := int64(0)
	for _, g := range s.leases {
		sum += g.tokens
	}
	return sum
}

// spend subtracts tokens. The caller has checked that the balance suffices.
func (s *slot) spend(tokens int64) {
	s.balance -= toMicroTokens(tokens)
	s.everUsed = true
}

// addLease subtracts tokens from the balance and records them as a lease.
func (s *slot) addLease(number uint64, tokens int64, now time.Time) {
	s.spend(tokens)
	s.leases = append(s.leases, grantedLease{number: number, tokens: tokens, expiresAt: now.Add(holderLeaseTTL)})
}

// applyReport applies a report on a lease: spent tokens leave the lease, returned ones go back to
// the balance. It returns false and changes nothing if the lease is unknown or expired, if an
// amount is negative, or if the report covers more tokens than the lease has.
func (s *slot) applyReport(number uint64, spent, returned int64) bool {
	if spent < 0 || returned < 0 || number == 0 {
		return false
	}
	for i := range s.leases {
		g := &s.leases[i]
		if g.number != number || spent+returned > g.tokens {
			continue
		}
		g.tokens -= spent + returned
		s.balance += toMicroTokens(returned)
		return true
	}
	return false
}

// credit adds a refund, in whole tokens and as far as the burst has room, and returns the amount
// added. A negative amount is subtracted; the balance doesn't fall below minus one burst by it.
func (s *slot) credit(tokens int64, l Limits) int64 {
	var credited int64
	if tokens > 0 {
		room := toMicroTokens(l.Burst-s.outstandingTokens()) - s.balance
		credited = min(tokens, max(0, room.tokens()))
	} else {
		floor := -toMicroTokens(l.Burst) - s.balance
		credited = max(tokens, min(0, floor.tokens()))
	}
	s.balance += toMicroTokens(credited)
	return credited
}
