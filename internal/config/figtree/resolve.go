package figtree

import (
	"slices"
	"strconv"
	"time"
)

// Defaults for fields that are not declared.
const (
	defaultPieceTokens   = 2000
	defaultPromptLimit   = 32_000
	defaultOutputLimit   = 4_000
	defaultFirstToken    = 1400 * time.Millisecond
	defaultBetweenTokens = 34 * time.Millisecond
	defaultResultLife    = 800 * time.Millisecond
	defaultStallLimit    = 5 * time.Second
	defaultTimeout       = 60 * time.Second
	defaultQueueRequests = 256
	defaultCallCost      = 1
	defaultClass         = "standard"
)

// resolver computes the effective values of declarations from the declared values,
// the limits and the defaults.
type resolver struct {
	doc    string
	faults []Fault
	// note, if set, is called with each effective value and its origin.
	note func(field, value string, o origin)
}

func (r *resolver) fault(line int32, reason string) {
	r.faults = append(r.faults, Fault{Path: r.doc, Line: int(line), Reason: reason})
}

func (r *resolver) report(field, value string, o origin) {
	if r.note != nil {
		r.note(field, value, o)
	}
}

// number returns the declared value, cut to the limit with a fault if it is above;
// the limit if no value is declared; or the default if there is neither.
func (r *resolver) number(field string, f Field[int64], limit bound, defaultValue int64) int64 {
	value, o := defaultValue, origin{}
	switch {
	case f.Declared() && limit.set && f.Value > limit.value:
		r.faults = append(r.faults, limitExceeded(r.doc, f.Line, field, f.Value, &limit))
		value, o = limit.value, limit.origin
	case f.Declared():
		value, o = f.Value, origin{r.doc, f.Line}
	case limit.set:
		value, o = limit.value, limit.origin
	}
	r.report(field, strconv.FormatInt(value, 10), o)
	return value
}

// numberUpTo is like number, but an undeclared field gets the default and not the
// limit, unless the default is above the limit.
func (r *resolver) numberUpTo(field string, f Field[int64], limit bound, defaultValue int64) int64 {
	if !f.Declared() && limit.set && defaultValue <= limit.value {
		limit = bound{}
	}
	return r.number(field, f, limit, defaultValue)
}

func valueOrDefault[T any](r *resolver, field string, f Field[T], defaultValue T, format func(T) string) T {
	value, o := defaultValue, origin{}
	if f.Declared() {
		value, o = f.Value, origin{r.doc, f.Line}
	}
	r.report(field, format(value), o)
	return value
}

func (r *resolver) duration(field string, f Field[time.Duration], defaultValue time.Duration) time.Duration {
	return valueOrDefault(r, field, f, defaultValue, time.Duration.String)
}

func (r *resolver) account(s *AccountSpec, l *limits, pools map[string]*Pool) *Account {
	a := &Account{ID: s.id}
	a.Class = valueOrDefault(r, "class", s.Class, defaultClass, unchanged)
	a.TokensPerSecond = r.number("tokensPerSecond", s.TokensPerSecond, l.tokensPerSecond, 0)
	a.Burst = r.number("burst", s.Burst, l.burst, a.TokensPerSecond)
	a.Weight = r.number("weight", s.Weight, bound{}, 1)
	a.Priority = int(r.numberUpTo("priority", s.Priority, l.priority, 0))
	a.PromptLimit = r.number("promptLimit", s.PromptLimit, l.promptLimit, 0)
	a.OutputLimit = r.number("outputLimit", s.OutputLimit, l.outputLimit, 0)
	a.Pools = r.accountPools(s, l, pools)
	if a.TokensPerSecond == 0 && !s.TokensPerSecond.Declared() {
		r.fault(s.Name.Line, "account "+s.Name.Value+" has no tokensPerSecond, and no limit gives one")
	}
	return a
}

// accountPools returns the existing and granted pools among the declared ones, or
// among the innermost grant if the account declares no list of pools.
func (r *resolver) accountPools(s *AccountSpec, l *limits, pools map[string]*Pool) []string {
	wanted, o := s.Pools.Value, origin{r.doc, s.Pools.Line}
	inherited := !s.Pools.Declared() && len(l.pools) > 0
	if inherited {
		last := l.pools[len(l.pools)-1]
		wanted, o = last.list, last.origin
	}
	var granted []string
	for _, id := range wanted {
		if !l.poolGranted(id) {
			r.faultUnlessInherited(inherited, o, "pool "+id+" is not granted to this directory")
			continue
		}
		if _, ok := pools[id]; !ok {
			r.faultUnlessInherited(inherited, o, "there is no pool "+id)
			continue
		}
		granted = append(granted, id)
	}
	if len(granted) == 0 {
		r.fault(s.Name.Line, "account "+s.Name.Value+" may use no pool")
	}
	r.report("pools", formatList(granted), o)
	return granted
}

