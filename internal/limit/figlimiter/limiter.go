package figlimiter

import (
	"sync"
	"time"
)

const (
	// MaxExtrapolation is how long after its last report an instance's spending is extrapolated. It exceeds
	// the duration of usual network outages, so that the sides of a partition keep to their shares during one.
	MaxExtrapolation = 20 * time.Second
	// initialBurstFraction is the fraction of the burst in a new bucket, so that n instances that start together don't
	// grant n full bursts.
	initialBurstFraction = 0.25
	// maxDebtSeconds bounds a bucket's debt, in seconds of the rate. More debt would refuse requests for longer than a
	// caller waits.
	maxDebtSeconds = 2.0
	// rateAveragingTime is the time over which another instance's rate is averaged, about eight reports. With one
	// second, instances stop and start spending in phase and exceed the bound.
	rateAveragingTime = 3 * time.Second
	// reportTimeout is the time without a report, about two missed ones, after which extrapolate divides an average
	// rate by peerAccount.averageFill. The average starts at zero, so after few reports it is below the real rate.
	reportTimeout = time.Second
	// idleTimeout is the time without a Take after which Report deletes an account's bucket.
	idleTimeout = 2 * time.Minute
)

// Limits bounds the spending of one account. Amounts are in the unit of cost.
type Limits struct {
	// Rate is the amount per second; zero or less means unlimited.
	Rate float64
	// Burst is the amount that may be spent at once, the capacity of the bucket.
	Burst float64
	// ToleratedRate and ToleratedBurst are rate and capacity of the tolerance, a second bucket for spending beyond Rate
	// and Burst; zero means no tolerance.
	ToleratedRate, ToleratedBurst float64
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
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a limiter without accounts.
func New() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// bucket is the token bucket of one account at this instance.
type bucket struct {
	limits Limits
	// level is the rest of the burst; below zero it is a debt. tolerated is the rest of the tolerance.
	level      float64
	tolerated  float64
	refilledAt time.Time
	usedAt     time.Time
	// spent is the total that this instance has charged since the bucket was made, less refunds.
	spent int64
}

// peer is the state of another instance, from its reports.
type peer struct {
	incarnation  uint64
	lastReportAt time.Time
	accounts     map[string]*peerAccount
}

// peerAccount is the spending of one account at another instance.
type peerAccount struct {
	// spent is the last reported total.
	spent int64
	// rate is the spending per second, as an exponential average that starts at zero. averageFill is the weight of
	// reported rates in that average, from 0 to 1.
	rate, averageFill float64
	// extrapolated is the estimated spending that this instance has charged since the last report.
	extrapolated float64
}

// Take charges cost to an account. If the limits don't allow the cost, it charges nothing and returns Refused and the
// time until the bucket is refilled far enough if no instance spends meanwhile. limits replaces the limits of the
// previous call.
func (l *Limiter) Take(now time.Time, name string, limits Limits, cost int64) (Decision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketFor(now, name, limits)
	if limits.Rate <= 0 {
		b.spent += cost
		return WithinLimits, 0
	}
	l.refill(now)
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
	b.spent += cost
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
	l.refill(now)
	b.spend(-float64(cost))
	b.spent -= cost
}

// Report returns the total that this instance has charged to each account, without totals of zero. It deletes accounts
// for which Take was not called for 2 minutes; their totals start again at zero.
func (l *Limiter) Report(now time.Time) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := make(map[string]int64, len(l.buckets))
	for name, b := range l.buckets {
		if now.Sub(b.usedAt) > idleTimeout {
			delete(l.buckets, name)
			continue
		}
		if b.spent != 0 {
			report[name] = b.spent
		}
	}
	return report
}

// ApplyReport charges the spending that another instance has reported since its last report. The first report of an
// instance or incarnation sets the starting totals and charges nothing.
func (l *Limiter) ApplyReport(now time.Time, from string, incarnation uint64, report map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	p, known := l.peers[from]
	if !known || p.incarnation != incarnation {
		// Spending before the first report is not charged, because part of it is too old to count. Spending from here on
		// is charged.
		l.peers[from] = newPeer(now, incarnation, report)
		return
	}
	span := max(now.Sub(p.lastReportAt), time.Millisecond)
	for name, spent := range report {
		a, ok := p.accounts[name]
		if !ok {
			a = &peerAccount{}
			p.accounts[name] = a
		}
		l.applySpent(name, a, spent, span)
	}
	p.lastReportAt = now
}

// applySpent replaces the extrapolated spending since the last report, a time span ago, by the reported total spent, and
// updates the average rate.
func (l *Limiter) applySpent(name string, a *peerAccount, spent int64, span time.Duration) {
	delta := float64(spent - a.spent)
	if b, ok := l.buckets[name]; ok {
		b.spend(delta - a.extrapolated)
	}
	weight := min(1, float64(span)/float64(rateAveragingTime))
	a.rate = max(0, a.rate*(1-weight)+delta/span.Seconds()*weight)
	a.averageFill = a.averageFill*(1-weight) + weight
	a.spent = spent
	a.extrapolated = 0
}

// newPeer returns a peer whose totals start at its first report.
func newPeer(now time.Time, incarnation uint64, report map[string]int64) *peer {
	p := &peer{incarnation: incarnation, lastReportAt: now, accounts: make(map[string]*peerAccount, len(report))}
	for name, spent := range report {
		p.accounts[name] = &peerAccount{spent: spent}
	}
	return p
}

// bucketFor returns the account's bucket with the given limits, and creates it if there is none. Lower limits cut the
// level at once.
func (l *Limiter) bucketFor(now time.Time, name string, limits Limits) *bucket {
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{
			limits: limits,
			level:  initialBurstFraction * limits.Burst, tolerated: initialBurstFraction * limits.ToleratedBurst,
			refilledAt: now,
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

// refill adds the rate since the last refill to all buckets and charges the extrapolated spending of other instances. It
// forgets instances that have not reported for twice MaxExtrapolation.
func (l *Limiter) refill(now time.Time) {
	for name, b := range l.buckets {
		span := now.Sub(b.refilledAt)
		if span <= 0 {
			continue
		}
		extrapolated := 0.0
		for _, p := range l.peers {
			extrapolated += p.extrapolate(name, b.refilledAt, now)
		}
		b.tolerated = min(b.tolerated+b.limits.ToleratedRate*span.Seconds(), b.limits.ToleratedBurst)
		b.spend(extrapolated - b.limits.Rate*span.Seconds())
		b.refilledAt = now
	}
	for name, p := range l.peers {
		if now.Sub(p.lastReportAt) > 2*MaxExtrapolation {
			delete(l.peers, name)
		}
	}
}

// extrapolate returns the estimated spending of the account at p between from and to, and adds it to the account's
// extrapolated sum. Time before the last report or more than MaxExtrapolation after it doesn't count.
func (p *peer) extrapolate(name string, from, to time.Time) float64 {
	a, ok := p.accounts[name]
	if !ok || a.rate <= 0 {
		return 0
	}
	if end := p.lastReportAt.Add(MaxExtrapolation); to.After(end) {
		to = end
	}
	if from.Before(p.lastReportAt) {
		from = p.lastReportAt
	}
	rate := a.rate
	if to.Sub(p.lastReportAt) > reportTimeout {
		rate /= a.averageFill
	}
	spent := rate * max(0, to.Sub(from).Seconds())
	a.extrapolated += spent
	return spent
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
