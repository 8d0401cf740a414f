package figplace

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// maxServersAsked is the largest number of servers whose owners are asked for one role.
	maxServersAsked = 3
	// defaultRetryAfter is the retry delay returned if no owner has given one.
	defaultRetryAfter = 500 * time.Millisecond
	// minWaitFraction is the fraction of the remaining time to the first-token target that a prefill may
	// always wait in a queue, however long its prompt.
	minWaitFraction = 0.25
	// plannedTargetFraction is the fraction of the first-token target that estimates may use up. The rest
	// covers estimation errors and the first decode step.
	plannedTargetFraction = 0.9
	// defaultFirstToken is the first-token target of a pool that declares none.
	defaultFirstToken = 2 * time.Second
)

// Place reserves servers for r. It returns *NoCapacityError if none has room now or the retry budget is
// spent, and *NoServerError if no listed server accepts work of the pool. The context bounds the requests to
// owners.
func (p *Placer) Place(ctx context.Context, r Request) (*Placement, error) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	cat := p.refreshCatalogue()
	if cat == nil || !cat.serves(r.Pool) {
		p.mu.Unlock()
		p.NoServer.Add(1)
		return nil, &NoServerError{Pool: r.Pool}
	}
	retry := len(r.ExcludedServers) > 0
	allowed := p.attemptAllowed(retry)
	a := &attempt{placer: p, cat: cat, request: &r, pool: p.pool(r.Pool), now: now}
	a.kvBytes, a.transferTime = p.estimateTransfer(r.Pool, r.PromptTokens)
	p.mu.Unlock()
	if !allowed {
		p.NoRoom.Add(1)
		return nil, &NoCapacityError{RetryAfter: defaultRetryAfter}
	}
	x, err := a.place(ctx)
	if err == nil {
		p.updateRetryBudget(retry)
		if retry {
			p.Retries.Add(1)
		}
	}
	p.count(err)
	return x, err
}

func (p *Placer) count(err error) {
	var none *NoServerError
	switch {
	case err == nil:
		p.Placed.Add(1)
	case errors.As(err, &none):
		p.NoServer.Add(1)
	default:
		p.NoRoom.Add(1)
	}
}

// serves says whether any listed decode or plain server accepts work of a pool.
func (c *catalogue) serves(pool string) bool {
	for _, r := range []figview.Role{figview.Plain, figview.Decode} {
		if c.groups[groupKey{pool: pool, role: r}] != nil {
			return true
		}
	}
	return false
}

// attempt is one call of Place.
type attempt struct {
	placer  *Placer
	cat     *catalogue
	request *Request
	pool    figtree.Pool
	now     time.Time
	// kvBytes is the estimated size of the KV cache to transfer to the decode server, transferTime the
	// estimated duration of that transfer.
	kvBytes      int64
	transferTime time.Duration
}

func (a *attempt) place(ctx context.Context) (*Placement, error) {
	x := &Placement{placer: a.placer, request: *a.request, StartPrefillAt: a.now}
	if a.cat.groups[groupKey{pool: a.request.Pool, role: figview.Decode}] == nil {
		if err := a.reserve(ctx, x, figview.Plain, 0); err != nil {
			return nil, err
		}
		return x, nil
	}
	decodeIn, err := a.expectedPrefill()
	if err != nil {
		return nil, err
	}
	if err := a.reserve(ctx, x, figview.Decode, decodeIn); err != nil {
		return nil, err
	}
	if !a.hasPrefill() {
		return x, nil
	}
	if err := a.reserve(ctx, x, figview.Prefill, 0); err != nil {
		x.Release()
		return nil, err
	}
	return x, nil
}

func (a *attempt) hasPrefill() bool {
	return a.cat.groups[groupKey{pool: a.request.Pool, role: figview.Prefill}] != nil
}

// expectedPrefill returns the time until the best prefill candidate would be done, and zero in a pool without
// prefill servers. Without a message to any owner, it returns an error if no candidate can be asked, or if
// the request would miss its first-token target or its deadline.
func (a *attempt) expectedPrefill() (time.Duration, error) {
	if !a.hasPrefill() {
		return 0, nil
	}
	s := a.search(figview.Prefill)
	a.placer.mu.Lock()
	found := s.candidates()
	a.placer.mu.Unlock()
	if len(found) == 0 {
		return 0, s.noCandidateError()
	}
	best := found[0]
	if a.tooLate(best) {
		return 0, &NoCapacityError{RetryAfter: defaultRetryAfter, TooLate: true}
	}
	if excessWait := best.queueWait - a.maxWait(best); excessWait > 0 && !best.acceptsAnyWait {
		return 0, &NoCapacityError{RetryAfter: excessWait}
	}
	if d := a.request.Deadline; !d.IsZero() && a.now.Add(best.doneIn).After(d) {
		return 0, &NoCapacityError{RetryAfter: best.doneIn}
	}
	return best.doneIn, nil
}

