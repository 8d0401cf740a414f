package figcoordinator

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

const (
	// placeTimeout is the time within which a coordinator answers a request, if only that it waits.
	placeTimeout = 150 * time.Millisecond
	// awaitMargin is how long after the end of its wait the answer to a waiting request is due.
	awaitMargin = 200 * time.Millisecond
	// quickWait is how long a request waits at each of several coordinators before it waits at one.
	quickWait = 10 * time.Millisecond
	// maxRejections is how often a request asks again after it rejected a placement.
	maxRejections = 3
	// maxCoordinators is the number of coordinators that are asked for one placement.
	maxCoordinators = 2
)

// PlacerOptions holds the dependencies of a Placer. All fields are required.
type PlacerOptions struct {
	Clock figtimer.Clock
	Timer *figtimer.Timer
	View  func() *figcatalogue.View
	// Instance and Incarnation identify the run of this instance.
	Instance    string
	Incarnation uint64
	Shares      *Shares
	Assigner    *figassign.Assigner
	// Own is the coordinator in this instance.
	Own *Coordinator
	// Fallback picks a server if no coordinator answers.
	Fallback *figbalancer.Picker
	// Random returns a number in [0, 1).
	Random func() float64
	// Call, Await, SendEnds and SendAdopt send calls to another instance.
	Call      func(ctx context.Context, to figdiscovery.Member, q *Request) (*Answer, error)
	Await     func(ctx context.Context, to figdiscovery.Member, q *Await) (*Answer, error)
	SendEnds  func(ctx context.Context, to figdiscovery.Member, q *Ends) (*Ack, error)
	SendAdopt func(ctx context.Context, to figdiscovery.Member, q *Adopt) (*Ack, error)
}

// Placer asks coordinators for placements. It is safe for concurrent use.
type Placer struct {
	PlacerOptions

	// Unanswered counts calls to coordinators that got no answer, FallbackCount the placements that no
	// coordinator made.
	Unanswered, FallbackCount atomic.Uint64

	numbers atomic.Uint64
	outbox  *outbox

	mu     sync.Mutex
	active map[uint64]*Placement

	// limitsAt names the coordinator that knows the rate limit of a server, by lifetime. Only Run uses it.
	limitsAt map[string]string
}

// Placement is a granted placement. Its ends must be reported.
type Placement struct {
	// Decode is the server to send the request to. Prefill is the server that computes the prompt first;
	// nil if Decode does.
	Decode, Prefill *figcatalogue.Server
	// Limited says that the coordinator knows a rate limit of Decode, Reserved that an engine was reserved for the request.
	Limited, Reserved bool

	placer  *Placer
	request *Request
	number  uint64
	until   time.Time

	mu sync.Mutex
	// coordinators know the placement; the last one is the engine's current coordinator. It is empty if
	// no coordinator made the placement.
	coordinators []figdiscovery.Member
	prefillEnded bool
	ended        bool
}

// NewPlacer returns a Placer.
func NewPlacer(o PlacerOptions) *Placer {
	p := &Placer{PlacerOptions: o, active: map[uint64]*Placement{}}
	p.outbox = newOutbox(p)
	return p
}

// Place asks for a placement. If no coordinator has room, the error is a *figbalancer.NoServerError that
// says when there may be some. Place returns when ctx ends, and then ends the placement if one is
// granted later.
func (p *Placer) Place(ctx context.Context, q *Request) (placement *Placement, err error) {
	deadline := p.Clock.Now().Add(q.Wait)
	for range maxRejections {
		placement, err = p.place(ctx, q, deadline)
		if err == nil || !errors.Is(err, errRejected) && !p.awaitPause(ctx, q, deadline, err) {
			break
		}
	}
	return placement, err
}

// place asks for a placement once. The error is marked as errRejected if this instance rejected it.
func (p *Placer) place(ctx context.Context, q *Request, deadline time.Time) (*Placement, error) {
	q = p.excludeWithdrawn(q)
	order := p.order(q)
	if len(order) > 1 {
		placement, full, err := p.placeQuickly(ctx, q, order)
		if placement != nil || err != nil {
			return placement, err
		}
		order = full
	}
	var refused error
	for _, m := range order {
		answer, number, err := p.ask(ctx, m, q, deadline.Sub(p.Clock.Now()))
		switch {
		case ctx.Err() != nil:
			return nil, figerror.Wrap(ctx.Err(), "place", m.Name)
		case err != nil:
			continue
		case answer.Status == Placed:
			placement, err := p.accept(m, q, number, answer)
			if err != nil && p.knowsMore(answer) {
				continue
			}
			return placement, err
		case answer.Full:
			return nil, refusal(answer)
		case p.knowsMore(answer):
			continue
		}
		// None of its servers can take the request; another coordinator may have one.
		refused = refusal(answer)
	}
	if refused != nil {
		return nil, refused
	}
	return p.fallBack(q)
}

