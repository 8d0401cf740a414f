package figcoordinator

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figreservation"
)

const (
	// noticeTime is how long a request may take to be placed before the caller is told that it waits, so
	// that the caller can tell a coordinator that queues a request from one that doesn't answer.
	noticeTime = 20 * time.Millisecond
	// answerTime is how long the answer to a waiting request is kept after its wait has ended.
	answerTime = time.Second
	// sweepInterval is the time between two searches for placements that have lasted too long.
	sweepInterval = time.Second
	// maxWait bounds how long a request may wait for room.
	maxWait = 30 * time.Second
	// coldRecheck is the longest pause before a queue is checked again while a server in a cold start
	// limits the rate of its sends.
	coldRecheck = 40 * time.Millisecond
	// maxLimits bounds the rate limits in an answer.
	maxLimits = 8
	// queuedBytes is the memory that a waiting request counts as, with its goroutine.
	queuedBytes = 8 << 10
)

// Options holds the dependencies of a Coordinator. All fields are required.
type Options struct {
	Clock figtimer.Clock
	Timer *figtimer.Timer
	View  func() *figcatalogue.View
	// Shares says which engines this instance coordinates.
	Shares *Shares
	// Random returns a number in [0, 1).
	Random func() float64
	// QueueLimits holds the limits of each pool's queue.
	QueueLimits figqueue.Options
}

// Coordinator places requests on the engines that this instance coordinates. It is safe for
// concurrent use.
type Coordinator struct {
	Options

	// PlacedCount, RefusedCount and AdoptedCount count placements, refusals, and requests in progress
	// that were reported by other instances.
	PlacedCount, RefusedCount, AdoptedCount atomic.Uint64
	// BacklogCount counts calls that were refused at arrival because those waiting take longer than they may wait.
	BacklogCount    atomic.Uint64
	backlogLoggedAt atomic.Int64

	picker *figbalancer.Picker
	queues *figqueue.Set
	// outputs estimates the output of requests.
	outputs outputs
	// work measures the work at the engines.
	work workMeter
	// rooms knows when engines will have room.
	rooms rooms

	// placing makes a pick and its reservation one step.
	placing sync.Mutex

	mu       sync.Mutex
	placed   map[Key]*placed
	requests map[Key]*request
}

// placed is a placement in progress.
type placed struct {
	pool            string
	decode, prefill *figbalancer.Reservation
	until           time.Time
	// promptTokens is the length of the prompt at the prefill server, which had no other one if prefillAlone is set.
	promptTokens int64
	prefillAlone bool
	// room is the placement on the engine called lifetime; nil for a plain server.
	room     *figreservation.Placement
	lifetime string
	rooms    *rooms
}

// request is a request that has not been answered.
type request struct {
	cancel context.CancelFunc
	done   chan struct{}
	// answer is valid once done is closed.
	answer *Answer
	until  time.Time
	// ended says that the caller has ended the request before its answer.
	ended bool
}

// New returns a Coordinator without placements.
func New(o Options) *Coordinator {
	c := &Coordinator{Options: o, placed: map[Key]*placed{}, requests: map[Key]*request{}}
	c.outputs.means = map[string]float64{}
	c.work.pools = map[string]*workWindow{}
	c.rooms = rooms{books: map[string]*figreservation.Book{}, largeFactor: figreservation.LargeFactor}
	c.queues = figqueue.NewSet(o.Timer, func(string) *figqueue.Queue { return figqueue.New(o.QueueLimits) })
	c.picker = figbalancer.New(figbalancer.Options{
		Random: o.Random, Coordinates: true,
		// This instance alone sends to its engines.
		Members:           func(time.Time) int { return 1 },
		OnLocalLoadChange: func(string, figview.ServerLoad) { c.queues.Wake() },
	})
	return c
}

// Start makes the queues end with ctx.
func (c *Coordinator) Start(ctx context.Context) error { return c.queues.Start(ctx) }

// QueueStatus returns the status of each pool's queue.
func (c *Coordinator) QueueStatus() map[string]figqueue.Status { return c.queues.Status() }

// Len returns the number of placements in progress.
func (c *Coordinator) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.placed)
}

// Handle answers the request of another instance. It returns Waiting if the request isn't placed or
// refused within noticeTime; Await then returns the answer.
func (c *Coordinator) Handle(ctx context.Context, q *Request) (*Answer, error) {
	if q.Instance == "" || q.Pool == "" || q.Tokens < 0 || q.PromptTokens < 0 {
		return &Answer{Status: Refused, Reason: "invalid request"}, nil
	}
	r := c.start(q)
	limited, cancel := context.WithTimeout(ctx, noticeTime)
	defer cancel()
	return c.answerOf(limited, q.key(), r), nil
}

