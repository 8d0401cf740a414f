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
	"figtrail.dev/figtrail/internal/limit/figquota"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
	"figtrail.dev/figtrail/internal/place/figquarantine"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// answerMargin is how long before the caller's deadline the answer is due, so that it
	// still reaches the caller in time. A tenth of the request's timeout is used if that
	// is shorter.
	answerMargin = 25 * time.Millisecond
	// minOutageRetryAfter is the Retry-After of an instance that has read no configuration
	// yet, or of a pool without a server. Reading the configuration takes a fraction of it.
	// While the configuration source can't be read, the Retry-After is the time that the
	// outage has lasted, up to maxOutageRetryAfter: such outages last 5 s at most.
	minOutageRetryAfter = 400 * time.Millisecond
	maxOutageRetryAfter = 5 * time.Second
	// rateWaitFraction is the longest time that a request waits for its account's rate
	// limit, as a fraction of the route's latency target. An answer after such a wait is
	// still within the target.
	rateWaitFraction = 0.3
	// fullRetryAfter is the Retry-After when servers refused the request for lack of room.
	// In this time about as many requests end at a server as it has slots.
	fullRetryAfter = 150 * time.Millisecond
)

// ErrCallerLeft is the cause of a context that is cancelled because the caller closed the
// connection.
var ErrCallerLeft = errors.New("the caller closed the connection")

// Call is one caller's request. It shares no memory with the connection that the request
// was read from.
type Call struct {
	CallerMetadata

	// Arrived is when the request was read.
	Arrived time.Time
	// Host is the requested host. Path is the path without the query; Target is the path
	// and query exactly as on the request line.
	Host, Path, Target string
	Method             string
	// Header holds the caller's header fields without those that Dialect.StripsFromRequest
	// names.
	Header []figsend.Header
	Body   []byte
}

// Reply is the answer to one request.
type Reply struct {
	// Status and Header are the HTTP status and header of the answer.
	Status int
	Header []figsend.Header
	// Body is the whole body. It is used if Stream is nil.
	Body []byte
	// Stream returns the events of a stream as they arrive; nil if the answer is in Body.
	// It must be closed. A read error other than io.EOF means that the answer is
	// incomplete.
	Stream io.ReadCloser
	// RetryAfter is how long the caller should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
}

// RetryBudgets limits the retries of each pool to a fraction of its requests, plus a floor.
// It is safe for concurrent use.
type RetryBudgets struct {
	// Fraction is the number of retries that each request adds to the budget.
	Fraction float64
	// Floor is the number of retries that all instances together may make in ten seconds
	// without any request. Each instance gets an equal part, but at least one.
	Floor int
	// Members returns the number of instances that share the floor.
	Members func(now time.Time) int

	mu    sync.Mutex
	pools map[string]*figsend.RetryBudget
}

// Proxy holds the dependencies and settings for serving requests. All fields are required.
type Proxy struct {
	// DataCentre is the name of this instance's data centre.
	DataCentre string
	Clock      figtimer.Clock
	Timer      *figtimer.Timer
	Random     func() float64
	View       func() *figcatalogue.View
	// SourceOutage returns for how long the configuration source hasn't been readable; 0 if
	// it is.
	SourceOutage func(now time.Time) time.Duration
	// Placer places requests. Picker records this instance's own sends, and picks servers while no
	// coordinator answers.
	Picker *figbalancer.Picker
	Placer *figcoordinator.Placer
	Quota  *figquota.Quota
	// Quarantine knows the prompt parts on which servers crash.
	Quarantine *figquarantine.Quarantine
	Retries    *RetryBudgets
	Tolerance  Tolerance
	Sender     *figsend.Sender
	Dialect    *Dialect
	// Draining returns the limits of the drain in progress, or the zero value.
	Draining func() Drain
	// Count increments the counter called name for one label and its value.
	Count func(name, label, value string)
	// OnRequestEnd is called once for each request after it has ended.
	OnRequestEnd func(figmetric.Request)
}