// placeQuickly asks several coordinators for room that they have now. It returns a placement, or the
// coordinators that answered: those whose servers are full by their wait, then those without a server
// for the request.
func (p *Placer) placeQuickly(ctx context.Context, q *Request, order []figdiscovery.Member) (*Placement, []figdiscovery.Member, error) {
	var full []figdiscovery.Member
	var waits []time.Duration
	for _, m := range order {
		answer, number, err := p.ask(ctx, m, q, min(quickWait, q.Wait))
		switch {
		case ctx.Err() != nil:
			return nil, nil, figerror.Wrap(ctx.Err(), "place", m.Name)
		case err != nil:
			continue
		case answer.Status == Placed:
			placement, err := p.accept(m, q, number, answer)
			if err != nil && p.knowsMore(answer) {
				continue
			}
			return placement, nil, err
		case !answer.Full && p.knowsMore(answer):
			continue
		}
		wait := answer.RetryAfter
		if !answer.Full {
			wait = maxWait
		}
		i, _ := slices.BinarySearch(waits, wait)
		full, waits = slices.Insert(full, i, m), slices.Insert(waits, i, wait)
	}
	return nil, full, nil
}

// knowsMore reports whether this instance knows more than a coordinator that found no usable server: the
// coordinator has an older list of servers, as one that was cut off has, or an older list of members, by which
// it isn't a coordinator of the pool. It counts as one that doesn't answer then.
func (p *Placer) knowsMore(a *Answer) bool {
	own, other := p.View().Position, figview.Position{Epoch: a.Epoch, Revision: a.Revision}
	if other.Epoch == 0 { // a coordinator that knows of no epochs
		other.Epoch = own.Epoch
	}
	return a.Elsewhere || other.Before(own)
}

// refusal returns the error for an answer without a placement.
func refusal(a *Answer) error {
	return &figbalancer.NoServerError{RetryAfter: a.RetryAfter, NoCapacity: a.Full, Reason: a.Reason}
}

// errRejected marks the error of a placement at a server that this instance may not use. The list of
// servers may have changed since the coordinator picked it.
var errRejected = errors.New("the coordinator picked a server that is not usable here")

// errUnknownRequest is the error of a coordinator that has forgotten a waiting request.
var errUnknownRequest = errors.New("the coordinator does not know the request")

// ask asks one coordinator for a placement within wait. It returns the answer and the number of the
// request there. If the coordinator doesn't answer, or ctx ends before, the request is ended there.
func (p *Placer) ask(ctx context.Context, m figdiscovery.Member, request *Request, wait time.Duration) (*Answer, uint64, error) {
	type result struct {
		answer *Answer
		err    error
	}
	q := *request
	q.Instance, q.Incarnation, q.Number, q.Wait = p.Instance, p.Incarnation, p.numbers.Add(1), wait
	results := make(chan result, 1)
	go func() {
		// The call outlives the caller, because breaking it off would close its connection.
		answer, err := p.call(m, &q)
		if err != nil {
			p.Unanswered.Add(1)
			p.Assigner.MarkUnresponsive(m.Name)
			klog.InfoS("coordinator does not answer", "coordinator", m.Name, "pool", q.Pool, "err", err)
		}
		if err != nil || ctx.Err() != nil && answer.Status == Placed {
			p.outbox.add(m, End{Number: q.Number, NoResult: true})
		}
		results <- result{answer, err}
	}()
	select {
	case r := <-results:
		return r.answer, q.Number, r.err
	case <-ctx.Done():
		// The request may still wait there. If it has been placed meanwhile, this ends it too.
		p.outbox.add(m, End{Number: q.Number, NoResult: true})
		return nil, q.Number, ctx.Err()
	}
}