// faultUnlessInherited records a fault for a declared name. An inherited name comes
// from a grant in another document, so it is no fault of this one.
func (r *resolver) faultUnlessInherited(inherited bool, o origin, reason string) {
	if !inherited {
		r.fault(o.line, reason)
	}
}

func (r *resolver) pool(s *PoolSpec, dir string, l *limits) *Pool {
	p := &Pool{ID: qualifiedID(dir, s.Name.Value)}
	p.Models = valueOrDefault(r, "models", s.Models, nil, formatList)
	p.BlockTokens = r.number("pieceTokens", s.PieceTokens, bound{}, defaultPieceTokens)
	p.PromptLimit = r.number("promptLimit", s.PromptLimit, l.promptLimit, defaultPromptLimit)
	p.OutputLimit = r.number("outputLimit", s.OutputLimit, l.outputLimit, defaultOutputLimit)
	p.FirstTokenTarget = r.duration("firstToken", s.FirstToken, defaultFirstToken)
	p.InterTokenTarget = r.duration("betweenTokens", s.BetweenTokens, defaultBetweenTokens)
	p.PrefillResultTTL = r.duration("resultLife", s.ResultLife, defaultResultLife)
	p.StallTimeout = r.duration("stallLimit", s.StallLimit, defaultStallLimit)
	p.Timeout = r.duration("timeout", s.Timeout, defaultTimeout)
	p.QueueLimit = int(r.number("queueRequests", s.QueueRequests, bound{}, defaultQueueRequests))
	p.Resume = valueOrDefault(r, "resume", s.Resume, false, strconv.FormatBool)
	p.ChecksFencingToken = valueOrDefault(r, "checksFence", s.ChecksFence, false, strconv.FormatBool)
	p.CallCost = r.number("callCost", s.CallCost, bound{}, defaultCallCost)
	return p
}

// route returns the effective route, or false if it has a fault: its prefix or pool
// is not granted, or the pool doesn't exist.
func (r *resolver) route(s RouteSpec, dir string, l *limits, pools map[string]*Pool) (Route, bool) {
	before := len(r.faults)
	if !l.prefixGranted(dir, s.Prefix.Value) {
		r.fault(s.Prefix.Line, "route prefix "+s.Prefix.Value+" is not granted to this directory")
	}
	if !l.poolGranted(s.Pool.Value) {
		r.fault(s.Pool.Line, "pool "+s.Pool.Value+" is not granted to this directory")
	}
	if _, ok := pools[s.Pool.Value]; !ok {
		r.fault(s.Pool.Line, "there is no pool "+s.Pool.Value)
	}
	t := Route{Prefix: s.Prefix.Value}
	t.Pool = valueOrDefault(r, "pool", s.Pool, "", unchanged)
	t.Methods = valueOrDefault(r, "methods", s.Methods, nil, formatList)
	t.MethodsDeclared = s.Methods.Declared()
	t.Idempotent = valueOrDefault(r, "idempotent", s.Idempotent, false, strconv.FormatBool)
	t.Public = valueOrDefault(r, "open", s.Open, false, strconv.FormatBool)
	ok := len(r.faults) == before
	if t.MethodsDeclared && len(t.Methods) == 0 {
		// The route stays: without it, a route with a shorter prefix would take its calls.
		r.fault(s.Methods.Line, "route "+s.Prefix.Value+" allows no method")
	}
	return t, ok
}

func (r *resolver) dataCentre(s DataCentreSpec) DataCentre {
	d := DataCentre{Name: s.Name.Value}
	d.Region = valueOrDefault(r, "region", s.Region, "", unchanged)
	d.OutOfService = valueOrDefault(r, "out", s.Out, false, strconv.FormatBool)
	return d
}

func unchanged(s string) string { return s }

func formatList(names []string) string {
	text := "["
	for i, n := range names {
		if i > 0 {
			text += ", "
		}
		text += n
	}
	return text + "]"
}

// sameAccount reports whether two accounts are equal.
func sameAccount(a, b *Account) bool {
	x, y := *a, *b
	x.Pools, y.Pools = nil, nil
	return slices.Equal(a.Pools, b.Pools) && x.ID == y.ID && x.Class == y.Class &&
		x.TokensPerSecond == y.TokensPerSecond && x.Burst == y.Burst && x.Weight == y.Weight &&
		x.Priority == y.Priority && x.PromptLimit == y.PromptLimit && x.OutputLimit == y.OutputLimit
}
