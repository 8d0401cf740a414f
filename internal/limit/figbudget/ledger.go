package figbudget

import (
	"slices"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// suspectDuration is how long other peers are preferred to one that failed to answer.
const suspectDuration = time.Second

// Counters counts the operations of one instance since its start.
type Counters struct {
	// Reserved is the sum of reserved tokens.
	Reserved int64 `json:"reserved"`
	// Credited is the sum of refunded tokens that were added to slots held here.
	Credited int64 `json:"credited"`
	// RefundsLost is the sum of refunded tokens that were dropped because the slot had no room,
	// wasn't active here or had no holder.
	RefundsLost int64 `json:"refundsLost"`
	// RefundsSkipped is the sum of refunded tokens that were not sent because their slot was nearly
	// full when the reservation was made.
	RefundsSkipped int64 `json:"refundsSaved"`
	// LeasesGranted counts leases granted to other instances.
	LeasesGranted int64 `json:"leases"`
	// SlotsTransferredOut and SlotsTransferredIn count slots transferred to and from other
	// instances.
	SlotsTransferredOut int64 `json:"given"`
	SlotsTransferredIn  int64 `json:"pulled"`
}

// ledger is the budget state of one instance: the slots that it holds and what it leases from its
// peers. It does no I/O, takes the time as an argument and isn't safe for concurrent use.
type ledger struct {
	slotHolder
	incarnation  uint64
	dataCentre   string
	accounts     map[string]*accountState
	suspectUntil map[string]time.Time
	peers        map[string]*peerQueue
	totals       Counters
}

// newLedger returns a ledger without a view. limits returns an account's limits, and false for an
// unknown account.
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

// updateView adopts v if it is newer than the current view. fresh says whether the
// instance's view was fresh when it was read, just before now.
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

// newAttempt starts an attempt, or refuses it if the account is unknown or the cost exceeds its
// burst.
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

// ready says whether the slot is held here and can be spent from.
func (g *ledger) ready(id slotID, now time.Time, fresh bool) bool {
	s := g.heldSlot(id, now)
	return fresh && s != nil && s.state == active
}

// account returns the state of an account and creates it if necessary.
func (g *ledger) account(account string, now time.Time) *accountState {
	p := g.accounts[account]
	if p == nil {
		p = &accountState{demand: demandMeter{updatedAt: now}}
		g.accounts[account] = p
	}
	p.lastUsed = now
	return p
}

// settle refunds what a reservation charged above used. Refunds to slots held here are applied at
// once, refunds to other slots are queued for their holders. Refunds to a slot of another holder
// are skipped if the slot was nearly full when the reservation was made.
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

// splitRefund divides the unused tokens of a reservation among the slots that it was charged to, in
// proportion, so that no slot fills up before another. If more was used than charged, the excess
// goes as a negative amount to the slot with the largest charge.
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

// tick evicts expired state, queues lease reports and transfer requests that are due, and returns
// the messages to send.
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

// queueLeaseReports removes an account's finished leases and queues their reports for the holders.
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

// reportsAreUrgent says whether the account's burst is so small that leases that are used up but
// not yet reported would block the refill of its slots until they expire. The reports of such
// leases are then sent at once.
func (g *ledger) reportsAreUrgent(account string) bool {
	l, _ := g.limits(account)
	return l.Burst < 2*int64(float64(l.TokensPerSecond)*holderLeaseTTL.Seconds())
}
