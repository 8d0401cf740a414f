package figqueue

import (
	"slices"
	"time"
)

// creditTime is how long an account can save up its part of the pool: one that
// had less than its part for so long goes before the others until it has caught
// up. Without it a burst of an account within its part would queue behind its
// own average.
const maxCreditTime = 2 * time.Second

// credit returns how far a flow may be behind the virtual time.
func (s *scheduler) maxCredit() float64 {
	weights := 1.0
	for _, f := range s.flows {
		weights += f.weight
	}
	return s.rate.perSecond() * maxCreditTime.Seconds() / weights
}

// flow returns the account's flow. A new one has saved up all it can.
func (s *scheduler) flowFor(account string, weight int64) *flow {
	f := s.flows[account]
	if f == nil {
		f = &flow{account: account, virtualTime: s.virtualTime - s.maxCredit()}
		s.flows[account] = f
	}
	f.weight = float64(max(1, weight))
	return f
}

func (s *scheduler) insert(f *flow, e *entry, i int) {
	e.flow = f
	f.waiting = slices.Insert(f.waiting, i, e)
	f.bytes += e.item.Bytes
	f.tokens += e.item.Tokens
	s.waitingCount++
	s.bytes += e.item.Bytes
	s.tokens += e.item.Tokens
}

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

// tidy forgets a flow that is empty and would come back the same.
func (s *scheduler) deleteIfIdle(f *flow) {
	if len(f.waiting) == 0 && f.virtualTime <= s.virtualTime-s.maxCredit() {
		delete(s.flows, f.account)
	}
}

// settle forgets the flows that the virtual time has passed. When nothing waits
// nobody is owed anything, and all start anew.
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
