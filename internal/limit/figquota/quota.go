package figquota

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figring"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

const (
	// callTimeout is the timeout of a call to an owner. It allows for some tens of round trips between
	// data centres.
	callTimeout = 100 * time.Millisecond
	// backupFraction is the fraction of rate and burst that the second owner grants.
	backupFraction = 0.25
	// settleInterval is the interval between checks whether the list of members is complete, and
	// maxSettleTime how long a request at a starting instance waits for that.
	settleInterval = 50 * time.Millisecond
	maxSettleTime  = 800 * time.Millisecond
	// maxOwners is the number of members that are tried as the owner of an account, and maxSilent the number of them that
	// may fail to answer.
	maxOwners = 6
	maxSilent = 2
	// moveInterval is the interval between checks whether accounts have got another owner.
	moveInterval = 100 * time.Millisecond
	// refundQueue is the maximum number of refunds that wait to be sent; further ones are lost, which
	// refuses some requests but exceeds no limit.
	refundQueue = 1024
)

// Charge asks the owner of an account to charge the cost of a request, or to refund it.
type Charge struct {
	Account string            `cbor:"1,keyasint"`
	Cost    int64             `cbor:"2,keyasint"`
	Limits  figlimiter.Limits `cbor:"3,keyasint"`
	// Backup says that the first owner didn't answer.
	Backup bool `cbor:"4,keyasint,omitempty"`
	// Refund says that the request did not run, so that its cost is returned.
	Refund bool `cbor:"5,keyasint,omitempty"`
	// Last says that no member owns the account, so that the charge must be decided.
	Last bool `cbor:"6,keyasint,omitempty"`
	// AskOn says that the sender asks the next owner if this one answers NotOwner. Older builds don't.
	AskOn bool `cbor:"7,keyasint,omitempty"`
}

// Verdict is the answer to a Charge.
type Verdict struct {
	Decision figlimiter.Decision `cbor:"1,keyasint"`
	// Wait is the time until the account's bucket is refilled far enough, if Decision is Refused.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// NotOwner says that the instance owns no accounts, because it starts or shuts down. Nothing was decided then.
	NotOwner bool `cbor:"3,keyasint,omitempty"`
}

// Grant is the result of Take.
type Grant struct {
	Verdict

	charge Charge
	// owner holds the bucket that was charged; the zero value means this instance. alone says that no owner decided.
	owner figdiscovery.Member
	alone bool
}

// Decider names who decided the charge, for logs: the owner of the account, the second owner because the first one doesn't
// answer, an owner that starts because all do, or this instance alone.
func (g *Grant) Decider() string {
	switch {
	case g.alone:
		return "alone"
	case g.charge.Backup:
		return "secondOwner"
	case g.charge.Last:
		return "startingOwner"
	default:
		return "owner"
	}
}

// Options holds the dependencies of a Quota. All fields are required.
type Options struct {
	Clock    figtimer.Clock
	Timer    *figtimer.Timer
	Assigner *figassign.Assigner
	// Call sends a charge to another instance.
	Call func(ctx context.Context, to figdiscovery.Member, q *Charge) (*Verdict, error)
	// SendMove passes buckets to another instance.
	SendMove func(ctx context.Context, to figdiscovery.Member, q *Move) (*MoveAnswer, error)
	// MayOwn reports whether this instance may own accounts: its list of members can be taken for complete, and it doesn't
	// shut down.
	MayOwn func(now time.Time) bool
	// Settled reports whether the list of members can be taken for complete, PresentFraction which part
	// of the recent members is present, and Members how many there are at most.
	Settled         func(now time.Time) bool
	PresentFraction func(now time.Time) float64
	Members         func(now time.Time) int
}

// Quota charges requests to accounts, as their owner or by asking it. It is safe for concurrent use.
type Quota struct {
	Options

	// Asked counts calls to owners, Unanswered those that failed, and Alone the requests that no owner
	// decided.
	Asked, Unanswered, Alone atomic.Uint64

	// buckets holds the buckets of the accounts that this instance owns, backups those of accounts whose first owner doesn't
	// answer, and parts its own parts of accounts whose owners don't answer.
	buckets, backups, parts *figlimiter.Limiter
	refunds                 *figring.Ring[Grant]
}

// New returns a Quota without buckets.
func New(o Options) *Quota {
	return &Quota{
		Options: o, buckets: figlimiter.New(), backups: figlimiter.New(), parts: figlimiter.New(),
		refunds: figring.New[Grant](refundQueue, figring.DropOldest),
	}
}

// Take charges the cost of a request to an account. If no owner answers, this instance decides alone.
func (q *Quota) Take(ctx context.Context, account string, limits figlimiter.Limits, cost int64) Grant {
	if limits.Rate <= 0 {
		return Grant{Verdict: Verdict{Decision: figlimiter.WithinLimits}}
	}
	q.waitSettled(ctx)
	charge := Charge{Account: account, Cost: cost, Limits: limits, AskOn: true}
	silent := 0
	var notOwner *figdiscovery.Member
	for _, owner := range q.owners(account) {
		charge.Backup = silent > 0
		switch g, err := q.takeAt(ctx, owner, charge); {
		case err != nil:
			silent++
		case !g.NotOwner:
			return g
		case notOwner == nil:
			notOwner = &owner
		}
		if silent == maxSilent {
			break
		}
	}
	if notOwner != nil && silent == 0 {
		charge.Last = true
		if g, err := q.takeAt(ctx, *notOwner, charge); err == nil && !g.NotOwner {
			return g
		}
	}
	q.Alone.Add(1)
	return q.decideAlone(account, limits, cost)
}

