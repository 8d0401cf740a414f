package figproxy

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// answerMargin is how long before its limit a request gets its final answer, so
	// that the answer reaches the caller in time.
	answerMargin = 25 * time.Millisecond
	// minOutageRetryAfter is when to come back to an instance that has no declarations yet,
	// or a pool that has no server: reading them takes a fraction of it. While the
	// source is away the wait is as long as that has lasted, up to maxOutageRetryAfter, the
	// longest outage of the sites' days.
	minOutageRetryAfter = 400 * time.Millisecond
	maxOutageRetryAfter = 5 * time.Second
	// rateWaitFraction is how long a request waits for its account's rate, as a part of its
	// latency target. An answer after it is still on time.
	rateWaitFraction = 0.3
	// fullRetryAfter is when to come back after servers refused for want of room: the
	// time in which about as many requests end as a server has slots.
	fullRetryAfter = 150 * time.Millisecond
)

// ErrCallerLeft is the cause of a context that ends because the caller has gone.
var ErrCallerLeft = errors.New("the caller has left")

// Call is one caller's request. Nothing in it is shared with the connection that
// it came from.
type Call struct {
	Claims

	// Arrived is when the request was read.
	Arrived time.Time
	// Host is the host that it names; Path is the path without the query, Target
	// the path and query as they stand on the request line.
	Host, Path, Target string
	Method             string
	// Header holds the caller's fields but for those that the dialect owns.
	Header []figsend.Header
	Body   []byte
}

// Reply is the answer to one request.
type Reply struct {
	// Status and Header begin the answer.
	Status int
	Header []figsend.Header
	// Body is the whole body, if Stream is nil.
	Body []byte
	// Stream gives the events as they come. It must be closed. A read error other
	// than io.EOF means that the answer is cut.
	Stream io.ReadCloser
	// RetryAfter is when the caller may come back; 0 says nothing.
	RetryAfter time.Duration
}

// Retries bounds what is sent beyond the first send of each request, for each pool.
type Retries struct {
	// Fraction is how many further sends each request allows.
	Fraction float64
	// Floor is how many ten seconds allow at all instances together.
	Floor int
	// Members returns how many instances share the floor.
	Members func(now time.Time) int

	mu    sync.Mutex
	pools map[string]*figsend.RetryBudget
}

// Flow holds what requests need. All fields are required.
type Flow struct {
	// DataCentre is the one that this instance stands in.
	DataCentre string
	Clock      figtimer.Clock
	Timer      *figtimer.Timer
	Random     func() float64
	View       func() *figcatalogue.View
	// Away is how long what the platform publishes can't be read, 0 if it can.
	Away      func(now time.Time) time.Duration
	Picker    *figbalancer.Picker
	Ledger    *figlimiter.Ledger
	Retries   *Retries
	Tolerance Tolerance
	// Queue returns the queue of a pool of model engines.
	Queue   func(pool string) *figqueue.Queue
	Sender  *figsend.Sender
	Dialect *Dialect
	// Isolated says that this instance doesn't hear most of the others, so that what
	// it reserves at an engine may not be there.
	Isolated func(now time.Time) bool
	// Share is the part of an account's rate that this instance may grant.
	Share func(now time.Time) float64
	// Count counts an event by one label.
	Count func(name, label, value string)
	// Ended is told of every request that has ended.
	Ended func(figmetric.Request)
}

// exchange is one request on its way.
type exchange struct {
	*Flow
	*Call

	lifecycle *figlifecycle.Life
	ctx       context.Context
	view      *figcatalogue.View
	route     *figroute.Route
	account   *figroute.Account
	pool      string
	// spare says that the request is beyond its account's rate and is served only
	// while there is room.
	overRate bool
	// until is when the request must have its final answer; expires is when the
	// caller stops waiting, which servers are told.
	answerDeadline, callerDeadline time.Time
	// avoid holds the lifetimes of servers that failed the request.
	avoid []string
	// ran holds those on which it may have run.
	ranOn []string
	// last is a server's own answer that stands if no other server does better.
	serverError *figsend.Answer
	sends       int
	// lastTook is how long the last send took.
	lastSendDuration time.Duration
	prefillSends     int
	prefilledTokens  int64
	// reserved is the memory that is kept at a decode server; nil if none is.
	reservation  *figbalancer.Use
	firstEventAt time.Time
	lastEventAt  time.Time
	events       int64
	cleanups     []func()
}

// Serve answers one request. ctx ends when the caller leaves, with ErrCallerLeft
// as its cause. The reply of a stream holds the request until it is closed.
func (f *Flow) Serve(ctx context.Context, call *Call) *Reply {
	x := &exchange{Flow: f, Call: call, view: f.View()}
	if r := x.resolve(); r != nil {
		return r
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, x.answerDeadline)
	lifecycle, requestCtx := figlifecycle.New(deadlineCtx, figlifecycle.Options{ID: call.ID, Idempotent: x.route.Kind.Repeats(), TrustRefusals: true})
	x.lifecycle, x.ctx = lifecycle, requestCtx
	x.cleanups = append(x.cleanups, cancel)
	if cause := x.charge(); cause != nil {
		return x.refuse(*cause)
	}
	lifecycle.Advance(figlifecycle.Admitted)
	if x.route.Kind.Streams() {
		return x.serveStream()
	}
	return x.servePlain()
}

