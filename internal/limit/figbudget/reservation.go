package figbudget

// Reservation is a charge that its request hasn't settled yet.
type Reservation struct {
	budget  *Budget
	account string
	pieces  [Slots]int64
	settled bool
}

// Tokens returns how many tokens were charged.
func (r *Reservation) Tokens() int64 {
	sum := int64(0)
	for _, n := range r.pieces {
		sum += n
	}
	return sum
}

// Settle ends the reservation: what was charged above used flows back to the
// slots that it came from, what was used above the charge is taken from them.
// Only the first call counts.
func (r *Reservation) Settle(used int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.settled {
		return
	}
	r.settled = true
	now := b.opts.Clock.Now()
	b.sync(now)
	for name, refunds := range b.ledger.settle(r.account, r.pieces, used, now) {
		b.queueRefunds(name, refunds)
	}
}

// queueRefunds keeps refunds until the next message or tick, so that they cost
// no message of their own while the peer is asked often. Those of one slot are
// added up.
func (b *Budget) queueRefunds(name string, refunds []Refund) {
	p := b.peer(name)
	for _, r := range refunds {
		p.addRefund(r)
	}
}

func (p *peer) addRefund(r Refund) {
	for i := range p.refunds {
		w := &p.refunds[i]
		if w.Account == r.Account && w.Slot == r.Slot {
			w.Tokens += r.Tokens
			return
		}
	}
	if len(p.refunds) < refundsKept {
		p.refunds = append(p.refunds, r)
	}
}
