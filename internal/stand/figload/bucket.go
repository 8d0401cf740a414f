package figload

import (
	"sync"
	"time"
)

// bucket is a token bucket on the caller's side with the account's declared rate and burst.
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

// take debits tokens and reports whether the balance covered them. It debits in
// either case, since the router may admit a request that this bucket would not.
func (b *bucket) take(now time.Time, tokens int64) bool {
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

func (b *bucket) refill(now time.Time) {
	b.balance = min(b.balance+b.rate*now.Sub(b.last).Seconds(), b.burst)
	b.last = now
}
