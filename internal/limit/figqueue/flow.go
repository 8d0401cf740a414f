package figqueue

import (
	"slices"
	"time"
)

// maxCreditTime bounds the unused share that an account can save, in time at the pool's rate. An account that used less
// than its share goes before other accounts until the saved share is used up. Without this credit, a burst of an account
// that stays within its share on average would wait behind other accounts.
const maxCreditTime = 2 * time.Second

// maxCredit returns how far a flow's virtual time may lag behind the scheduler's. It is zero while the rate isn't known.
// The sum of the weights starts at 1, so that it is positive without flows.
func (s *scheduler) maxCredit() float64 {
	weights := 1.0
	for _, f := range s.flows {
		weights += f.weight
	}
	return s.rate.perSecond() * maxCreditTime.Seconds() / weights
}

// flowFor returns the account's flow and sets its weight. A new flow starts with the full credit.
func (s *scheduler) flowFor(account string, weight int64) *flow {
	f := s.flows[account]
	if f == nil {
		f = &flow{account: account, virtualTime: s.virtualTime - s.maxCredit()}
		s.flows[account] = f
	}
	f.weight = float64(max(1, weight))
	return f
}

// insert puts e into f.waiting at index i.
func (s *scheduler) insert(f *flow, e *entry, i int) {
	e.flow = f
	f.waiting = slices.Insert(f.waiting, i, e)
	f.bytes += e.item.Bytes
	f.tokens += e.item.Tokens
	s.waitingCount++
	s.bytes += e.item.Bytes
	s.tokens += e.item.Tokens
}

// removeAt removes the entry at index i from f.waiting.
func (s *scheduler) removeAt(f *flow, i int) {
	e := f.waiting[i]
	e.flow = nil
	f.waiting = slices.Delete(f.waiting, i, i+1)
	f.bytes -= e.item.Bytes
	f.tokens -= e.item.Tokens
	s.waitingCount--
	s.bytes -= e.item.Bytes
	s.tokens -= e.item.Tokens
}

// deleteIfIdle deletes a flow without waiting entries if flowFor would create it again with at least its present
// virtual time, so that deleting it gives the account no advantage.
func (s *scheduler) deleteIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.virtualTime <= s.virtualTime-s.maxCredit() {
		delete(s.flows, f.account)
	}
}

// deleteIdleFlows does what deleteIfIdle does, for all flows. If no entry waits, no account is behind another: all flows
// are deleted and virtual time starts again at zero.
func (s *scheduler) deleteIdleFlows() {
	if s.waitingCount == 0 {
		s.virtualTime = 0
		clear(s.flows)
		return
	}
	limit := s.virtualTime - s.maxCredit()
	for account, f := range s.flows {
		if len(f.waiting) == 0 && f.virtualTime <= limit {
			delete(s.flows, account)
		}
	}
}