// exchange is the state of one request, from Serve until its final report.
type exchange struct {
	*Proxy
	*Call

	lifecycle *figlifecycle.Lifecycle
	ctx       context.Context
	view      *figcatalogue.View
	route     *figroute.Route
	account   *figroute.Account
	pool      string
	// overRate says that the request exceeds its account's rate and was admitted within the
	// tolerance. It is served only while there is room.
	overRate bool
	// trial says that the request is to try a prompt with a quarantined part.
	trial bool
	// answerDeadline is when the final answer is due. callerDeadline is when the caller
	// stops waiting; servers are sent the time left until then.
	answerDeadline, callerDeadline time.Time
	sendHistory

	// placement is the placement of a model request that no send has taken over yet; nil if
	// there is none.
	placement *figcoordinator.Placement
	// replacement is the watch on the last send if that has failed or was given up while another server got the
	// request. That send is the next one, and its retry has been taken from the budget. It is nil if there is none.
	replacement *silenceWatch
	// replaces is the watch for which this copy of an exchange sends the request to another server; nil if it is
	// no copy.
	replaces *silenceWatch
	// leftSilent is the lifetime of the silent server that was given up for the send after it; empty if there is
	// none.
	leftSilent   string
	firstEventAt time.Time
	lastEventAt  time.Time
	events       int64
	cleanups     []func()
}

// sendHistory is what is known from the sends made for a request.
type sendHistory struct {
	// avoid holds the lifetimes of servers that failed this request; they are not picked for
	// it again.
	avoid []string
	// ranOn holds the lifetimes of servers on which the request may have run.
	ranOn []string
	// serverError is the latest 5xx answer of a server. It is relayed if no retry succeeds.
	serverError *figsend.Answer
	sends       int
	// lastResult is the result of the last failed send.
	lastResult figbalancer.Result
	// lastSendDuration is how long the last send took.
	lastSendDuration time.Duration
	// namedLimit is the rate limit that the last answering server named; empty if it named none.
	namedLimit      string
	prefillSends    int
	prefilledTokens int64
}

