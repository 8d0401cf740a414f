package figsend

import (
	"sync"
	"time"
)

const (
	// budgetSlots is the number of slots in the sliding window of a RetryBudget, budgetSlot the length of each.
	budgetSlots = 10
	budgetSlot  = time.Second
)

// RetryBudget limits retries to a fraction of the recent successful calls, so that retries don't multiply the load on
// servers that are failing. It counts over a sliding window of ten seconds. The caller passes the current time, which
// must not go backwards by more than the window. Its methods are safe for concurrent use.
type RetryBudget struct {
	// Fraction is the number of retries that each success in the window allows, such as 0.1.
	Fraction float64
	// MinRetries is the number of retries that the window allows in addition, even without any success.
	MinRetries int

	mu sync.Mutex
	// firstAt is the time of the first call. Slots are counted from it by the monotonic clock, because the
	// system clock may jump.
	firstAt time.Time
	slots   [budgetSlots]budgetCount
}

// budgetCount holds the counts of one slot. number is the slot's position since firstAt.
type budgetCount struct {
	number             int64
	successes, retries int
}

// RecordSuccess counts a call that was answered.
func (b *RetryBudget) RecordSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).successes++
}

// SetMinRetries changes MinRetries.
func (b *RetryBudget) SetMinRetries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.MinRetries = n
}

// RecordRetry counts a retry, even if the budget doesn't allow one.
func (b *RetryBudget) RecordRetry(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(now).retries++
}

// Allow counts a retry and returns true if the budget allows one. Otherwise it counts nothing and returns false.
func (b *RetryBudget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.availableLocked(now) {
		return false
	}
	b.slot(now).retries++
	return true
}

// Available returns whether Allow would return true, and counts nothing.
func (b *RetryBudget) Available(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availableLocked(now)
}

func (b *RetryBudget) availableLocked(now time.Time) bool {
	current := b.slot(now)
	successes, retries := 0, 0
	for i := range b.slots {
		if s := &b.slots[i]; s.number > current.number-budgetSlots {
			successes += s.successes
			retries += s.retries
		}
	}
	return float64(retries+1) <= float64(b.MinRetries)+b.Fraction*float64(successes)
}

// slot returns the counts of the slot that contains now. Counts left from a previous use of its array element are
// cleared.
func (b *RetryBudget) slot(now time.Time) *budgetCount {
	if b.firstAt.IsZero() {
		// The first slots have numbers above zero, which is that of unused array elements.
		b.firstAt = now.Add(-budgetSlots * budgetSlot)
	}
	number := max(1, int64(now.Sub(b.firstAt)/budgetSlot))
	s := &b.slots[number%budgetSlots]
	if s.number != number {
		*s = budgetCount{number: number}
	}
	return s
}