// tooLate says whether a request would miss its first-token target only because of the time that it has
// already waited. A request that would miss the target on an idle server anyway is never too late.
func (a *attempt) tooLate(best candidate) bool {
	waitedSoFar, ownTime := a.request.waited(a.now), best.doneIn-best.queueWait+a.transferTime
	planned := time.Duration(plannedTargetFraction * float64(a.target()))
	return ownTime < planned && waitedSoFar > 0 && waitedSoFar+best.queueWait+ownTime > planned
}

func (a *attempt) target() time.Duration {
	if a.pool.FirstTokenTarget > 0 {
		return a.pool.FirstTokenTarget
	}
	return defaultFirstToken
}

// noCandidateError returns the error of a search whose candidates are used up: NoServerError if no server was
// eligible and the request excludes none, else NoCapacityError.
func (s *search) noCandidateError() error {
	if s.eligible == 0 && len(s.request.ExcludedServers) == 0 {
		return &NoServerError{Pool: s.request.Pool}
	}
	if s.retryAfter == 0 {
		s.retryAfter = defaultRetryAfter
	}
	return &NoCapacityError{RetryAfter: s.retryAfter}
}

func (a *attempt) search(role figview.Role) *search {
	return &search{
		Placer: a.placer, now: a.now, request: a.request, role: role, cat: a.cat,
		pieces: a.pieces(role),
	}
}

// pieces returns the memory to reserve on a server of a role, in pieces of the pool's size.
func (a *attempt) pieces(role figview.Role) int64 {
	switch {
	case role == figview.Prefill:
		return 0
	case role == figview.Plain || a.pool.BlockTokens <= 0:
		return 1
	}
	tokens := a.request.PromptTokens + a.request.OutputTokens
	return max(1, (tokens+a.pool.BlockTokens-1)/a.pool.BlockTokens)
}

// reserve requests a lease on the candidates of a role, the best first, until an owner grants one.
func (a *attempt) reserve(ctx context.Context, x *Placement, role figview.Role, decodeIn time.Duration) error {
	s := a.search(role)
	a.placer.mu.Lock()
	found := s.candidates()
	a.placer.mu.Unlock()
	for asked := 0; asked < maxServersAsked && len(found) > 0 && ctx.Err() == nil; asked++ {
		c := found[0]
		found = found[1:]
		g, ok := a.askOwner(ctx, x, c, role, decodeIn)
		if ok {
			return nil
		}
		if g.Outcome == figowner.Granted {
			found = withoutOwner(found, c.owner.Name)
			continue
		}
		s.lowerRetryAfter(time.Duration(g.RetryMillis) * time.Millisecond)
	}
	return s.noCandidateError()
}

// withoutOwner removes the candidates of an owner that didn't answer.
func withoutOwner(found []candidate, owner string) []candidate {
	return slices.DeleteFunc(found, func(c candidate) bool { return c.owner.Name == owner })
}

// askOwner requests a lease on one candidate and adds it to x. If it returns false, the result's Outcome is the
// reason for the refusal, or figowner.Granted if the owner didn't answer.
func (a *attempt) askOwner(ctx context.Context, x *Placement, c candidate, role figview.Role, decodeIn time.Duration) (figowner.ReservationResult, bool) {
	ask := figowner.ReservationRequest{
		Server: c.server.Name, ID: a.request.ID, Pieces: a.pieces(role), Tokens: c.uncachedTokens,
		Adapter: a.request.Adapter,
	}
	switch role {
	case figview.Prefill:
		ask.MaxWaitMillis = a.maxWait(c).Milliseconds()
	case figview.Decode:
		ask.Tokens = a.request.PromptTokens + a.request.OutputTokens
		ask.OutputTokens = a.request.OutputTokens
		ask.StartDelayMillis = decodeIn.Milliseconds()
		ask.TransferBytes = a.kvBytes
	}
	g, l := a.placer.requestLease(ctx, c, a.request.Pool, ask)
	if l == nil {
		return g, false
	}
	x.addLease(l, role, a.now, g)
	return g, true
}

// maxWait returns the longest time that a prefill on c may wait in the queue: until the first token would
// miss its planned time, but at least minWaitFraction of the time that is left to the target.
func (a *attempt) maxWait(c candidate) time.Duration {
	target := a.target()
	remaining := max(0, target-a.request.waited(a.now))
	minWait := time.Duration(minWaitFraction * float64(remaining))
	planned := time.Duration(plannedTargetFraction * float64(target))
	planned -= a.request.waited(a.now) + c.doneIn - c.queueWait + a.transferTime
	return max(minWait, planned)
}
