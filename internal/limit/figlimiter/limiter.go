package figlimiter

import (
	"sync"
	"time"
)

const (
	// initialBurstFraction is the fraction of the burst in a new bucket, so that an account whose bucket moves to
	// another instance doesn't get its whole burst again.
	initialBurstFraction = 0.25
	// maxDebtSeconds bounds a bucket's debt, in seconds of the rate. More debt would refuse requests for longer than a
	// caller waits.
	maxDebtSeconds = 2.0
	// maxNewAge is the age up to which a new bucket takes over the state of an older one.
	maxNewAge = 5 * time.Second
	// movedTime is how long a bucket is kept after its state has moved to another limiter.
	movedTime = time.Second
	// idleTimeout is the time without a Take after which an account's bucket is deleted, and idleInterval the time
	// between two searches for such buckets.
	idleTimeout  = 2 * time.Minute
	idleInterval = 10 * time.Second
)

// Limits bounds the spending of one account. Amounts are in the unit of cost.
type Limits struct {
	// Rate is the amount per second; zero or less means unlimited.
	Rate float64 `cbor:"1,keyasint"`
	// Burst is the amount that may be spent at once, the capacity of the bucket.
	Burst float64 `cbor:"2,keyasint"`
	// ToleratedRate and ToleratedBurst are rate and capacity of the tolerance, a second bucket for spending beyond Rate
	// and Burst; zero means no tolerance.
	ToleratedRate  float64 `cbor:"3,keyasint,omitempty"`
	ToleratedBurst float64 `cbor:"4,keyasint,omitempty"`
}

// Decision is the result of Take.
type Decision uint8

const (
	// Refused means that the limits don't allow the cost now.
	Refused Decision = iota
	// WithinLimits means that the cost is within rate and burst.
	WithinLimits
	// Tolerated means that the cost exceeds rate and burst but is within the tolerance.
	Tolerated
)

// Limiter holds the token buckets of all accounts. It is safe for concurrent use.
type Limiter struct {
	mu        sync.Mutex
	buckets   map[string]*bucket
	cleanedAt time.Time
}

// New returns a limiter without accounts.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}}
}

// bucket is the token bucket of one account.
type bucket struct {
	limits Limits
	// level is the rest of the burst; below zero it is a debt. tolerated is the rest of the tolerance.
	level      float64
	tolerated  float64
	refilledAt time.Time
	usedAt     time.Time
	createdAt  time.Time
	// spent is the amount charged since createdAt, less what was refunded.
	spent float64
	// isNew says that the bucket has not taken over the state of an older one, movedAt when its state moved to another
	// limiter; zero if it never did.
	isNew   bool
	movedAt time.Time
	// owed is what was charged while the state moved. The limiter that has the state now doesn't know of it.
	owed float64
}

// Take charges cost to an account. If the limits don't allow the cost, it charges nothing and returns Refused and the
// time until the bucket is refilled far enough if nothing is spent meanwhile. limits replaces the limits of the
// previous call.
func (l *Limiter) Take(now time.Time, name string, limits Limits, cost int64) (Decision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limits.Rate <= 0 {
		return WithinLimits, 0
	}
	l.removeIdle(now)
	b := l.bucketFor(now, name, limits)
	b.refill(now)
	// A cost above the burst needs only a full bucket, since no wait would make the level exceed the burst.
	need := min(float64(cost), b.limits.Burst)
	decision := WithinLimits
	if b.level < need {
		decision = Tolerated
		if b.tolerated <= 0 || b.level+b.tolerated < float64(cost) {
			return Refused, time.Duration((need - b.level) / limits.Rate * float64(time.Second))
		}
	}
	b.spend(float64(cost))
	b.spent += float64(cost)
	return decision, 0
}

// Refund takes back the cost of a request that certainly did not run. It does nothing for an unknown account.
func (l *Limiter) Refund(now time.Time, name string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[name]
	if !ok {
		return
	}
	b.refill(now)
	b.spend(-float64(cost))
	b.spent -= float64(cost)
}

// Len returns the number of accounts with a bucket.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.buckets)
}

// removeIdle deletes the buckets that were not used for idleTimeout. l.mu must be held.
func (l *Limiter) removeIdle(now time.Time) {
	if now.Sub(l.cleanedAt) < idleInterval {
		return
	}
	l.cleanedAt = now
	for name, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTimeout {
			delete(l.buckets, name)
		}
	}
}

// bucketFor returns the account's bucket with the given limits, and creates it if there is none. Lower limits cut the
// level at once.
func (l *Limiter) bucketFor(now time.Time, name string, limits Limits) *bucket {
	l.removeMoved(now, name)
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{
			limits: limits,
			level:  initialBurstFraction * limits.Burst, tolerated: initialBurstFraction * limits.ToleratedBurst,
			refilledAt: now, createdAt: now, isNew: true,
		}
		l.buckets[name] = b
	}
	b.usedAt = now
	if b.limits != limits {
		b.limits = limits
		b.level = min(b.level, limits.Burst)
		b.tolerated = min(b.tolerated, limits.ToleratedBurst)
	}
	return b
}

// refill adds the rate since the last refill.
func (b *bucket) refill(now time.Time) {
	span := now.Sub(b.refilledAt)
	if span <= 0 {
		return
	}
	b.tolerated = min(b.tolerated+b.limits.ToleratedRate*span.Seconds(), b.limits.ToleratedBurst)
	b.spend(-b.limits.Rate * span.Seconds())
	b.refilledAt = now
}

// spend takes an amount from the burst. The tolerance pays what the burst lacks, and what remains becomes a debt of at
// most maxDebtSeconds of the rate. A negative amount refills the burst up to its capacity.
func (b *bucket) spend(amount float64) {
	b.level = min(b.level-amount, b.limits.Burst)
	if b.level >= 0 {
		return
	}
	b.tolerated += b.level
	b.level = 0
	// The rest is a debt, which the rate pays off over time.
	if b.tolerated < 0 {
		b.level = max(b.tolerated, -maxDebtSeconds*b.limits.Rate)
		b.tolerated = 0
	}
}