// Await returns the answer to a waiting request, Waiting if ctx ends before, and Unknown if there is no
// such request.
func (c *Coordinator) Await(ctx context.Context, q *Await) (*Answer, error) {
	c.mu.Lock()
	r, ok := c.requests[q.Key]
	c.mu.Unlock()
	if !ok {
		return &Answer{Status: Unknown}, nil
	}
	return c.answerOf(ctx, q.Key, r), nil
}

// Place places a request of this instance, or returns Refused.
func (c *Coordinator) Place(q *Request) *Answer {
	return c.answerOf(context.Background(), q.key(), c.start(q))
}

// start queues a request.
func (c *Coordinator) start(q *Request) *request {
	wait := min(max(q.Wait, 0), maxWait)
	now := c.Clock.Now()
	// The request outlives the call that brought it.
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	r := &request{cancel: cancel, done: make(chan struct{}), until: now.Add(wait + answerTime)}
	c.mu.Lock()
	c.requests[q.key()] = r
	c.mu.Unlock()
	go c.run(ctx, q, r, now.Add(wait))
	return r
}

// run waits in the pool's queue until the request is placed or refused.
func (c *Coordinator) run(ctx context.Context, q *Request, r *request, deadline time.Time) {
	defer r.cancel()
	var p *placed
	answer := &Answer{Status: Refused}
	a := &attempt{request: q, answer: answer, deadline: deadline}
	err := c.arrive(a)
	if err == nil {
		p, err = c.await(ctx, a)
	}
	if err != nil {
		c.RefusedCount.Add(1)
		var refusal *figqueue.Refusal
		full := errors.As(err, &refusal) && refusal.Reason != figqueue.Unplaceable
		c.depart(a, full, c.isGone(r))
		if full {
			answer.Full = true
			if !a.promised {
				answer.RetryAfter = max(answer.RetryAfter, refusal.RetryAfter)
			}
		}
		if answer.Reason == "" || refusal != nil && refusal.Reason != figqueue.Unplaceable {
			answer.Reason = strings.TrimSuffix(err.Error()+"; "+answer.Reason, "; ")
		}
	}
	c.work.answered(q, answer)
	answer.Limits = c.limits(q.Pool)
	c.mu.Lock()
	r.answer = answer
	ended := r.ended
	if err == nil && !ended {
		c.placed[q.key()] = p
		c.PlacedCount.Add(1)
	}
	close(r.done)
	c.mu.Unlock()
	if err == nil && ended {
		p.release()
	}
}

// await waits until a request is placed or refused. One that room is reserved for already is tried before it is queued.
func (c *Coordinator) await(ctx context.Context, a *attempt) (*placed, error) {
	q, priority := a.request, a.request.Priority
	if a.returned {
		if p, result := c.tryPlace(a); result == figqueue.Placed {
			return p, nil
		}
		priority = max(priority, returnPriority)
	}
	var p *placed
	err := c.queues.ForPool(q.Pool).Do(ctx, figqueue.Item{
		Account: q.Account, Priority: priority, Tokens: q.Tokens, Bytes: queuedBytes, Deadline: c.queueDeadline(q, a.answer, a.deadline),
		Importance: q.Importance, AccountImportance: q.AccountImportance, RouteImportance: q.RouteImportance,
		ArrivedAt: q.arrivedAt(c.Clock.Now()), Probe: q.Wait <= quickWait,
		Place: func(context.Context) figqueue.PlaceResult {
			var result figqueue.PlaceResult
			p, result = c.tryPlace(a)
			return result
		},
	})
	return p, err
}

// tryPlace picks and reserves the servers for a request. It fills in the answer.
func (c *Coordinator) tryPlace(a *attempt) (*placed, figqueue.PlaceResult) {
	q, answer := a.request, a.answer
	now := c.Clock.Now()
	v := c.View()
	answer.Epoch, answer.Revision, answer.Elsewhere = v.Epoch, v.Revision, !c.Shares.ownsAny(v, q.Pool)
	if v.Table == nil {
		answer.Reason = "the coordinator has no configuration"
		return nil, figqueue.Rejected
	}
	a.need = q.Tokens + c.outputs.expected(q.Pool, v.Table.Pool(q.Pool).Engine)
	c.placing.Lock()
	defer c.placing.Unlock()
	s, err := c.pickUnreserved(now, v, a, c.query(v, q, q.DataCentre, a.need, figview.Decode, figview.Plain))
	if err != nil {
		result := c.noServer(q, answer, err, a.deadline.Sub(now))
		if result == figqueue.NoCapacity {
			result = c.reserve(now, v, a)
		}
		return nil, result
	}
	p := &placed{pool: q.Pool, until: now.Add(q.Lasts), rooms: &c.rooms, decode: c.picker.Begin(now, v, s, a.need)}
	c.begin(now, v, a, p, s)
	answer.Status, answer.Decode, answer.Prefill = Placed, s.Lifetime(), ""
	if s.Role != figview.Decode || q.PromptTokens == 0 || q.NoPrefill {
		return p, figqueue.Placed
	}
	f, err := c.picker.Pick(now, c.query(v, q, s.DataCentre, q.PromptTokens, figview.Prefill))
	if err != nil {
		c.work.missed(q, c.picker.TotalLoad(now, s))
		return p, figqueue.Placed
	}
	decode, prefill := c.picker.TotalLoad(now, s), c.picker.TotalLoad(now, f)
	if c.picker.SeparatePrefill(now, v.Table.Pool(q.Pool), q.PromptTokens, s, f) {
		p.prefill = c.picker.Begin(now, v, f, q.PromptTokens)
		answer.Prefill = f.Lifetime()
		c.work.prefill(p, q, prefill)
	} else {
		c.work.missed(q, decode)
	}
	return p, figqueue.Placed
}

