package figlimiter

import (
	"sync"
	"time"
)

const (
	// Presume is how long an instance that isn't heard of is presumed to go on
	// spending: longer than the outages of the two sites' days.
	Presume = 20 * time.Second
	// startPart is the part of the burst that an account has at first, so that
	// many instances that start at once don't grant as many bursts.
	startPart = 0.25
	// debtLimit bounds the debt that reports of others may leave, in seconds of
	// the rate. More would refuse for longer than a caller waits.
	debtLimit = 2.0
	// paceSpan is the time over which the pace of another instance is taken: some eight
	// reports. Over one second instances stop and start together and pass the bound,
	// see TestBoundFarAboveRate.
	paceSpan = 3 * time.Second
	// silence is how long an instance isn't heard of until what is known of its pace
	// is taken for all of it: two missed reports.
	silence = time.Second
	// idleForget drops accounts that nobody has used for so long.
	idleForget = 2 * time.Minute
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
type Grade uint8

const (
	// Refused means that the limits don't allow it now.
	Refused Grade = iota
	// Within means that it is within rate and burst.
	Within
	// Spare means that it is beyond them, and within what operators tolerate.
	Spare
)

// Ledger holds the buckets of all accounts. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	accounts map[string]*bucket
	peers    map[string]*peer
}

// New returns a ledger without accounts.
func New() *Ledger {
	return &Ledger{accounts: map[string]*bucket{}, peers: map[string]*peer{}}
}

// bucket is one account.
type bucket struct {
	limits Limits
	// level is what is left of the burst, spare of the tolerance.
	level  float64
	spare  float64
	at     time.Time
	usedAt time.Time
	// spent is what this instance has charged in its life.
	spent int64
}

// peer is what another instance has reported.
type peer struct {
	incarnation uint64
	heardAt     time.Time
	accounts    map[string]*account
}

// account is one account at another instance.
type account struct {
	spent int64
	// pace is what it spends in a second, as an average that starts from nothing;
	// known is the part of the average that reports have filled, from 0 to 1.
	pace, known float64
	// presumed is what was charged for it since its last report.
	presumed float64
}

// Take charges cost to an account. If its limits don't allow that, it returns
// Refused and when to come back.
func (l *Ledger) Take(now time.Time, name string, limits Limits, cost int64) (Grade, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, name, limits)
	if limits.Rate <= 0 {
		b.spent += cost
		return Within, 0
	}
	l.refill(now)
	// A request above the burst is let through from a full bucket: no wait would
	// ever make room for it.
	need := min(float64(cost), b.limits.Burst)
	grade := Within
	if b.level < need {
		grade = Spare
		if b.spare <= 0 || b.level+b.spare < float64(cost) {
			return Refused, time.Duration((need - b.level) / limits.Rate * float64(time.Second))
		}
	}
	b.spend(float64(cost))
	b.spent += cost
	return grade, 0
}

// Refund gives back the cost of a request that certainly did not run.
func (l *Ledger) Refund(now time.Time, name string, cost int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.accounts[name]
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
	report := make(map[string]int64, len(l.accounts))
	for name, b := range l.accounts {
		if now.Sub(b.usedAt) > idleForget {
			delete(l.accounts, name)
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
	span := max(now.Sub(p.heardAt), time.Millisecond)
	for name, spent := range report {
		a, ok := p.accounts[name]
		if !ok {
			a = &account{}
			p.accounts[name] = a
		}
		l.charge(name, a, spent, span)
	}
	p.heardAt = now
}

// charge takes what an account spent at another instance since the last report.
func (l *Ledger) charge(name string, a *account, spent int64, span time.Duration) {
	delta := float64(spent - a.spent)
	if b, ok := l.accounts[name]; ok {
		b.spend(delta - a.presumed)
	}
	weight := min(1, float64(span)/float64(paceSpan))
	a.pace = max(0, a.pace*(1-weight)+delta/span.Seconds()*weight)
	a.known = a.known*(1-weight) + weight
	a.spent = spent
	a.presumed = 0
}

func newPeer(now time.Time, incarnation uint64, report map[string]int64) *peer {
	p := &peer{incarnation: incarnation, heardAt: now, accounts: make(map[string]*account, len(report))}
	for name, spent := range report {
		p.accounts[name] = &account{spent: spent}
	}
	return p
}

func (l *Ledger) bucket(now time.Time, name string, limits Limits) *bucket {
	b, ok := l.accounts[name]
	if !ok {
		b = &bucket{limits: limits, level: startPart * limits.Burst, spare: startPart * limits.SpareBurst, at: now}
		l.accounts[name] = b
	}
	b.usedAt = now
	if b.limits != limits {
		b.limits = limits
		b.level = min(b.level, limits.Burst)
		b.spare = min(b.spare, limits.SpareBurst)
	}
	return b
}

// refill lets all buckets earn, and charges what the others are presumed to spend.
func (l *Ledger) refill(now time.Time) {
	for name, b := range l.accounts {
		span := now.Sub(b.at)
		if span <= 0 {
			continue
		}
		presumed := 0.0
		for _, p := range l.peers {
			presumed += p.presume(name, b.at, now)
		}
		b.spare = min(b.spare+b.limits.SpareRate*span.Seconds(), b.limits.SpareBurst)
		b.spend(presumed - b.limits.Rate*span.Seconds())
		b.at = now
	}
	for name, p := range l.peers {
		if now.Sub(p.heardAt) > 2*Presume {
			delete(l.peers, name)
		}
	}
}

// presume returns what the account is taken to have spent there in a span.
func (p *peer) presume(name string, from, to time.Time) float64 {
	a, ok := p.accounts[name]
	if !ok || a.pace <= 0 {
		return 0
	}
	if end := p.heardAt.Add(Presume); to.After(end) {
		to = end
	}
	if from.Before(p.heardAt) {
		from = p.heardAt
	}
	pace := a.pace
	if to.Sub(p.heardAt) > silence {
		pace /= a.known
	}
	spent := pace * max(0, to.Sub(from).Seconds())
	a.presumed += spent
	return spent
}

// spend takes an amount from the burst first and then from the tolerance. A
// negative amount fills the burst.
func (b *bucket) spend(amount float64) {
	b.level = min(b.level-amount, b.limits.Burst)
	if b.level >= 0 {
		return
	}
	b.spare += b.level
	b.level = 0
	// What is still missing is a debt that the rate has to earn.
	if b.spare < 0 {
		b.level = max(b.spare, -debtLimit*b.limits.Rate)
		b.spare = 0
	}
}
