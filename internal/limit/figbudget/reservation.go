package figbudget

// Reservation is a charge that must be settled when its request ends. It is safe for concurrent
// use.
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

// Settle ends the reservation with the number of tokens that its request used. Tokens charged above
// used are refunded to the slots that they came from; tokens used above the charge are subtracted
// from one of these slots. Calls after the first have no effect.
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
