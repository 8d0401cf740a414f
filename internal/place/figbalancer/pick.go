package figbalancer

import (
	"math"
	"slices"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Options holds the seams of a Picker. All fields are required.
type Options struct {
	// Random returns a number in [0, 1).
	Random func() float64
	// Members returns how many instances share the servers, at least 1.
	Members func(now time.Time) int
	// Isolated says that this instance doesn't hear most of the others. Only then do
	// reported loads count: otherwise what the others tell is newer.
	Isolated func(now time.Time) bool
	// Changed is told what this instance has in progress at an engine after each
	// change.
	Changed func(lifetime string, h figview.Held)
}

// Picker chooses servers. It is safe for concurrent use.
type Picker struct {
	opts Options

	mu      sync.Mutex
	entries map[string]*entry
	others  map[string]*other
}

// other is what another instance has in progress.
type other struct {
	incarnation uint64
	at          time.Time
	held        map[string]figview.Held
}

// New returns a picker that knows nothing yet.
func New(o Options) *Picker {
	return &Picker{opts: o, entries: map[string]*entry{}, others: map[string]*other{}}
}

// entry is what is known of one lifetime of a server.
type entry struct {
	figview.Held

	load      int
	slots     int
	loadAt    time.Time
	failing   float64
	failingAt time.Time
	streak    int
	until     time.Time
	coldNext  time.Time
	// coldSeen is the cold start for which the first send was spread.
	coldSeen time.Time
	// strangers counts requests that the server reported and nobody has told of.
	strangers   int
	strangersAt time.Time
	// fullUntil is when an engine that refused for want of room is asked again.
	fullUntil time.Time
	// refusals counts those in a row.
	refusals int
	usedAt   time.Time
}

// Pick returns the server with the lowest score. It returns a *NoServer if none
// may be sent the request now.
func (p *Picker) Pick(now time.Time, q *Query) (*figcatalogue.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := &figroute.Pool{Name: q.Pool}
	if q.View.Table != nil {
		pool = q.View.Table.Pool(q.Pool)
	}
	all := q.View.Servers[q.Pool]
	best, none := p.best(now, q, pool, all, q.View.Usable)
	if best == nil {
		best, _ = p.best(now, q, pool, all, func(s *figcatalogue.Server) bool { return q.View.LastResort(s, now) })
	}
	if best == nil {
		return nil, none
	}
	return best, nil
}

// best returns the server with the lowest score among those that usable admits,
// or why there is none.
func (p *Picker) best(now time.Time, q *Query, pool *figroute.Pool, all []figcatalogue.Server,
	usable func(*figcatalogue.Server) bool,
) (*figcatalogue.Server, *NoServer) {
	var best *figcatalogue.Server
	none := &NoServer{Reason: "no server of pool " + pool.Name + " is listed for this"}
	lowest := math.Inf(1)
	for i := range all {
		s := &all[i]
		if !usable(s) || !slices.Contains(q.Roles, s.Role) {
			continue
		}
		if slices.Contains(q.Avoid, s.Lifetime()) {
			none.Reason = "all servers of pool " + pool.Name + " have failed this request"
			continue
		}
		e := p.entry(s, now)
		p.spreadCold(now, pool, s, e)
		if wait := e.coldNext.Sub(now); s.Cold(now) && pool.ColdRate > 0 && wait > 0 {
			none.Reason = "servers of pool " + pool.Name + " are in a cold start"
			if none.Wait == 0 || wait < none.Wait {
				none.Wait = wait
			}
			continue
		}
		if s.Role != figview.Plain && now.Before(e.fullUntil) || full(pool, s, q.Tokens, p.held(s, e, now).Tokens) {
			none.Reason = "the servers of pool " + pool.Name + " have no room for the request"
			none.Full = true
			continue
		}
		if score := p.score(now, q, pool, s, e); score < lowest {
			best, lowest = s, score
		}
	}
	return best, none
}

// spreadCold delays the first send to a server in a cold start by a random part of
// the pause, where more instances than its rate see it at the same moment.
func (p *Picker) spreadCold(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *entry) {
	if !s.Cold(now) || pool.ColdRate <= 0 || e.coldSeen.Equal(s.ColdUntil) {
		return
	}
	e.coldSeen = s.ColdUntil
	if members := p.opts.Members(now); float64(members) > pool.ColdRate {
		pause := coldPause(members, pool.ColdRate)
		e.coldNext = now.Add(time.Duration(p.opts.Random() * float64(pause)))
	}
}

// full says that a server has no room for another request of need tokens beside
// those that are held there.
func full(pool *figroute.Pool, s *figcatalogue.Server, need, held int64) bool {
	if need == 0 || held == 0 {
		return false
	}
	switch s.Role {
	case figview.Decode:
		return pool.Engine != nil && pool.Engine.MemoryTokens > 0 &&
			float64(held+need) > memoryPart*float64(pool.Engine.MemoryTokens)
	case figview.Prefill:
		return float64(held) > prefillRate*prefillQueue.Seconds()
	default:
		return false
	}
}

func (p *Picker) score(now time.Time, q *Query, pool *figroute.Pool, s *figcatalogue.Server, e *entry) float64 {
	score := p.load(now, pool, s, e)
	score += weightFailing * e.failingNow(now)
	score += weightRandom * p.opts.Random()
	if now.Before(e.until) {
		score += weightUnreachable
	}
	if s.Cold(now) {
		score += weightCold
	}
	if s.DataCentre != q.Near {
		score += weightFar
	}
	return score
}

// load returns the part of a server that is taken. For engines that is the memory
// held by all instances' requests, for plain services their slots.
func (p *Picker) load(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *entry) float64 {
	switch {
	case s.Role == figview.Prefill:
		return float64(p.held(s, e, now).Tokens) / (prefillRate * prefillQueue.Seconds())
	case pool.Engine != nil && pool.Engine.MemoryTokens > 0:
		return float64(p.held(s, e, now).Tokens) / float64(pool.Engine.MemoryTokens)
	}
	slots := max(s.Slots, e.slots)
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(e.busy(now)) / float64(slots)
}

// held returns what all instances have in progress at a server, as far as this one
// has heard.
func (p *Picker) held(s *figcatalogue.Server, e *entry, now time.Time) figview.Held {
	sum := e.Held
	name := s.Lifetime()
	for _, o := range p.others {
		if now.Sub(o.at) > othersLife {
			continue
		}
		h := o.held[name]
		sum.Requests += h.Requests
		sum.Tokens += h.Tokens
	}
	if e.strangers > 0 && now.Sub(e.strangersAt) < strangersLife && p.opts.Isolated(now) {
		sum.Requests += e.strangers
		sum.Tokens += int64(e.strangers) * strangerTokens
	}
	return sum
}

// busy returns the requests that a plain server is taken to have.
func (e *entry) busy(now time.Time) int {
	if now.Sub(e.loadAt) > LoadLife {
		return e.Requests
	}
	return max(e.Requests, e.load)
}

func (e *entry) failingNow(now time.Time) float64 {
	if e.failing == 0 {
		return 0
	}
	return e.failing * math.Exp2(-float64(now.Sub(e.failingAt))/float64(FailureHalfLife))
}

func (p *Picker) entry(s *figcatalogue.Server, now time.Time) *entry {
	e, ok := p.entries[s.Lifetime()]
	if !ok {
		e = &entry{usedAt: now}
		p.entries[s.Lifetime()] = e
	}
	return e
}

// coldPause returns the time between two sends of one instance to a server in a cold
// start. In any second all members together send no more than the rate, or one each
// where they are more than that; those are spread by a pause longer than a second.
func coldPause(members int, rate float64) time.Duration {
	if each := int(rate) / members; each >= 1 {
		return time.Second / time.Duration(each)
	}
	return time.Duration(coldSpread * float64(members) / rate * float64(time.Second))
}

// settle takes what the end of a send shows of the server.
func (e *entry) settle(now time.Time, r Result) {
	failed := 0.0
	switch {
	case r.Failed || r.Unreachable:
		failed = 1
	case r.Erred:
		failed = erredPart
	}
	e.failing = e.failingNow(now)*(1-smoothing) + failed*smoothing
	e.failingAt = now
	if r.Unreachable {
		e.until = now.Add(min(retryUnreachable<<min(e.streak, maxDoublings), retryUnreachableLimit))
		e.streak++
	} else {
		e.streak = 0
		e.until = time.Time{}
	}
	if !r.Full && failed == 0 {
		e.refusals = 0
	}
	if r.Known {
		e.load, e.slots, e.loadAt = r.Running+r.Waiting, r.Slots, now
	}
	if r.Full {
		e.fullUntil = now.Add(min(fullPause<<min(e.refusals, maxDoublings), fullPauseLimit))
		e.refusals++
		e.load = max(e.load, e.slots, e.Requests+1)
		e.loadAt = now
	}
}

// Reported says that the server has told its load lately.
func (p *Picker) Reported(now time.Time, s *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.entry(s, now).strangersAt) < strangersLife
}

// HeldAt returns what all instances have in progress at s.
func (p *Picker) HeldAt(now time.Time, s *figcatalogue.Server) figview.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held(s, p.entry(s, now), now)
}

func (p *Picker) forget(now time.Time) {
	for name, e := range p.entries {
		if e.Requests == 0 && now.Sub(e.usedAt) > idleForget {
			delete(p.entries, name)
		}
	}
	for name, o := range p.others {
		if now.Sub(o.at) > othersLife {
			delete(p.others, name)
		}
	}
}
