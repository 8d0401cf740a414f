package figload

import (
	"sync"
	"time"
)

// bucket is the load generator's own token bucket for an account, with the account's declared rate and burst.
// The balance may be negative. It is safe for concurrent use.
type bucket struct {
	mu          sync.Mutex
	rate, burst float64
	balance     float64
	last        time.Time
}

func newBucket(a Account, now time.Time) *bucket {
	b := &bucket{rate: float64(a.Rate), burst: float64(a.Burst), last: now}
	if a.StartFull {
		b.balance = b.burst
	}
	return b
}

// debit removes tokens and reports whether the balance covered them. It removes
// them in either case, since the router may admit a request that this bucket would not.
func (b *bucket) debit(now time.Time, tokens int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	inside := b.balance >= float64(tokens)
	b.balance -= float64(tokens)
	return inside
}

// credit returns unused tokens to the bucket, up to its burst.
func (b *bucket) credit(now time.Time, tokens int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.balance = min(b.balance+float64(tokens), b.burst)
}

// refill adds the tokens that accrued since the last refill. The caller must hold b.mu.
func (b *bucket) refill(now time.Time) {
	b.balance = min(b.balance+b.rate*now.Sub(b.last).Seconds(), b.burst)
	b.last = now
}
