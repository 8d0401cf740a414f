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

// flowFor returns the account's flow and sets its weight.
func (s *scheduler) flowFor(account string, weight int64) *flow {
	f := s.flows[account]
	if f == nil {
		f = &flow{account: account}
		s.flows[account] = f
	}
	f.weight = float64(max(1, weight))
	return f
}

// startTime returns the virtual start time of the flow's next entry of an importance. It starts with the full credit.
func (s *scheduler) startTime(f *flow, level int) *float64 {
	if !f.started[level] {
		f.started[level] = true
		f.virtualTime[level] = s.virtualTime[level] - s.maxCredit()
	}
	return &f.virtualTime[level]
}

// startFlow bounds the credit of a flow that has no entry of an importance.
func (s *scheduler) startFlow(f *flow, level int) {
	if f.countAt[level] == 0 {
		start := s.startTime(f, level)
		*start = max(*start, s.virtualTime[level]-s.maxCredit())
	}
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
	s.addAt(f, e, 1)
}

// addAt adds e, or takes it away if sign is -1, in the sums by importance.
func (s *scheduler) addAt(f *flow, e *entry, sign int) {
	level, tokens := e.item.Importance, int64(sign)*e.item.Tokens
	f.countAt[level] += sign
	f.tokensAt[level] += tokens
	s.countAt[level] += sign
	s.tokensAt[level] += tokens
	if e.item.AccountImportance {
		s.ownCount += sign
	}
	if e.late {
		f.lateCount += sign
		s.lateCount += sign
	}
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
	s.addAt(f, e, -1)
}

// deleteIfIdle deletes a flow without waiting entries if flowFor would create it again with at least its present
// virtual time, so that deleting it gives the account no advantage.
func (s *scheduler) deleteIfIdle(f *flow) {
	if len(f.waiting) == 0 && s.startsNoEarlier(f, s.maxCredit()) {
		delete(s.flows, f.account)
	}
}

// startsNoEarlier reports whether a new flow would start with at least the virtual times of f.
func (s *scheduler) startsNoEarlier(f *flow, credit float64) bool {
	for level, started := range f.started {
		if started && f.virtualTime[level] > s.virtualTime[level]-credit {
			return false
		}
	}
	return true
}

// deleteIdleFlows does what deleteIfIdle does, for all flows. If no entry waits, no account is behind another: all flows
// are deleted and virtual time starts again at zero.
func (s *scheduler) deleteIdleFlows() {
	if s.waitingCount == 0 {
		s.virtualTime = [levels]float64{}
		clear(s.flows)
		return
	}
	credit := s.maxCredit()
	for account, f := range s.flows {
		if len(f.waiting) == 0 && s.startsNoEarlier(f, credit) {
			delete(s.flows, account)
		}
	}
}
