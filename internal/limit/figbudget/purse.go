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
	returnAge = leaseLife * 6 / 10
	// aheadTime is how far ahead a lease covers the demand seen.
	aheadTime = 500 * time.Millisecond
	// aheadRequests is how many requests a second make a lease look ahead.
	aheadRequests = 2
	// demandTime is the time constant of the demand meter.
	demandTime = time.Second
	// nearlyFull is how full, as a fraction, a slot must be to need no refunds: it
	// fills up by itself, and a message for each request isn't worth it.
	nearlyFull = 0.9
	// purseKept is how long an account without leases is remembered.
	purseKept = 5 * time.Second
)

// lease is a part of a slot that may be spent here until it expires.
type lease struct {
	index   int
	holder  string
	number  uint64
	asked   time.Time
	left    int64
	spent   int64
	discard bool
}

func (l *lease) valid(now time.Time) bool { return now.Sub(l.asked) < leaseLife }

// level is what a holder last said that a slot has left.
type level struct {
	known  bool
	tokens int64
	at     time.Time
}

// fraction estimates how full the slot is now, from zero to one. A slot never
// heard of counts as full.
func (v level) fraction(l Limits, now time.Time) float64 {
	if !v.known {
		return 1
	}
	if l.Burst <= 0 {
		return 0
	}
	grown := float64(l.TokensPerSecond) * now.Sub(v.at).Seconds()
	return min(1, (float64(v.tokens)+grown)/float64(l.Burst))
}

// meter measures demand with an exponential decay.
type meter struct {
	tokens, requests float64
	at               time.Time
}

func (m *meter) decay(now time.Time) {
	f := math.Exp(-now.Sub(m.at).Seconds() / demandTime.Seconds())
	m.tokens *= f
	m.requests *= f
	m.at = now
}

func (m *meter) add(tokens int64, now time.Time) {
	m.decay(now)
	m.tokens += float64(tokens)
	m.requests++
}

// ahead returns how many tokens to lease beyond the request at hand.
func (m *meter) ahead(now time.Time) int64 {
	m.decay(now)
	if m.requests < aheadRequests {
		return 0
	}
	return int64(m.tokens / demandTime.Seconds() * aheadTime.Seconds())
}

// purse is what one instance knows of an account that its callers spend from.
type purse struct {
	leases  []lease
	levels  [Slots]level
	holders [Slots]figview.Member
	found   [Slots]bool
	version uint64
	demand  meter
	used    time.Time
}

// place looks up the holders if the view has changed.
func (p *purse) place(account string, e *epoch) {
	if p.version == e.view.Version {
		return
	}
	p.version = e.view.Version
	for i := range Slots {
		m, ok := e.holder(slotID{account, i})
		if m.Name != p.holders[i].Name {
			p.levels[i] = level{}
		}
		p.holders[i], p.found[i] = m, ok
	}
}

// available returns how many leased tokens may be spent now.
func (p *purse) available(now time.Time) int64 {
	sum := int64(0)
	for i := range p.leases {
		if l := &p.leases[i]; l.valid(now) {
			sum += l.left
		}
	}
	return sum
}

// take spends up to tokens from the leases, the oldest first, and adds what it
// took to the pieces by slot.
func (p *purse) take(tokens int64, pieces *[Slots]int64, now time.Time) int64 {
	taken := int64(0)
	for i := range p.leases {
		l := &p.leases[i]
		if !l.valid(now) {
			continue
		}
		n := min(l.left, tokens-taken)
		l.left -= n
		l.spent += n
		pieces[l.index] += n
		taken += n
	}
	return taken
}

// discard marks all leases for return.
func (p *purse) discard() {
	for i := range p.leases {
		p.leases[i].discard = true
	}
}

// ended is what became of leases, by holder. Spent ones only free room there and
// can wait for a message that goes anyway.
type ended struct {
	returned, spent map[string][]Report
}

// reports removes leases that have ended or go back, and returns what to tell
// their holders. What a lease has left is subtracted here before it is told.
func (p *purse) reports(account string, now time.Time) ended {
	e := ended{returned: map[string][]Report{}, spent: map[string][]Report{}}
	p.leases = slices.DeleteFunc(p.leases, func(l lease) bool {
		if !l.valid(now) {
			return true
		}
		back := l.discard || l.left == 0 || now.Sub(l.asked) > returnAge
		if !back {
			return false
		}
		r := Report{Account: account, Slot: l.index, Lease: l.number, Spent: l.spent, Returned: l.left}
		if l.left > 0 {
			e.returned[l.holder] = append(e.returned[l.holder], r)
		} else {
			e.spent[l.holder] = append(e.spent[l.holder], r)
		}
		return true
	})
	return e
}
