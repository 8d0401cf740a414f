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
type state uint8

const (
	// pending slots are held by the list and not yet safe to spend.
	pending state = iota
	// active slots are spent from here.
	active
	// giving slots were lost and may be handed over.
	giving
	// given slots were handed over.
	given
)

// granted is a lease as its holder remembers it. Number zero stands for leases
// of a former holder.
type granted struct {
	number  uint64
	tokens  int64
	expires time.Time
}

// slot is one instance's part in a slot. While it is active, balance and leases
// together don't exceed the slot's burst, unless the burst was lowered since.
type slot struct {
	state state
	// gained is the version of the view with which it was gained.
	gained uint64
	// ends is when a giving or given slot is forgotten.
	ends time.Time
	// pulled is when its former holder was last asked.
	pulled time.Time
	// used is set once it was spent from or handed over.
	used bool
	// limits are the slot's limits as last seen.
	limits   Limits
	balance  micros
	refilled time.Time
	leases   []granted
}

// refresh brings the slot up to now. Leases end one after the other, so that no
// refill counts for a time in which a lease took its room.
func (s *slot) refresh(l Limits, now time.Time) {
	for len(s.leases) > 0 && !now.Before(s.leases[0].expires) {
		s.advance(l, s.leases[0].expires)
		s.leases = s.leases[1:]
	}
	s.leases = slices.DeleteFunc(s.leases, func(g granted) bool { return g.tokens == 0 })
	s.advance(l, now)
}

// advance refills the balance up to t as far as there is room.
func (s *slot) advance(l Limits, t time.Time) {
	if gain := refill(l.TokensPerSecond, t.Sub(s.refilled)); gain > 0 {
		s.balance += min(gain, max(0, fromTokens(l.Burst)-s.balance))
		s.refilled = t
	}
	s.balance = min(s.balance, max(0, fromTokens(l.Burst-s.outstanding())))
}

// outstanding returns how many tokens are leased.
func (s *slot) outstanding() int64 {
	sum := int64(0)
	for _, g := range s.leases {
		sum += g.tokens
	}
	return sum
}

// take subtracts tokens, which the caller has seen to be there.
func (s *slot) take(tokens int64) {
	s.balance -= fromTokens(tokens)
	s.used = true
}

// lend subtracts a lease.
func (s *slot) lend(number uint64, tokens int64, now time.Time) {
	s.take(tokens)
	s.leases = append(s.leases, granted{number: number, tokens: tokens, expires: now.Add(leaseHeld)})
}

// report settles a part of a lease that hasn't ended. It returns false if it has.
func (s *slot) report(number uint64, spent, returned int64) bool {
	if spent < 0 || returned < 0 || number == 0 {
		return false
	}
	for i := range s.leases {
		g := &s.leases[i]
		if g.number != number || spent+returned > g.tokens {
			continue
		}
		g.tokens -= spent + returned
		s.balance += fromTokens(returned)
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
		room := fromTokens(l.Burst-s.outstanding()) - s.balance
		credited = min(tokens, max(0, room.tokens()))
	} else {
		floor := -fromTokens(l.Burst) - s.balance
		credited = max(tokens, min(0, floor.tokens()))
	}
	s.balance += fromTokens(credited)
	return credited
}
