package figbudget

import (
	"math"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// leaseReturnAge is the age at which the unspent rest of a lease is returned, early enough to
	// reach the holder before the lease expires there.
	leaseReturnAge = leaseTTL * 6 / 10
	// prefetchTime is the period whose expected demand a lease covers beyond the current request.
	prefetchTime = 500 * time.Millisecond
	// minPrefetchRequests is the measured demand, in requests per demandTimeConstant, from which on
	// leases cover further demand.
	minPrefetchRequests = 2
	// demandTimeConstant is the time constant of the exponential decay of measured demand.
	demandTimeConstant = time.Second
	// nearlyFullFraction is the fraction of its burst above which a slot at another instance gets
	// no refunds: its refill soon fills it anyway, and a message for each request is saved.
	nearlyFullFraction = 0.9
	// accountTTL is how long the state of an account without leases is kept after its last use.
	accountTTL = 5 * time.Second
)

// lease is a part of a slot's balance that this instance may spend until it expires.
type lease struct {
	// index is the index of the slot.
	index  int
	holder string
	// number identifies the lease at its holder.
	number      uint64
	requestedAt time.Time
	remaining   int64
	spent       int64
	// returning is set once the unspent rest is to be returned to the holder.
	returning bool
}

// valid says whether the lease has not expired.
func (l *lease) valid(now time.Time) bool { return now.Sub(l.requestedAt) < leaseTTL }

// slotBalance is the balance of a slot as its holder last reported it.
type slotBalance struct {
	known      bool
	tokens     int64
	receivedAt time.Time
}

// fullness estimates the slot's current balance as a fraction of its burst, at most one. It is one
// if the holder hasn't reported a balance yet.
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

// demandMeter measures tokens and requests with exponential decay.
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

// prefetchTokens returns how many tokens to lease beyond the current request.
func (m *demandMeter) prefetchTokens(now time.Time) int64 {
	m.decay(now)
	if m.requests < minPrefetchRequests {
		return 0
	}
	return int64(m.tokens / demandTimeConstant.Seconds() * prefetchTime.Seconds())
}

// accountState is what one instance keeps for an account that its callers spend from: its leases,
// the holders and last known balances of the slots, and the demand.
type accountState struct {
	leases      []lease
	balances    [SlotCount]slotBalance
	holders     [SlotCount]figview.Member
	hasHolder   [SlotCount]bool
	viewVersion uint64
	demand      demandMeter
	lastUsed    time.Time
}

// updateHolders looks up the holders if the view has changed, and forgets the balance of slots
// whose holder has changed.
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

// available returns how many tokens can be spent from valid leases.
func (p *accountState) available(now time.Time) int64 {
	sum := int64(0)
	for i := range p.leases {
		if l := &p.leases[i]; l.valid(now) {
			sum += l.remaining
		}
	}
	return sum
}

// spend takes up to tokens from the valid leases, oldest first, adds them to charged by slot and
// returns how many it took.
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

// returnLeases marks all leases for return to their holders.
func (p *accountState) returnLeases() {
	for i := range p.leases {
		p.leases[i].returning = true
	}
}

// finishedLeases holds the reports on leases that were removed, by holder. Reports on exhausted
// leases return no tokens and only free room in the slot, so they can wait for a message that is
// sent anyway.
type finishedLeases struct {
	withRemainder, exhausted map[string][]LeaseReport
}

// removeFinished removes leases that have expired, are used up, are marked for return or have
// reached leaseReturnAge. It returns the reports to send; expired leases have none. A lease is
// removed before its report is sent, so that returned tokens can't also be spent here.
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
