package figbudget

// Reservation is a charge that its request hasn't settled yet.
type Reservation struct {
	budget  *Budget
	account string
	charged charge
	settled bool
}

// Tokens returns how many tokens were charged.
func (r *Reservation) Tokens() int64 {
	sum := int64(0)
	for _, n := range r.charged.tokens {
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
	now, _ := b.syncView()
	b.ledger.settle(r.account, r.charged, used, now)
}
