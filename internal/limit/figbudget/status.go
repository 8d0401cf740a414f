package figbudget

// Statistics is the state of a Budget as the status page shows it.
type Statistics struct {
	Counters
	// Active, Pending and Releasing count the slots in memory by state; Releasing includes
	// transferred slots. Slots that are evicted, such as full ones, are not counted.
	Active    int `json:"active"`
	Pending   int `json:"pending"`
	Releasing int `json:"giving"`
	// Accounts counts the accounts that callers of this instance recently spent from.
	Accounts int `json:"accounts"`
	// Leased is the sum of unspent tokens in leases from other instances.
	Leased int64 `json:"leased"`
	// Outstanding is the sum of tokens leased to other instances.
	Outstanding int64 `json:"outstanding"`
}

// Status returns the current statistics.
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
			s.Releasing++
		}
	}
	return s
}