// resolve finds the route and the client account. It returns the refusal of a
// request that has none.
func (x *exchange) resolve() *Reply {
	table := x.view.Table
	if table == nil {
		return x.reject(figlifecycle.Cause{Reason: figlifecycle.NoServer, Err: errNoConfiguration, Detail: "This instance has no configuration yet.", RetryAfter: outageRetryAfter(x.Away(x.Clock.Now()))})
	}
	var ok bool
	if x.route, ok = table.Match(x.Host, x.Path); !ok {
		return x.reject(figlifecycle.CauseOf(figlifecycle.NotFound, nil))
	}
	if table.NeedsKey(x.route) {
		if x.account, ok = table.AccountOf(x.Secret); !ok {
			return x.reject(figlifecycle.CauseOf(figlifecycle.Unauthorized, nil))
		}
	}
	x.pool = x.route.Choose(x.Random())
	x.answerDeadline, x.callerDeadline = x.deadlines()
	if !x.answerDeadline.After(x.Clock.Now()) {
		return x.reject(figlifecycle.CauseOf(figlifecycle.Deadline, nil))
	}
	return nil
}

var errNoConfiguration = errors.New("there is no configuration yet")

// outageRetryAfter is when to come back to an instance that can't read its declarations:
// an outage that has lasted for long is likely to last as long again.
func outageRetryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minOutageRetryAfter), maxOutageRetryAfter)
}

// deadlines returns when the final answer is due and when the caller stops waiting.
func (x *exchange) deadlines() (answer, caller time.Time) {
	timeout := x.route.TimeLimit
	if timeout <= 0 || (x.Patience > 0 && x.Patience < timeout) {
		timeout = x.Patience
	}
	caller = x.Arrived.Add(timeout)
	return caller.Add(-min(answerMargin, timeout/10)), caller
}

// charge takes the request's cost from the account's rate.
func (x *exchange) charge() *figlifecycle.Cause {
	if x.account == nil {
		return nil
	}
	account := x.account
	cost := account.Cost(x.PromptTokens + x.OutputTokens)
	start := x.Clock.Now()
	limits := x.Tolerance.limiterLimits(account)
	if x.Isolated(start) {
		limits.SpareRate, limits.SpareBurst = 0, 0
	}
	share := x.Share(start)
	limits.Rate *= share
	limits.Burst *= share
	decision, wait := x.Ledger.Take(start, account.Name, limits, cost)
	if maxWait := time.Duration(rateWaitFraction * float64(x.route.Target)); decision == figlimiter.Refused && wait <= maxWait {
		// The rate allows it in account moment: sooner than the caller could come back.
		if x.Timer.Sleep(x.ctx, wait) == nil {
			decision, wait = x.Ledger.Take(x.Clock.Now(), account.Name, limits, cost)
		}
	}
	if decision != figlimiter.Refused {
		x.overRate = decision == figlimiter.Spare
		x.lifecycle.Hold("charge", func() { x.refund(cost) })
		return nil
	}
	x.Count("rate_refusals", "account", account.Name)
	klog.InfoS("over the rate", "requestId", x.ID, "account", account.Name, "cost", cost, "rate", account.Rate,
		"version", x.view.Table.Version, "wait", wait, "waited", x.Clock.Now().Sub(start))
	return &figlifecycle.Cause{Reason: figlifecycle.OverBudget, RetryAfter: wait}
}

// Tolerance is what operators accept beyond an account's rate and burst in any
// window of all instances together. It is used while there is room only.
type Tolerance struct {
	// Window is the time over which it is counted.
	Window time.Duration
	// Overage is a part of rate times window plus burst, Slack an amount in the unit
	// of the rate.
	Overage, Slack float64
}

// toleranceFraction is the part of the tolerance that is given out. The rest covers what
// instances spend before they have heard of each other.
const toleranceFraction = 0.8

// limiterLimits returns the account's limits. Half of the tolerance may be spent at once,
// the other half comes back within a window, so that no window sees more than all.
func (t Tolerance) limiterLimits(account *figroute.Account) figlimiter.Limits {
	limits := figlimiter.Limits{Rate: account.Rate, Burst: account.Burst}
	if t.Window <= 0 || account.Rate <= 0 {
		return limits
	}
	seconds := t.Window.Seconds()
	half := toleranceFraction * (t.Overage*(account.Rate*seconds+account.Burst) + t.Slack) / 2
	limits.SpareBurst = half
	limits.SpareRate = half / seconds
	return limits
}

// refund gives the cost back if the request certainly did not run.
func (x *exchange) refund(cost int64) {
	if r, ended := x.lifecycle.Result(); ended && r.Outcome == figlifecycle.NotRun {
		x.Ledger.Refund(x.Clock.Now(), x.account.Name, cost)
	}
}

// Take allows one further send of a request of pool, or returns false.
func (r *Retries) Take(now time.Time, pool string) bool {
	b := r.budget(pool)
	b.SetFloor(max(1, r.Floor/max(1, r.Members(now))))
	return b.Take(now)
}

// Spend records a further send that was made without asking.
func (r *Retries) Spend(now time.Time, pool string) { r.budget(pool).Spend(now) }

// RecordRequest records a request of pool.
func (r *Retries) RecordRequest(now time.Time, pool string) { r.budget(pool).Success(now) }

func (r *Retries) budget(pool string) *figsend.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.pools[pool]
	if !ok {
		if r.pools == nil {
			r.pools = map[string]*figsend.RetryBudget{}
		}
		b = &figsend.RetryBudget{Fraction: r.Fraction}
		r.pools[pool] = b
	}
	return b
}
