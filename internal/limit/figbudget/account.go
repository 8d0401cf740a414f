package figbudget

import (
	"math"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// returnAge is the age at which the rest of a lease goes back, so that it
	// arrives before the holder gives it up for lost.
	leaseReturnAge = leaseTTL * 6 / 10
	// aheadTime is how far ahead a lease covers the demand seen.
	prefetchTime = 500 * time.Millisecond
	// aheadRequests is how many requests a second make a lease look ahead.
	minPrefetchRequests = 2
	// demandTime is the time constant of the demand meter.
	demandTimeConstant = time.Second
	// nearlyFull is how full, as a fraction, a slot must be to need no refunds: it
	// fills up by itself, and a message for each request isn't worth it.
	nearlyFullFraction = 0.9
	// purseKept is how long an account without leases is remembered.
	accountTTL = 5 * time.Second
)

// lease is a part of a slot that may be spent here until it expires.
type lease struct {
	index       int
	holder      string
	number      uint64
	requestedAt time.Time
	remaining   int64
	spent       int64
	returning   bool
}

func (l *lease) valid(now time.Time) bool { return now.Sub(l.requestedAt) < leaseTTL }

// level is what a holder last said that a slot has left.
type slotBalance struct {
	known      bool
	tokens     int64
	receivedAt time.Time
}

// fraction estimates how full the slot is now, from zero to one. A slot never
// heard of counts as full.
func (v slotBalance) fullness(l Limits, now time.Time) float64 {
	if !v.known {
		return 1
	}
	if l.Burst <= 0 {
		return 0
	}
	refilled := float64(l.TokensPerSecond) * now.Sub(v.receivedAt).Seconds()
	return min(1, (float64(v.tokens)+refilled)/float64(l.Burst))
}

// meter measures demand with an exponential decay.
type demandMeter struct {
	tokens, requests float64
	updatedAt        time.Time
}

func (m *demandMeter) decay(now time.Time) {
	f := math.Exp(-now.Sub(m.updatedAt).Seconds() / demandTimeConstant.Seconds())
	m.tokens *= f
	m.requests *= f
	m.updatedAt = now
}

func (m *demandMeter) add(tokens int64, now time.Time) {
	m.decay(now)
	m.tokens += float64(tokens)
	m.requests++
}

// ahead returns how many tokens to lease beyond the request at hand.
func (m *demandMeter) prefetchTokens(now time.Time) int64 {
	m.decay(now)
	if m.requests < minPrefetchRequests {
		return 0
	}
	return int64(m.tokens / demandTimeConstant.Seconds() * prefetchTime.Seconds())
}

// purse is what one instance knows of an account that its callers spend from.
type accountState struct {
	leases      []lease
	balances    [SlotCount]slotBalance
	holders     [SlotCount]figview.Member
	hasHolder   [SlotCount]bool
	viewVersion uint64
	demand      demandMeter
	lastUsed    time.Time
}

// place looks up the holders if the view has changed.
func (p *accountState) updateHolders(account string, e *viewEpoch) {
	if p.viewVersion == e.view.Version {
		return
	}
	p.viewVersion = e.view.Version
	for i := range SlotCount {
		m, ok := e.holder(slotID{account, i})
		if m.Name != p.holders[i].Name {
			p.balances[i] = slotBalance{}
		}
		p.holders[i], p.hasHolder[i] = m, ok
	}
}

// available returns how many leased tokens may be spent now.
func (p *accountState) available(now time.Time) int64 {
	sum := int64(0)
	for i := range p.leases {
		if l := &p.leases[i]; l.valid(now) {
			sum += l.remaining
		}
	}
	return sum
}

// take spends up to tokens from the leases, the oldest first, and adds what it
// took to the pieces by slot.
func (p *accountState) spend(tokens int64, charged *[SlotCount]int64, now time.Time) int64 {
	spent := int64(0)
	for i := range p.leases {
		l := &p.leases[i]
		if !l.valid(now) {
			continue
		}
		n := min(l.remaining, tokens-spent)
		l.remaining -= n
		l.spent += n
		charged[l.index] += n
		spent += n
	}
	return spent
}

// discard marks all leases for return.
func (p *accountState) returnLeases() {
	for i := range p.leases {
		p.leases[i].returning = true
	}
}

// ended is what became of leases, by holder. Spent ones only free room there and
// can wait for a message that goes anyway.
type finishedLeases struct {
	withRemainder, exhausted map[string][]LeaseReport
}

// reports removes leases that have ended or go back, and returns what to tell
// their holders. What a lease has left is subtracted here before it is told.
func (p *accountState) removeFinished(account string, now time.Time) finishedLeases {
	finished := finishedLeases{withRemainder: map[string][]LeaseReport{}, exhausted: map[string][]LeaseReport{}}
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool {
		if !l.valid(now) {
			return true
		}
		finish := l.returning || l.remaining == 0 || now.Sub(l.requestedAt) > leaseReturnAge
		if !finish {
			return false
		}
		r := LeaseReport{Account: account, Slot: l.index, Lease: l.number, Spent: l.spent, Returned: l.remaining}
		if l.remaining > 0 {
			finished.withRemainder[l.holder] = append(finished.withRemainder[l.holder], r)
		} else {
			finished.exhausted[l.holder] = append(finished.exhausted[l.holder], r)
		}
		return true
	})
	return finished
}