// Serve serves one request and returns its answer, never nil. Cancel ctx with the cause
// ErrCallerLeft when the caller closes the connection. A request whose reply has a Stream
// ends when that stream has been read to its end or closed.
func (p *Proxy) Serve(ctx context.Context, call *Call) *Reply {
	x := &exchange{Proxy: p, Call: call, view: p.View()}
	if r := x.resolve(); r != nil {
		return r
	}
	deadlineCtx, cancel := context.WithDeadline(ctx, x.answerDeadline)
	lifecycle, requestCtx := figlifecycle.New(deadlineCtx, figlifecycle.Options{
		ID:            call.ID,
		Idempotent:    x.route.Kind.Retryable(),
		TrustRefusals: true,
	})
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

// resolve matches the route, authenticates the client account, chooses the pool and sets
// the deadlines. It returns nil, or the error answer to a request that can't be served.
func (x *exchange) resolve() *Reply {
	table := x.view.Table
	if table == nil {
		return x.reject(figlifecycle.Cause{
			Reason:     figlifecycle.NoServer,
			Err:        errNoConfiguration,
			Detail:     "This instance has no configuration yet.",
			RetryAfter: outageRetryAfter(x.SourceOutage(x.Clock.Now())),
		})
	}
	var ok bool
	if x.route, ok = table.Match(x.Host, x.Path); !ok {
		return x.reject(figlifecycle.CauseOf(figlifecycle.NotFound, nil))
	}
	if table.NeedsKey(x.route) {
		if x.account, ok = table.AccountByKey(x.Secret); !ok {
			return x.reject(figlifecycle.CauseOf(figlifecycle.Unauthorized, nil))
		}
	}
	x.pool = x.route.ChoosePool(x.Random())
	if err := x.checkQuarantine(); err != nil {
		return x.reject(quarantineCause(err))
	}
	x.answerDeadline, x.callerDeadline = x.deadlines()
	if !x.answerDeadline.After(x.Clock.Now()) {
		return x.reject(figlifecycle.CauseOf(figlifecycle.Deadline, nil))
	}
	if err := x.checkDrain(""); err != nil {
		return x.reject(drainCause(err))
	}
	return nil
}

var errNoConfiguration = errors.New("no configuration has been read yet")

// outageRetryAfter returns the Retry-After of an instance that has no configuration, given
// for how long the configuration source has been unreadable: an outage is expected to go on
// for as long as it has lasted.
func outageRetryAfter(outage time.Duration) time.Duration {
	return min(max(outage, minOutageRetryAfter), maxOutageRetryAfter)
}

// deadlines returns when the final answer is due and when the caller stops waiting. The
// shorter one of the route's time limit and the caller's timeout applies; 0 counts as not
// given.
func (x *exchange) deadlines() (answer, caller time.Time) {
	timeout := x.route.TimeLimit
	if timeout <= 0 || (x.CallerTimeout > 0 && x.CallerTimeout < timeout) {
		timeout = x.CallerTimeout
	}
	caller = x.Arrived.Add(timeout)
	return caller.Add(-min(answerMargin, timeout/10)), caller
}

// charge takes the request's cost from the account's rate limit, and waits for it if the
// wait is short. It returns nil if the request is admitted and otherwise why it isn't.
// Routes without a key aren't charged.
func (x *exchange) charge() *figlifecycle.Cause {
	if x.account == nil {
		return nil
	}
	account := x.account
	cost := account.Cost(x.PromptTokens + x.OutputTokens)
	start := x.Clock.Now()
	limits := x.Tolerance.limiterLimits(account)
	grant := x.Quota.Take(x.ctx, account.Name, limits, cost)
	maxWait := time.Duration(rateWaitFraction * float64(x.route.LatencyTarget))
	if grant.Decision == figlimiter.Refused && grant.Wait <= maxWait {
		// Waiting here is quicker than a retry of the caller.
		if x.Timer.Sleep(x.ctx, grant.Wait) == nil {
			grant = x.Quota.Take(x.ctx, account.Name, limits, cost)
		}
	}
	if grant.Decision != figlimiter.Refused {
		x.overRate = grant.Decision == figlimiter.Tolerated
		x.lifecycle.RegisterRelease("charge", func() { x.refund(grant) })
		return nil
	}
	wait := grant.Wait
	x.Count("rate_refusals", "account", account.Name)
	klog.InfoS("over the rate", "requestId", x.ID, "account", account.Name, "cost", cost, "rate", account.Rate,
		"version", x.view.Table.Version, "wait", wait, "waited", x.Clock.Now().Sub(start), "decider", grant.Decider())
	return &figlifecycle.Cause{Reason: figlifecycle.OverBudget, RetryAfter: wait}
}

// Tolerance is how much all instances together may admit beyond an account's rate and burst
// in any window of time. Requests within it are served only while there is room.
type Tolerance struct {
	// Window is the length of the time window; 0 means no tolerance.
	Window time.Duration
	// Overage is a fraction of what the account may use in a window, which is its rate times
	// the window plus its burst. Slack is an amount in the unit of the rate; it is added.
	Overage, Slack float64
}

// toleranceFraction is the fraction of the tolerance that requests may use. The rest covers
// what a second owner of an account grants before a network partition is noticed; see figquota.
const toleranceFraction = 0.8

// limiterLimits returns the limits of the account's token bucket. Half of the usable
// tolerance is burst and the other half refills within one window, so that no window
// exceeds the tolerance.
func (t Tolerance) limiterLimits(account *figroute.Account) figlimiter.Limits {
	limits := figlimiter.Limits{Rate: account.Rate, Burst: account.Burst}
	if t.Window <= 0 || account.Rate <= 0 {
		return limits
	}
	seconds := t.Window.Seconds()
	half := toleranceFraction * (t.Overage*(account.Rate*seconds+account.Burst) + t.Slack) / 2
	limits.ToleratedBurst = half
	limits.ToleratedRate = half / seconds
	return limits
}

// refund returns the cost to the account's rate limit if the request is known not to have
// run. It is called when the lifecycle ends.
func (x *exchange) refund(g figquota.Grant) {
	if r, ended := x.lifecycle.Result(); ended && r.Outcome == figlifecycle.NotRun {
		x.Quota.Refund(g)
	}
}

// Take takes one retry from the budget of pool. It returns false if the budget is used up.
func (r *RetryBudgets) Take(now time.Time, pool string) bool {
	b := r.budget(pool)
	b.SetMinRetries(max(1, r.Floor/max(1, r.Members(now))))
	return b.Allow(now)
}

// Available says whether Take would take a retry.
func (r *RetryBudgets) Available(now time.Time, pool string) bool {
	b := r.budget(pool)
	b.SetMinRetries(max(1, r.Floor/max(1, r.Members(now))))
	return b.Available(now)
}

// Spend records a retry that was made without Take, even if the budget is used up.
func (r *RetryBudgets) Spend(now time.Time, pool string) { r.budget(pool).RecordRetry(now) }

// RecordRequest adds a request of pool, which allows Fraction more retries for ten seconds.
func (r *RetryBudgets) RecordRequest(now time.Time, pool string) { r.budget(pool).RecordSuccess(now) }

// budget returns the budget of pool, which is created on first use.
func (r *RetryBudgets) budget(pool string) *figsend.RetryBudget {
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
