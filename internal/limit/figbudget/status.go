package figbudget

// Statistics is what a Budget tells operators.
type Statistics struct {
	Counters
	// Active, Pending and Giving count the slots in memory by state. Slots that
	// are full and unused are in none of them.
	Active  int `json:"active"`
	Pending int `json:"pending"`
	Giving  int `json:"giving"`
	// Accounts counts the accounts that callers lately spent from here.
	Accounts int `json:"accounts"`
	// Leased is the sum of tokens leased from others and not spent.
	Leased int64 `json:"leased"`
	// Outstanding is the sum of tokens leased to others.
	Outstanding int64 `json:"outstanding"`
}

// Status returns the state at this moment.
func (b *Budget) Status() Statistics {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.statistics()
}

func (g *ledger) statistics() Statistics {
	s := Statistics{Counters: g.totals, Accounts: len(g.accounts)}
	for _, p := range g.accounts {
		for i := range p.leases {
			s.Leased += p.leases[i].remaining
		}
	}
	for _, w := range g.slots {
		s.Outstanding += w.outstandingTokens()
		switch w.state {
		case active:
			s.Active++
		case pending:
			s.Pending++
		default:
			s.Giving++
		}
	}
	return s
}