// call asks a coordinator and waits for the answer if the request has to wait there.
func (p *Placer) call(m figdiscovery.Member, q *Request) (*Answer, error) {
	if p.Assigner.IsSelf(m) {
		return p.Own.Place(q), nil
	}
	limited, cancel := context.WithTimeout(context.Background(), placeTimeout)
	answer, err := p.Call(limited, m, q)
	cancel()
	if err == nil && answer.Status == Waiting {
		limited, cancel = context.WithTimeout(context.Background(), q.Wait+awaitMargin)
		defer cancel()
		answer, err = p.Await(limited, m, &Await{Key: q.key()})
		if err == nil && (answer.Status == Unknown || answer.Status == Waiting) {
			err = errUnknownRequest
		}
	}
	if err == nil {
		learnLimits(p.Clock.Now(), p.View(), p.Fallback, answer.Limits)
	}
	return answer, err
}

// accept returns the placement that a coordinator granted. It refuses servers that this instance
// doesn't know or may not use, and ends the placement then.
func (p *Placer) accept(m figdiscovery.Member, q *Request, number uint64, answer *Answer) (*Placement, error) {
	v := p.View()
	now := p.Clock.Now()
	s, ok := v.Find(q.Pool, answer.Decode)
	if !ok || !v.Usable(s) && !v.LastResort(s, now) || p.Fallback.Withdrawn(now, s) {
		p.outbox.add(m, End{Number: number, NoResult: true})
		klog.InfoS("placement rejected", "coordinator", m.Name, "server", answer.Decode, "known", ok)
		return nil, errors.Mark(&figbalancer.NoServerError{Reason: errRejected.Error(), NoCapacity: true}, errRejected)
	}
	t := &Placement{
		Decode: s, placer: p, request: q, number: number, until: now.Add(q.Lasts), coordinators: []figdiscovery.Member{m},
		prefillEnded: answer.Prefill == "", Reserved: answer.Reserved,
		Limited: slices.ContainsFunc(answer.Limits, func(l Limit) bool { return l.Lifetime == answer.Decode }),
	}
	if f, ok := v.Find(q.Pool, answer.Prefill); ok && v.Usable(f) && !p.Fallback.Withdrawn(now, f) {
		t.Prefill = f
	} else if answer.Prefill != "" {
		t.EndPrefill(figbalancer.Result{}, true)
	}
	p.mu.Lock()
	p.active[number] = t
	p.mu.Unlock()
	return t, nil
}

// fallBack picks a server by what this instance knows itself.
func (p *Placer) fallBack(q *Request) (*Placement, error) {
	v := p.View()
	s, err := p.Fallback.Pick(p.Clock.Now(), &figbalancer.Query{
		View: v, Pool: q.Pool, Roles: []figview.Role{figview.Decode, figview.Plain}, PreferredDataCentre: q.DataCentre,
		Tokens: q.Tokens, ExcludedLifetimes: q.Excluded,
	})
	if err != nil {
		return nil, err
	}
	p.FallbackCount.Add(1)
	klog.InfoS("placed without a coordinator", "pool", q.Pool, "server", s.Name)
	return &Placement{Decode: s, placer: p, request: q, prefillEnded: true}, nil
}

// EndPrefill ends the work at the prefill server. noResult says that nothing was sent to it.
func (t *Placement) EndPrefill(r figbalancer.Result, noResult bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.prefillEnded || t.ended {
		return
	}
	t.prefillEnded = true
	t.report(End{Number: t.number, Part: PrefillPart, Result: r, NoResult: noResult})
}

// ReportPrefill reports a result of the prefill server that was noticed after the end of its work, such
// as a KV cache that was gone.
func (t *Placement) ReportPrefill(r figbalancer.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report(End{Number: t.number, Part: PrefillReport, Result: r})
}

// ReportAnswer reports what the beginning of the decode server's answer says of its rate limit and whether it leaves.
func (t *Placement) ReportAnswer(r figbalancer.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.ended {
		t.report(End{Number: t.number, Part: AnswerReport, Result: r})
	}
}

// End ends the placement. noResult says that nothing was sent to the decode server. outputTokens is the
// length of a complete answer, or 0.
func (t *Placement) End(r figbalancer.Result, noResult bool, outputTokens int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.report(End{Number: t.number, Result: r, NoResult: noResult, OutputTokens: outputTokens})
	t.placer.mu.Lock()
	delete(t.placer.active, t.number)
	t.placer.mu.Unlock()
}

// report sends an end to all coordinators that know the placement. t.mu must be held.
func (t *Placement) report(e End) {
	for _, m := range t.coordinators {
		t.placer.outbox.add(m, e)
	}
}

// Len returns the number of placements in progress.
func (p *Placer) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.active)
}
