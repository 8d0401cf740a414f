package figbudget

import (
	"slices"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// suspectTime is how long a peer that didn't answer is asked last.
const suspectTime = time.Second

// Counters counts what one instance did since its start.
type Counters struct {
	// Reserved is the sum of admitted tokens.
	Reserved int64 `json:"reserved"`
	// Credited is the sum of refunds that slots held here have taken in.
	Credited int64 `json:"credited"`
	// RefundsLost is the sum of refunds that found no room or no slot.
	RefundsLost int64 `json:"refundsLost"`
	// RefundsSaved is the sum of refunds that were not sent, because their slot was
	// nearly full when the reservation was made.
	RefundsSaved int64 `json:"refundsSaved"`
	// Leases counts leases granted to others.
	Leases int64 `json:"leases"`
	// Given counts slots handed over, Pulled slots taken over.
	Given  int64 `json:"given"`
	Pulled int64 `json:"pulled"`
}

// ledger is the whole budget state of one instance: the slots that it holds and
// what it leases from others. It does no input or output and takes the time as
// an argument.
type ledger struct {
	holder
	incarnation uint64
	dataCentre  string
	purses      map[string]*purse
	suspects    map[string]time.Time
	peers       map[string]*peer
	tally       Counters
}

func newLedger(self string, incarnation uint64, limits func(string) (Limits, bool)) *ledger {
	g := &ledger{
		incarnation: incarnation,
		purses:      map[string]*purse{},
		suspects:    map[string]time.Time{},
		peers:       map[string]*peer{},
	}
	g.holder = holder{
		history:  history{self: self},
		limits:   limits,
		slots:    map[slotID]*slot{},
		windows:  map[string]*window{},
		counters: &g.tally,
	}
	return g
}

// sync puts v in force if it is newer than the view in force. fresh says
// whether the view that the instance has was seen to be fresh just now.
func (g *ledger) sync(v *figview.View, now time.Time, fresh bool) {
	if v == nil {
		return
	}
	if g.adopt(v, now) {
		if m, ok := v.Find(g.self); ok {
			g.dataCentre = m.DataCentre
		}
		g.changeView(now)
	}
	if fresh {
		g.freshAt = now
	}
}

// begin starts an attempt, or refuses it at once.
func (g *ledger) begin(account string, tokens int64) (*attempt, *Refusal) {
	l, known := g.limits(account)
	if !known {
		return nil, refuse(account, UnknownAccount, 0, l)
	}
	if tokens > l.Burst {
		return nil, refuse(account, AboveBurst, 0, l)
	}
	return &attempt{account: account, tokens: max(0, tokens), limits: l}, nil
}

// ready says whether a slot held here can be spent from.
func (g *ledger) ready(id slotID, now time.Time, fresh bool) bool {
	s := g.held(id, now)
	return fresh && s != nil && s.state == active
}

func (g *ledger) purse(account string, now time.Time) *purse {
	p := g.purses[account]
	if p == nil {
		p = &purse{demand: meter{at: now}}
		g.purses[account] = p
	}
	p.used = now
	return p
}

// settle credits the refunds of a reservation to the slots that are held here
// and queues the others for their holders, but for those that a slot which was
// nearly full can do without.
func (g *ledger) settle(account string, taken pieces, used int64, now time.Time) {
	e := g.current()
	if e == nil {
		return
	}
	for _, r := range split(account, taken.tokens, used) {
		m, ok := e.holder(slotID{account, r.Slot})
		switch {
		case !ok:
			g.tally.RefundsLost += max(0, r.Tokens)
		case m.Name == g.self:
			g.refund(r, now)
		case r.Tokens > 0 && taken.full[r.Slot]:
			g.tally.RefundsSaved += r.Tokens
		default:
			g.peer(m.Name, now).addRefund(r)
		}
	}
}

// split divides what a reservation did not use among its pieces in proportion,
// so that no slot overflows before the others. What was used above the
// reservation goes to the largest piece, as a negative amount.
func split(account string, pieces [Slots]int64, used int64) []Refund {
	total, largest := int64(0), 0
	for i, n := range pieces {
		total += n
		if n > pieces[largest] {
			largest = i
		}
	}
	back := total - max(0, used)
	if back < 0 {
		return []Refund{{Account: account, Slot: largest, Tokens: back}}
	}
	var refunds []Refund
	for i, n := range pieces {
		if n == 0 || back == 0 {
			continue
		}
		share := int64(float64(back) * float64(n) / float64(total))
		if total == n {
			share = back
		}
		if share > 0 {
			refunds = append(refunds, Refund{Account: account, Slot: i, Tokens: share})
		}
		back -= share
		total -= n
	}
	return refunds
}

// tick forgets what has ended and returns the messages that are due.
func (g *ledger) tick(now time.Time) []*batch {
	g.forget(now)
	for name, until := range g.suspects {
		if !now.Before(until) {
			delete(g.suspects, name)
		}
	}
	for account, p := range g.purses {
		g.queueReports(account, p, now)
		if len(p.leases) == 0 && now.Sub(p.used) > purseKept {
			delete(g.purses, account)
		}
	}
	for name, pulls := range g.wanted(now) {
		p := g.peer(name, now)
		p.pulls = append(p.pulls, pulls...)
	}
	due := make([]*batch, 0, len(g.peers))
	for _, p := range g.peers {
		due = append(due, g.due(p, now)...)
	}
	slices.SortFunc(due, func(a, b *batch) int { return strings.Compare(a.peer.name, b.peer.name) })
	g.forgetPeers(now)
	return due
}

func (g *ledger) queueReports(account string, p *purse, now time.Time) {
	e := p.reports(account, now)
	for holder, reports := range e.returned {
		w := g.peer(holder, now)
		w.reports = append(w.reports, reports...)
	}
	tight := g.tight(account)
	for holder, reports := range e.spent {
		w := g.peer(holder, now)
		if tight {
			w.reports = append(w.reports, reports...)
		} else {
			w.addSpent(reports)
		}
	}
}

// tight says whether an account's burst is so small that leases already spent
// would hold up its refill until they end, so that their report can't wait.
func (g *ledger) tight(account string) bool {
	l, _ := g.limits(account)
	return l.Burst < 2*int64(float64(l.TokensPerSecond)*leaseHeld.Seconds())
}