// errUnresponsive is the error of a member that isn't asked because it did not answer lately.
var errUnresponsive = errors.New("the owner of the account did not answer lately")

// takeAt charges an account at an owner.
func (q *Quota) takeAt(ctx context.Context, owner figdiscovery.Member, charge Charge) (Grant, error) {
	if q.Assigner.IsSelf(owner) {
		return Grant{Verdict: *q.Decide(&charge), charge: charge}, nil
	}
	if !q.Assigner.Responsive(owner.Name) {
		return Grant{}, errUnresponsive
	}
	v, err := q.ask(ctx, owner, &charge)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Verdict: *v, charge: charge, owner: owner}, nil
}

// owners returns the members that may own an account, the first one first.
func (q *Quota) owners(account string) []figdiscovery.Member {
	return q.Assigner.Owners("account/"+account, maxOwners)
}

// waitSettled waits until the list of members can be taken for complete, at most for maxSettleTime.
// Without that, many starting instances would take themselves for owners.
func (q *Quota) waitSettled(ctx context.Context) {
	for begun := q.Clock.Now(); !q.Settled(q.Clock.Now()) && q.Clock.Now().Sub(begun) < maxSettleTime; {
		if q.Timer.Sleep(ctx, settleInterval) != nil {
			return
		}
	}
}

// ask sends a charge to an owner, and marks the owner as unresponsive if it doesn't answer while the
// request still waits.
func (q *Quota) ask(ctx context.Context, owner figdiscovery.Member, charge *Charge) (*Verdict, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.Asked.Add(1)
	v, err := q.Call(limited, owner, charge)
	if err == nil {
		return v, nil
	}
	if ctx.Err() == nil {
		q.Unanswered.Add(1)
		q.Assigner.MarkUnresponsive(owner.Name)
		klog.InfoS("the owner of an account does not answer", "account", charge.Account, "owner", owner.Name,
			"backup", charge.Backup, "err", err)
	}
	return nil, err
}

// decideAlone charges this instance's own part of the limits.
func (q *Quota) decideAlone(account string, limits figlimiter.Limits, cost int64) Grant {
	now := q.Clock.Now()
	charge := Charge{
		Account: account, Cost: cost,
		Limits: scale(limits, 1/float64(max(1, q.Members(now))), 0),
	}
	g := Grant{charge: charge, alone: true}
	if float64(cost) > charge.Limits.Burst {
		// A bucket grants any cost when it is full, which n buckets together must not do.
		g.Wait = q.Assigner.RetryTime()
		return g
	}
	g.Decision, g.Wait = q.parts.Take(now, charge.Account, charge.Limits, cost)
	return g
}

// Decide charges or refunds as the owner of the account.
func (q *Quota) Decide(c *Charge) *Verdict {
	now := q.Clock.Now()
	buckets := q.buckets
	if c.Backup {
		buckets = q.backups
	}
	switch {
	case c.Refund:
		buckets.Refund(now, c.Account, c.Cost)
		return &Verdict{}
	case c.AskOn && !c.Last && !q.MayOwn(now):
		return &Verdict{NotOwner: true}
	}
	limits := scale(c.Limits, q.PresentFraction(now), 1)
	if c.Backup {
		limits = scale(limits, backupFraction, 0)
	}
	v := &Verdict{}
	v.Decision, v.Wait = buckets.Take(now, c.Account, limits, c.Cost)
	return v
}

// Handle answers the charge of another instance. A charge without an account, or of less than nothing,
// is refused.
func (q *Quota) Handle(_ context.Context, c *Charge) (*Verdict, error) {
	if c.Account == "" || c.Cost < 0 {
		return &Verdict{Decision: figlimiter.Refused, Wait: time.Second}, nil
	}
	return q.Decide(c), nil
}

// scale returns limits multiplied by a fraction, and their tolerance by that and by tolerance.
func scale(l figlimiter.Limits, fraction, tolerance float64) figlimiter.Limits {
	return figlimiter.Limits{
		Rate: l.Rate * fraction, Burst: l.Burst * fraction,
		ToleratedRate: l.ToleratedRate * fraction * tolerance, ToleratedBurst: l.ToleratedBurst * fraction * tolerance,
	}
}

// Refund returns the cost of a granted request that certainly did not run. It doesn't wait for the
// owner.
func (q *Quota) Refund(g Grant) {
	if g.charge.Account == "" || g.Decision == figlimiter.Refused {
		return
	}
	g.charge.Refund = true
	switch {
	case g.alone:
		q.parts.Refund(q.Clock.Now(), g.charge.Account, g.charge.Cost)
	case g.owner.Name == "":
		q.Decide(&g.charge)
	default:
		q.refunds.Push(g)
	}
}

// Run sends refunds to owners until ctx ends. It returns nil.
func (q *Quota) Run(ctx context.Context) error {
	for {
		g, err := q.refunds.Pop(ctx)
		if err != nil {
			return nil //nolint:nilerr // the context has ended
		}
		if q.Assigner.Responsive(g.owner.Name) {
			if _, err := q.ask(ctx, g.owner, &g.charge); err != nil {
				klog.V(1).InfoS("refund lost", "account", g.charge.Account, "owner", g.owner.Name, "err", err)
			}
		}
	}
}
