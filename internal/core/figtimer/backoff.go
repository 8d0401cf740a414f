package figtimer

import (
	"math/rand/v2"
	"time"
)

// Backoff computes the delays between attempts: exponential backoff with full jitter, which is a
// random part of a maximum that doubles with each attempt up to a limit.
type Backoff struct {
	// Base is the maximum delay before the second attempt.
	Base time.Duration
	// Limit is the maximum of all delays.
	Limit time.Duration
	// Rand returns a number in [0, 1); nil means math/rand/v2.
	Rand func() float64
}

// Delay returns the delay after the failed attempt with this number; the first attempt has number
// 0.
func (b Backoff) Delay(attempt int) time.Duration {
	longest := b.Limit
	// After 30 doublings, any base in use exceeds any limit; the shift could overflow beyond that.
	if attempt < 30 {
		longest = min(b.Base<<attempt, b.Limit)
	}
	random := b.Rand
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(longest))
}