// limits returns rate limits of servers of a pool, at most maxLimits.
func (c *Coordinator) limits(pool string) []Limit {
	known := c.picker.Limits(c.Clock.Now())
	if len(known) == 0 {
		return nil
	}
	var all []Limit
	servers := c.View().Servers[pool]
	for i := range servers {
		lifetime := servers[i].Lifetime()
		if perSecond, ok := known[lifetime]; ok && len(all) < maxLimits {
			all = append(all, Limit{Pool: pool, Lifetime: lifetime, PerSecond: perSecond})
		}
	}
	return all
}

// query returns the query for a server of one of the roles among those that this instance coordinates.
func (c *Coordinator) query(v *figcatalogue.View, q *Request, dataCentre string, tokens int64, roles ...figview.Role) *figbalancer.Query {
	mayPlace := c.Shares.MayPlaceNow(v, q.Pool)
	return &figbalancer.Query{
		View: v, Pool: q.Pool, Roles: roles, PreferredDataCentre: dataCentre, Tokens: tokens,
		ExcludedLifetimes: q.Excluded, LimitPlain: true,
		Only: func(s *figcatalogue.Server) bool { return mayPlace(s.Lifetime()) },
	}
}

// noServer records in the answer why no server was picked, and returns whether the request waits, which it
// may for the time left.
func (c *Coordinator) noServer(q *Request, answer *Answer, err error, left time.Duration) figqueue.PlaceResult {
	answer.Reason = err.Error()
	var none *figbalancer.NoServerError
	if !errors.As(err, &none) || !none.NoCapacity && none.RetryAfter == 0 && !c.adopting(q.Pool) {
		return figqueue.Rejected
	}
	answer.RetryAfter = none.RetryAfter
	if !none.NoCapacity && none.RetryAfter > left {
		return figqueue.Rejected
	}
	if none.RetryAfter > 0 {
		c.Timer.After(min(none.RetryAfter, coldRecheck), c.queues.ForPool(q.Pool).Wake)
	}
	return figqueue.NoCapacity
}

// adopting reports whether this instance coordinates engines of a pool on which it places nothing yet.
func (c *Coordinator) adopting(pool string) bool { return c.Shares.adopting(c.View(), pool) }

// answerOf waits until a request is answered or ctx ends. An answered request is forgotten.
func (c *Coordinator) answerOf(ctx context.Context, key Key, r *request) *Answer {
	select {
	case <-r.done:
	case <-ctx.Done():
		select {
		case <-r.done:
		default:
			return &Answer{Status: Waiting}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[key] == r {
		delete(c.requests, key)
	}
	return r.answer
}

// OnGone releases the placements of an instance whose run has ended.
func (c *Coordinator) OnGone(instance string, incarnation uint64) {
	c.releaseIf("instance gone", func(k Key, _ *placed) bool { return k.Instance == instance && k.Incarnation == incarnation })
}

// Run releases the placements that have lasted too long until ctx ends. It returns nil.
func (c *Coordinator) Run(ctx context.Context, t *figtimer.Timer) error {
	for now := range t.Subscribe(ctx, sweepInterval) {
		c.sweepRooms(now)
		c.releaseIf("lasted too long", func(_ Key, p *placed) bool { return now.After(p.until) })
		c.mu.Lock()
		for key, r := range c.requests {
			if now.After(r.until) {
				delete(c.requests, key)
				r.ended = true
			}
		}
		c.mu.Unlock()
	}
	return nil
}

// releaseIf releases the placements for which remove returns true.
func (c *Coordinator) releaseIf(reason string, remove func(Key, *placed) bool) {
	c.mu.Lock()
	var removed []*placed
	for key, p := range c.placed {
		if remove(key, p) {
			removed = append(removed, p)
			delete(c.placed, key)
		}
	}
	c.mu.Unlock()
	for _, p := range removed {
		p.release()
	}
	if len(removed) > 0 {
		klog.InfoS("placements released", "count", len(removed), "reason", reason)
	}
}
