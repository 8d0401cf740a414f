package figlimiter

import (
	"sync"
	"time"
)

const (
	// Presume is how long an instance that isn't heard of is presumed to go on
	// spending: longer than the outages of the two sites' days.
	MaxExtrapolation = 20 * time.Second
	// startPart is the part of the burst that an account has at first, so that
	// many instances that start at once don't grant as many bursts.
	initialBurstFraction = 0.25
	// debtLimit bounds the debt that reports of others may leave, in seconds of
	// the rate. More would refuse for longer than a caller waits.
	maxDebtSeconds = 2.0
	// paceSpan is the time over which the pace of another instance is taken: some eight
	// reports. Over one second instances stop and start together and pass the bound,
	// see TestBoundFarAboveRate.
	rateAveragingTime = 3 * time.Second
	// silence is how long an instance isn't heard of until what is known of its pace
	// is taken for all of it: two missed reports.
	reportTimeout = time.Second
	// idleForget drops accounts that nobody has used for so long.
	idleTimeout = 2 * time.Minute
)

// Limits bound one account.
type Limits struct {
	// Rate is what it may spend in a second; 0 means no bound.
	Rate float64
	// Burst is what it may spend at once.
	Burst float64
	// SpareRate and SpareBurst bound what it may spend beyond that while nobody
	// else needs the room; 0 means nothing.
	SpareRate, SpareBurst float64
}

// Grade is how a cost fits an account's limits.
type Decision uint8

const (
	// Refused means that the limits don't allow it now.
	Refused Decision = iota
	// Within means that it is within rate and burst.
	WithinLimits
	// Spare means that it is beyond them, and within what operators tolerate.
	Spare
)

// Ledger holds the buckets of all accounts. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	peers   map[string]*peer
}

// New returns a ledger without accounts.
func New() *Ledger {
	return &Ledger{buckets: map[string]*bucket{}, peers: map[string]*peer{}}
}

// bucket is one account.
type bucket struct {
	limits Limits
	// level is what is left of the burst, spare of the tolerance.
	level      float64
	tolerated  float64
	refilledAt time.Time
	usedAt     time.Time
	// spent is what this instance has charged in its life.
	spent int64
}

// peer is what another instance has reported.
type peer struct {
	incarnation  uint64
	lastReportAt time.Time
	accounts     map[string]*peerAccount
}

// account is one account at another instance.
type peerAccount struct {
	spent int64
	// pace is what it spends in a second, as an average that starts from nothing;
	// known is the part of the average that reports have filled, from 0 to 1.
	rate, averageFill float64
	// presumed is what was charged for it since its last report.
	extrapolated float64
}

// Take charges cost to an account. If its limits don't allow that, it returns
// Refused and when to come back.
func (l *Ledger) Take(now time.Time, name string, limits Limits, cost int64) (Decision, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketFor(now, name, limits)
	if limits.Rate <= 0 {
		b.spent += cost
		return WithinLimits, 0
	}
	l.refill(now)
	// A request above the burst is let through from a full bucket: no wait would
	// ever make room for it.
	need := min(float64(cost), b.limits.Burst)
	decision := WithinLimits
	if b.level < need {
		decision = Spare
		if b.tolerated <= 0 || b.level+b.tolerated < float64(cost) {
			return Refused, time.Duration((need - b.level) / limits.Rate * float64(time.Second))
		}
	}
	b.spend(float64(cost))
	b.spent += cost
	return decision, 0
}

// Refund gives back the cost of a request that certainly did not run.
func (l *Ledger) Refund(now time.Time, name string, cost int64) {
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

// Report returns what this instance has charged to each account in its life.
func (l *Ledger) Report(now time.Time) map[string]int64 {
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

// Heard takes the report of another instance. A new incarnation begins anew.
func (l *Ledger) Heard(now time.Time, from string, incarnation uint64, report map[string]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	p, known := l.peers[from]
	if !known || p.incarnation != incarnation {
		// What it spent before it was first heard of has passed in part; it starts
		// from its report, and is charged from here on.
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

// charge takes what an account spent at another instance since the last report.
func (l *Ledger) applySpent(name string, a *peerAccount, spent int64, span time.Duration) {
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

func newPeer(now time.Time, incarnation uint64, report map[string]int64) *peer {
	p := &peer{incarnation: incarnation, lastReportAt: now, accounts: make(map[string]*peerAccount, len(report))}
	for name, spent := range report {
		p.accounts[name] = &peerAccount{spent: spent}
	}
	return p
}

func (l *Ledger) bucketFor(now time.Time, name string, limits Limits) *bucket {
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{limits: limits, level: initialBurstFraction * limits.Burst, tolerated: initialBurstFraction * limits.SpareBurst, refilledAt: now}
		l.buckets[name] = b
	}
	b.usedAt = now
	if b.limits != limits {
		b.limits = limits
		b.level = min(b.level, limits.Burst)
		b.tolerated = min(b.tolerated, limits.SpareBurst)
	}
	return b
}

// refill lets all buckets earn, and charges what the others are presumed to spend.
func (l *Ledger) refill(now time.Time) {
	for name, b := range l.buckets {
		span := now.Sub(b.refilledAt)
		if span <= 0 {
			continue
		}
		extrapolated := 0.0
		for _, p := range l.peers {
			extrapolated += p.extrapolate(name, b.refilledAt, now)
		}
		b.tolerated = min(b.tolerated+b.limits.SpareRate*span.Seconds(), b.limits.SpareBurst)
		b.spend(extrapolated - b.limits.Rate*span.Seconds())
		b.refilledAt = now
	}
	for name, p := range l.peers {
		if now.Sub(p.lastReportAt) > 2*MaxExtrapolation {
			delete(l.peers, name)
		}
	}
}

// presume returns what the account is taken to have spent there in a span.
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

// spend takes an amount from the burst first and then from the tolerance. A
// negative amount fills the burst.
func (b *bucket) spend(amount float64) {
	b.level = min(b.level-amount, b.limits.Burst)
	if b.level >= 0 {
		return
	}
	b.tolerated += b.level
	b.level = 0
	// What is still missing is a debt that the rate has to earn.
	if b.tolerated < 0 {
		b.level = max(b.tolerated, -maxDebtSeconds*b.limits.Rate)
		b.tolerated = 0
	}
}
