package figplace

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// tries bounds the servers that are asked for one role.
	tries = 3
	// unreachableRetry is the advice when no owner can be asked.
	unreachableRetry = 500 * time.Millisecond
	// queueShare is the part of the target for the first token that a prefill may
	// always wait, however long its prompt.
	queueShare = 0.25
	// targetShare is the part of that target that is planned for; the rest is
	// left for the transfer and the first decode step.
	targetShare = 0.85
	// defaultFirstToken is the target where the pool declares none.
	defaultFirstToken = 2 * time.Second
)

// Place reserves servers for r. It returns *NoRoom if none has room now and
// *NoServer if none takes work of the pool. The context bounds the asks.
func (p *Placer) Place(ctx context.Context, r Request) (*Placement, error) {
	now := p.opts.Clock.Now()
	p.mu.Lock()
	cat := p.sync()
	if cat == nil || !cat.serves(r.Pool) {
		p.mu.Unlock()
		p.NoServer.Add(1)
		return nil, &NoServer{Pool: r.Pool}
	}
	allowed := p.takeRetry(len(r.Avoid) > 0)
	pool := p.pool(r.Pool)
	p.mu.Unlock()
	if len(r.Avoid) > 0 {
		p.Retries.Add(1)
	}
	if !allowed {
		p.NoRoom.Add(1)
		return nil, &NoRoom{RetryAfter: unreachableRetry}
	}
	a := &attempt{placer: p, cat: cat, request: &r, pool: pool, now: now}
	x, err := a.place(ctx)
	p.count(err)
	return x, err
}

func (p *Placer) count(err error) {
	var none *NoServer
	switch {
	case err == nil:
		p.Placed.Add(1)
	case errors.As(err, &none):
		p.NoServer.Add(1)
	default:
		p.NoRoom.Add(1)
	}
}

// serves says whether any listed server takes work of a pool.
func (c *catalogue) serves(pool string) bool {
	for _, r := range []figview.Role{figview.Plain, figview.Decode} {
		if c.groups[groupKey{pool: pool, role: r}] != nil {
			return true
		}
	}
	return false
}

// attempt is one try to place a request.
type attempt struct {
	placer  *Placer
	cat     *catalogue
	request *Request
	pool    figtree.Pool
	now     time.Time
}

func (a *attempt) place(ctx context.Context) (*Placement, error) {
	x := &Placement{placer: a.placer, request: *a.request, StartPrefillAt: a.now}
	if a.cat.groups[groupKey{pool: a.request.Pool, role: figview.Decode}] == nil {
		if err := a.reserve(ctx, x, figview.Plain, 0); err != nil {
			return nil, err
		}
		return x, nil
	}
	after := a.expected()
	if !a.request.Deadline.IsZero() && a.now.Add(after).After(a.request.Deadline) {
		return nil, &NoRoom{RetryAfter: after}
	}
	if err := a.reserve(ctx, x, figview.Decode, after); err != nil {
		return nil, err
	}
	if a.cat.groups[groupKey{pool: a.request.Pool, role: figview.Prefill}] == nil {
		return x, nil
	}
	if err := a.reserve(ctx, x, figview.Prefill, 0); err != nil {
		x.Release()
		return nil, err
	}
	return x, nil
}

// expected returns when the best prefill server known would be done.
func (a *attempt) expected() time.Duration {
	s := a.search(figview.Prefill)
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	if found := s.candidates(); len(found) > 0 {
		return found[0].ready
	}
	return 0
}

func (a *attempt) search(role figview.Role) *search {
	return &search{
		Placer: a.placer, now: a.now, request: a.request, role: role, cat: a.cat,
		pieces: a.pieces(role),
	}
}

// pieces returns the engine memory that a server of a role needs.
func (a *attempt) pieces(role figview.Role) int64 {
	switch {
	case role == figview.Prefill:
		return 0
	case role == figview.Plain || a.pool.PieceTokens <= 0:
		return 1
	}
	tokens := a.request.PromptTokens + a.request.OutputTokens
	return max(1, (tokens+a.pool.PieceTokens-1)/a.pool.PieceTokens)
}

// reserve asks for room on one server of a role, the best ones first.
func (a *attempt) reserve(ctx context.Context, x *Placement, role figview.Role, after time.Duration) error {
	s := a.search(role)
	a.placer.mu.Lock()
	found := s.candidates()
	a.placer.mu.Unlock()
	if s.usable == 0 && len(a.request.Avoid) == 0 {
		return &NoServer{Pool: a.request.Pool}
	}
	for _, c := range found[:min(len(found), tries)] {
		if ctx.Err() != nil {
			break
		}
		g, ok := a.ask(ctx, x, c, role, after)
		if ok {
			return nil
		}
		if g.Refusal != figowner.Granted {
			s.passOver(time.Duration(g.RetryMillis) * time.Millisecond)
		}
	}
	if s.wait == 0 {
		s.wait = unreachableRetry
	}
	return &NoRoom{RetryAfter: s.wait}
}

// ask asks the owner of one candidate.
func (a *attempt) ask(ctx context.Context, x *Placement, c candidate, role figview.Role, after time.Duration) (figowner.Grant, bool) {
	ask := figowner.Ask{
		Server: c.server.Name, ID: a.request.ID, Pieces: a.pieces(role), Tokens: c.tokens,
		Adapter: a.request.Adapter,
	}
	switch role {
	case figview.Prefill:
		ask.MaxWaitMillis = a.maxWait(c).Milliseconds()
	case figview.Decode:
		ask.Tokens = a.request.PromptTokens + a.request.OutputTokens
		ask.Output = a.request.OutputTokens
		ask.AfterMillis = after.Milliseconds()
		ask.Bytes = a.kvSize()
	}
	g, l := a.placer.askFor(ctx, c, a.request.Pool, ask)
	if l == nil {
		return g, false
	}
	x.take(l, role, a.now, g)
	return g, true
}

func (a *attempt) kvSize() int64 {
	a.placer.mu.Lock()
	defer a.placer.mu.Unlock()
	return a.placer.kvSize(a.request.Pool, a.request.PromptTokens)
}

// maxWait returns how long a prefill may queue for its first token to be in time.
func (a *attempt) maxWait(c candidate) time.Duration {
	target := a.pool.FirstToken
	if target <= 0 {
		target = defaultFirstToken
	}
	least := time.Duration(queueShare * float64(target))
	own := time.Duration(float64(c.tokens) / unknownSpeed * float64(time.Second))
	planned := time.Duration(targetShare*float64(target)) - a.request.waited(a.now) - own
	return max(least, planned)
}
