package figload

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Run sends the load and returns the report when the last request has ended.
// When ctx ends, it starts no more requests and cancels the open ones.
func Run(ctx context.Context, opts Options) (*Report, error) {
	opts = opts.withDefaults()
	if len(opts.Targets) == 0 {
		return nil, errors.New("load options have no targets")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: opts.MaxOpen, DisableCompression: true}
	defer transport.CloseIdleConnections()
	l := &load{
		Options: opts,
		timer:   figtimer.New(opts.Clock),
		client:  &http.Client{Transport: transport},
		slots:   make(chan struct{}, opts.MaxOpen),
	}
	report := &Report{Seed: opts.Seed, Duration: opts.Duration}
	sending, stop := context.WithTimeout(ctx, opts.Duration)
	defer stop()
	var arrivals sync.WaitGroup
	for i, a := range opts.Accounts {
		c := newCaller(l, a, opts.Seed+uint64(i))
		report.Accounts = append(report.Accounts, c.result)
		for _, k := range c.kinds() {
			arrivals.Go(func() { c.arrive(ctx, sending, k) })
		}
	}
	arrivals.Wait()
	l.requests.Wait()
	return report, nil
}

// load holds the state that the callers of one run share.
type load struct {
	Options
	timer    *figtimer.Timer
	client   *http.Client
	slots    chan struct{}
	started  atomic.Int64
	requests sync.WaitGroup
}

// target returns the address of the instance for request n, round robin like a load balancer.
func (l *load) target(n int64) string {
	return l.Targets[int(n)%len(l.Targets)]
}

// caller sends the load of one client account.
type caller struct {
	*load
	account Account
	bucket  *bucket
	result  *AccountReport
	seed    uint64
	prefix  string
}

func newCaller(l *load, a Account, seed uint64) *caller {
	return &caller{
		load:    l,
		account: a,
		bucket:  newBucket(a, l.Clock.Now()),
		result:  newAccountReport(a.Name),
		seed:    seed,
		prefix:  filler(rand.New(rand.NewPCG(seed, 0)), a.PrefixTokens),
	}
}

// kind is a kind of request with its own arrival rate. stream selects its random sequence.
type kind struct {
	stream    uint64
	perSecond float64
	send      func(context.Context, arrival)
}

// arrival is one request to send, with its number in the run and its own random source.
type arrival struct {
	number int64
	random *rand.Rand
}

// kinds returns the kinds of requests that have an arrival rate above 0.
func (c *caller) kinds() []kind {
	all := []kind{
		{1, c.account.StreamsPerSecond, c.sendStream},
		{2, c.account.ReadsPerSecond, c.sendRead},
		{3, c.account.RefundsPerSecond, c.sendRefund},
	}
	enabled := all[:0]
	for _, k := range all {
		if k.perSecond > 0 {
			enabled = append(enabled, k)
		}
	}
	return enabled
}

// arrive starts requests of kind k at random intervals until sending ends. The requests run under ctx.
func (c *caller) arrive(ctx, sending context.Context, k kind) {
	random := rand.New(rand.NewPCG(c.seed, k.stream))
	for {
		gap := time.Duration(random.ExpFloat64() / k.perSecond * float64(time.Second))
		if c.timer.Sleep(sending, gap) != nil {
			return
		}
		number := c.started.Add(1)
		if number > int64(c.MaxRequests) {
			return
		}
		a := arrival{number: number, random: rand.New(rand.NewPCG(random.Uint64(), k.stream))}
		c.result.change(func(r *AccountReport) { r.Offered++ })
		select {
		case c.slots <- struct{}{}:
		default:
			c.result.change(func(r *AccountReport) { r.Skipped++ })
			continue
		}
		c.requests.Go(func() {
			defer func() { <-c.slots }()
			bounded, cancel := context.WithTimeout(ctx, c.Timeout)
			defer cancel()
			k.send(bounded, a)
		})
	}
}

// admit debits charge from the load generator's own bucket and reports whether the balance
// covered it. creditUnused credits the difference if used is below the charge.
func (c *caller) admit(charge int64) (inside bool, creditUnused func(used int64)) {
	inside = c.bucket.debit(c.Clock.Now(), charge)
	return inside, func(used int64) {
		if used < charge {
			c.bucket.credit(c.Clock.Now(), charge-used)
		}
	}
}
