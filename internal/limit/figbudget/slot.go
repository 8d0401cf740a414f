package figbudget

import (
	"slices"
	"time"
)

// slotID names one slot of a client account.
type slotID struct {
	account string
	index   int
}

// state is where a slot stands in its life at one instance.
type slotState uint8

const (
	// pending slots are held by the list and not yet safe to spend.
	pending slotState = iota
	// active slots are spent from here.
	active
	// giving slots were lost and may be handed over.
	releasing
	// given slots were handed over.
	transferred
)

// granted is a lease as its holder remembers it. Number zero stands for leases
// of a former holder.
type grantedLease struct {
	number    uint64
	tokens    int64
	expiresAt time.Time
}

// slot is one instance's part in a slot. While it is active, balance and leases
// together don't exceed the slot's burst, unless the burst was lowered since.
type slot struct {
	state slotState
	// gained is the version of the view with which it was gained.
	gainedVersion uint64
	// ends is when a giving or given slot is forgotten.
	transferDeadline time.Time
	// pulled is when its former holder was last asked.
	transferRequestedAt time.Time
	// used is set once it was spent from or handed over.
	everUsed bool
	// limits are the slot's limits as last seen.
	limits     Limits
	balance    microTokens
	refilledAt time.Time
	leases     []grantedLease
}

// refresh brings the slot up to now. Leases end one after the other, so that no
// refill counts for a time in which a lease took its room.
func (s *slot) update(l Limits, now time.Time) {
	for len(s.leases) > 0 && !now.Before(s.leases[0].expiresAt) {
		s.refillUntil(l, s.leases[0].expiresAt)
		s.leases = s.leases[1:]
	}
	s.leases = slices.DeleteFunc(s.leases, func(g grantedLease) bool { return g.tokens == 0 })
	s.refillUntil(l, now)
}

// advance refills the balance up to t as far as there is room.
func (s *slot) refillUntil(l Limits, t time.Time) {
	if refilled := refillAmount(l.TokensPerSecond, t.Sub(s.refilledAt)); refilled > 0 {
		s.balance += min(refilled, max(0, toMicroTokens(l.Burst)-s.balance))
		s.refilledAt = t
	}
	s.balance = min(s.balance, max(0, toMicroTokens(l.Burst-s.outstandingTokens())))
}

// outstanding returns how many tokens are leased.
func (s *slot) outstandingTokens() int64 {
	sum := int64(0)
	for _, g := range s.leases {
		sum += g.tokens
	}
	return sum
}

// take subtracts tokens, which the caller has seen to be there.
func (s *slot) spend(tokens int64) {
	s.balance -= toMicroTokens(tokens)
	s.everUsed = true
}

// lend subtracts a lease.
func (s *slot) addLease(number uint64, tokens int64, now time.Time) {
	s.spend(tokens)
	s.leases = append(s.leases, grantedLease{number: number, tokens: tokens, expiresAt: now.Add(holderLeaseTTL)})
}

// report settles a part of a lease that hasn't ended. It returns false if it has.
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

// credit adds a refund as far as there is room for whole tokens, and returns what
// it added. A negative amount is subtracted, at most down to a whole burst below
// zero.
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
