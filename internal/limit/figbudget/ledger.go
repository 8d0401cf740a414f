package figbudget

import (
	"slices"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// suspectTime is how long a peer that didn't answer is asked last.
const suspectDuration = time.Second

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
	RefundsSkipped int64 `json:"refundsSaved"`
	// Leases counts leases granted to others.
	LeasesGranted int64 `json:"leases"`
	// Given counts slots handed over, Pulled slots taken over.
	SlotsTransferredOut int64 `json:"given"`
	SlotsTransferredIn  int64 `json:"pulled"`
}

// ledger is the whole budget state of one instance: the slots that it holds and
// what it leases from others. It does no input or output and takes the time as
// an argument.
type ledger struct {
	slotHolder
	incarnation  uint64
	dataCentre   string
	accounts     map[string]*accountState
	suspectUntil map[string]time.Time
	peers        map[string]*peerQueue
	totals       Counters
}

func newLedger(self string, incarnation uint64, limits func(string) (Limits, bool)) *ledger {
	g := &ledger{
		incarnation:  incarnation,
		accounts:     map[string]*accountState{},
		suspectUntil: map[string]time.Time{},
		peers:        map[string]*peerQueue{},
	}
	g.slotHolder = slotHolder{
		viewHistory:   viewHistory{self: self},
		limits:        limits,
		slots:         map[slotID]*slot{},
		replayWindows: map[string]*replayWindow{},
		counters:      &g.totals,
	}
	return g
}

// sync puts v in force if it is newer than the view in force. fresh says
// whether the view that the instance has was seen to be fresh just now.
func (g *ledger) updateView(v *figview.View, now time.Time, fresh bool) {
	if v == nil {
		return
	}
	if g.adopt(v, now) {
		if m, ok := v.Find(g.self); ok {
			g.dataCentre = m.DataCentre
		}
		g.releaseLostSlots(now)
	}
	if fresh {
		g.lastFreshAt = now
	}
}

// begin starts an attempt, or refuses it at once.
func (g *ledger) newAttempt(account string, tokens int64) (*attempt, *Refusal) {
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
	s := g.heldSlot(id, now)
	return fresh && s != nil && s.state == active
}

func (g *ledger) account(account string, now time.Time) *accountState {
	p := g.accounts[account]
	if p == nil {
		p = &accountState{demand: demandMeter{updatedAt: now}}
		g.accounts[account] = p
	}
	p.lastUsed = now
	return p
}

// settle credits the refunds of a reservation to the slots that are held here
// and queues the others for their holders, but for those that a slot which was
// nearly full can do without.
func (g *ledger) settle(account string, charged charge, used int64, now time.Time) {
	e := g.current()
	if e == nil {
		return
	}
	for _, r := range splitRefund(account, charged.tokens, used) {
		m, ok := e.holder(slotID{account, r.Slot})
		switch {
		case !ok:
			g.totals.RefundsLost += max(0, r.Tokens)
		case m.Name == g.self:
			g.applyRefund(r, now)
		case r.Tokens > 0 && charged.nearlyFull[r.Slot]:
			g.totals.RefundsSkipped += r.Tokens
		default:
			g.queueFor(m.Name, now).queueRefund(r)
		}
	}
}

// split divides what a reservation did not use among its pieces in proportion,
// so that no slot overflows before the others. What was used above the
// reservation goes to the largest piece, as a negative amount.
func splitRefund(account string, charged [SlotCount]int64, used int64) []Refund {
	total, largest := int64(0), 0
	for i, n := range charged {
		total += n
		if n > charged[largest] {
			largest = i
		}
	}
	unused := total - max(0, used)
	if unused < 0 {
		return []Refund{{Account: account, Slot: largest, Tokens: unused}}
	}
	var refunds []Refund
	for i, n := range charged {
		if n == 0 || unused == 0 {
			continue
		}
		share := int64(float64(unused) * float64(n) / float64(total))
		if total == n {
			share = unused
		}
		if share > 0 {
			refunds = append(refunds, Refund{Account: account, Slot: i, Tokens: share})
		}
		unused -= share
		total -= n
	}
	return refunds
}

// tick forgets what has ended and returns the messages that are due.
func (g *ledger) tick(now time.Time) []*peerMessage {
	g.evict(now)
	for name, until := range g.suspectUntil {
		if !now.Before(until) {
			delete(g.suspectUntil, name)
		}
	}
	for account, p := range g.accounts {
		g.queueLeaseReports(account, p, now)
		if len(p.leases) == 0 && now.Sub(p.lastUsed) > accountTTL {
			delete(g.accounts, account)
		}
	}
	for name, transfers := range g.transfersDue(now) {
		p := g.queueFor(name, now)
		p.transfers = append(p.transfers, transfers...)
	}
	due := make([]*peerMessage, 0, len(g.peers))
	for _, p := range g.peers {
		due = append(due, g.nextMessages(p, now)...)
	}
	slices.SortFunc(due, func(a, b *peerMessage) int { return strings.Compare(a.peer.name, b.peer.name) })
	g.evictPeers(now)
	return due
}

func (g *ledger) queueLeaseReports(account string, p *accountState, now time.Time) {
	finished := p.removeFinished(account, now)
	for holder, reports := range finished.withRemainder {
		queue := g.queueFor(holder, now)
		queue.reports = append(queue.reports, reports...)
	}
	urgent := g.reportsAreUrgent(account)
	for holder, reports := range finished.exhausted {
		queue := g.queueFor(holder, now)
		if urgent {
			queue.reports = append(queue.reports, reports...)
		} else {
			queue.deferReports(reports)
		}
	}
}

// tight says whether an account's burst is so small that leases already spent
// would hold up its refill until they end, so that their report can't wait.
func (g *ledger) reportsAreUrgent(account string) bool {
	l, _ := g.limits(account)
	return l.Burst < 2*int64(float64(l.TokensPerSecond)*holderLeaseTTL.Seconds())
}
