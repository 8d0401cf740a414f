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

// Options holds a Picker's dependencies. All fields are required.
type Options struct {
	// Random returns a number in [0, 1).
	Random func() float64
	// Members returns how many instances share the servers, at least 1.
	Members func(now time.Time) int
	// Coordinates says that the picker places requests of all instances. A pause that a server asked one of them
	// for then only ranks the server behind others.
	Coordinates bool
	// UseReports makes the loads that decode servers report count. A coordinator knows newer ones.
	UseReports bool
	// OnLocalLoadChange is called with this instance's requests and tokens in flight at a
	// server after each change except Reservation.AddTokens. It is called without locks held.
	OnLocalLoadChange func(lifetime string, h figview.ServerLoad)
}

// Picker chooses servers. It is safe for concurrent use.
type Picker struct {
	opts Options

	mu     sync.Mutex
	states map[string]*serverState
	// notices holds what servers have said about taking requests, by name.
	notices map[string]*notice
	// listingsNotedAt is when noteListings last looked at the list of servers.
	listingsNotedAt time.Time
	// groups holds the servers of each pool and role whose speed is measured, calls the durations of each pool's calls.
	groups map[speedKey]*speedGroup
	calls  map[string]CallTimes
	// oddMeasurements counts measurements and work figures out of range. speedLoggedAt is when a change of a server's
	// speed class was last logged.
	oddMeasurements uint64
	speedLoggedAt   time.Time
}

// New returns a picker without recorded load or failures.
func New(o Options) *Picker {
	return &Picker{
		opts: o, states: map[string]*serverState{}, notices: map[string]*notice{}, groups: map[speedKey]*speedGroup{},
		calls: map[string]CallTimes{},
	}
}

// serverState holds the local load, reported load, failures and backoff of one server
// lifetime.
type serverState struct {
	// ServerLoad is the number of requests and tokens that this instance has in flight at the server.
	figview.ServerLoad
	serverSpeed

	// reportedLoad, reportedSlots and reportedAt are the last load reported by the server: its
	// running and waiting requests, its slots and when they were reported. A refusal for lack
	// of capacity raises reportedLoad at least to the slots.
	reportedLoad  int
	reportedSlots int
	reportedAt    time.Time
	// failures is the moving average of failed sends at failuresAt, from 0 to 1.
	failures   float64
	failuresAt time.Time
	// connectFailures counts consecutive failed connects. The server ranks last until
	// unreachableUntil.
	connectFailures  int
	unreachableUntil time.Time
	// replacedUntil is until when the server counts as replaced by another one at its address.
	replacedUntil time.Time
	// nextColdSend is when this instance may next send to the server during a cold start.
	nextColdSend time.Time
	// spreadColdUntil is the ColdStartEnd of the last cold start for which delayFirstColdSend
	// ran.
	spreadColdUntil time.Time
	// unattributed counts requests that the server reported at unattributedAt beside the local ones.
	unattributed   int
	unattributedAt time.Time
	// refusedUntil is when the backoff of an engine that refused for lack of capacity ends.
	refusedUntil time.Time
	// consecutiveRefusals counts refusals since the last send without a failure.
	consecutiveRefusals int
	// limit is the rate limit that the server names.
	limit rateLimit
	// usedAt is when the last send or reservation began.
	usedAt time.Time
}

// Pick returns the server with the lowest score. If no usable server can take the request, it
// tries servers that have just left the list without notice. The error is a *NoServerError.
func (p *Picker) Pick(now time.Time, q *Query) (*figcatalogue.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := &figroute.Pool{Name: q.Pool}
	if q.View.Table != nil {
		pool = q.View.Table.Pool(q.Pool)
	}
	all := q.View.Servers[q.Pool]
	for _, r := range q.Roles {
		if g, ok := p.groups[speedKey{q.Pool, r}]; ok {
			p.computeSpeeds(now, g)
		}
	}
	best, failure := p.lowestScore(now, q, pool, all, q.View.Usable)
	if best == nil {
		best, _ = p.lowestScore(now, q, pool, all, func(s *figcatalogue.Server) bool { return q.View.LastResort(s, now) })
	}
	if best == nil {
		return nil, failure
	}
	return best, nil
}

// lowestScore returns the server with the lowest score among those for which usable returns
// true, or the reason why no server can take the request.
func (p *Picker) lowestScore(now time.Time, q *Query, pool *figroute.Pool, all []figcatalogue.Server,
	usable func(*figcatalogue.Server) bool,
) (*figcatalogue.Server, *NoServerError) {
	var best *figcatalogue.Server
	failure := &NoServerError{Reason: "no server of pool " + pool.Name + " is usable for the requested roles"}
	lowest := math.Inf(1)
	for i := range all {
		s := &all[i]
		if !usable(s) || !slices.Contains(q.Roles, s.Role) {
			continue
		}
		if q.Only != nil && !q.Only(s) {
			continue
		}
		lifetime := s.Lifetime()
		if slices.Contains(q.ExcludedLifetimes, lifetime) {
			failure.Reason = "servers of pool " + pool.Name + " have already failed this request"
			continue
		}
		e := p.stateOf(lifetime, now)
		if p.leaves(s) {
			failure.Reason = "servers of pool " + pool.Name + " leave"
			continue
		}
		if wait := p.pauseOf(now, s); wait > 0 && !p.opts.Coordinates {
			failure.Reason = "servers of pool " + pool.Name + " have asked for a pause"
			failure.shorten(wait)
			continue
		}
		if now.Before(e.replacedUntil) {
			failure.Reason, failure.NoCapacity = "servers of pool "+pool.Name+" have been replaced at their addresses", true
			continue
		}
		p.delayFirstColdSend(now, pool, s, e)
		if wait := e.nextColdSend.Sub(now); s.InColdStart(now) && pool.ColdStartRate > 0 && wait > 0 {
			failure.Reason = "servers of pool " + pool.Name + " are in a cold start and have reached their send rate"
			failure.shorten(wait)
			continue
		}
		if wait := e.limit.wait(now, p.opts.Members(now)); wait > 0 {
			failure.Reason = "servers of pool " + pool.Name + " have got as many requests as they take"
			failure.shorten(wait)
			continue
		}
		slowness := e.slowness(now)
		if s.Role != figview.Plain && now.Before(e.refusedUntil) || q.LimitPlain && e.plainFull(s, slowness) ||
			lacksCapacity(pool, s, q.Tokens, p.totalLoadLocked(e, now).Tokens, slowness) {
			failure.Reason = "servers of pool " + pool.Name + " have no capacity for the request"
			failure.NoCapacity = true
			continue
		}
		if score := p.score(now, q, pool, s, e, slowness); score < lowest {
			best, lowest = s, score
		}
	}
	return best, failure
}

// delayFirstColdSend delays this instance's first send to a server in a cold start by a random
// part of the send interval, if more instances than the server's rate share it. Otherwise all
// of them would send as soon as they see the server.
func (p *Picker) delayFirstColdSend(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *serverState) {
	if !s.InColdStart(now) || pool.ColdStartRate <= 0 || e.spreadColdUntil.Equal(s.ColdStartEnd) {
		return
	}
	e.spreadColdUntil = s.ColdStartEnd
	if members := p.opts.Members(now); float64(members) > pool.ColdStartRate {
		interval := coldSendInterval(members, pool.ColdStartRate)
		e.nextColdSend = now.Add(time.Duration(p.opts.Random() * float64(interval)))
	}
}

// lacksCapacity reports whether a server lacks capacity for another request of need tokens beside
// the held tokens of the requests already there. It is false if either is 0: a server without
// requests takes a request of any size.
func lacksCapacity(pool *figroute.Pool, s *figcatalogue.Server, need, held int64, slowness float64) bool {
	if need == 0 || held == 0 {
		return false
	}
	switch s.Role {
	case figview.Decode:
		return pool.Engine != nil && pool.Engine.MemoryTokens > 0 &&
			float64(held+need) > usableMemoryFraction*float64(pool.Engine.MemoryTokens)
	case figview.Prefill:
		return float64(held)*slowness > prefillTokensPerSecond*maxPrefillQueueTime.Seconds()
	default:
		return false
	}
}

// score returns the load fraction of a server plus the weights of its failures,
// unreachability, pause, cold start and location.
func (p *Picker) score(now time.Time, q *Query, pool *figroute.Pool, s *figcatalogue.Server, e *serverState, slowness float64) float64 {
	score := p.loadFraction(now, pool, s, e)
	if slowness != 1 {
		score += p.slownessCost(now, q, pool, s, e, slowness)
	}
	score += failureWeight * e.decayedFailures(now)
	score += randomWeight * p.opts.Random()
	if now.Before(e.unreachableUntil) {
		score += unreachableWeight
	}
	if p.pauseOf(now, s) > 0 {
		score += pausedWeight
	}
	if s.InColdStart(now) {
		score += coldStartWeight
	}
	if s.DataCentre != q.PreferredDataCentre {
		score += otherDataCentreWeight
	}
	return score
}

// loadFraction returns the fraction of a server's capacity that is in use: of the queue limit
// for prefill servers, of the memory for other servers of a pool with a declared engine
// memory, and of the slots otherwise.
func (p *Picker) loadFraction(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *serverState) float64 {
	switch {
	case s.Role == figview.Prefill:
		return float64(p.totalLoadLocked(e, now).Tokens) / (prefillTokensPerSecond * maxPrefillQueueTime.Seconds())
	case pool.Engine != nil && pool.Engine.MemoryTokens > 0:
		return float64(p.totalLoadLocked(e, now).Tokens) / float64(pool.Engine.MemoryTokens)
	}
	return float64(e.requests(now)) / float64(e.slots(s))
}

// slots returns how many requests a server runs at once.
func (e *serverState) slots(s *figcatalogue.Server) int {
	if slots := max(s.Slots, e.reportedSlots); slots > 0 {
		return slots
	}
	return defaultSlots
}

// plainFull reports whether a plain server has as many of the recorded requests as it should get.
func (e *serverState) plainFull(s *figcatalogue.Server, slowness float64) bool {
	return s.Role == figview.Plain && float64(e.Requests) >= queueFactor(slowness)*float64(e.slots(s))
}

// totalLoadLocked returns the requests and tokens in flight at a server that this instance has
// recorded, with UseReports also those that only the server reported.
func (p *Picker) totalLoadLocked(e *serverState, now time.Time) figview.ServerLoad {
	sum := e.ServerLoad
	if p.opts.UseReports && e.unattributed > 0 && now.Sub(e.unattributedAt) < unattributedTTL {
		sum.Requests += e.unattributed
		sum.Tokens += int64(e.unattributed) * unattributedRequestTokens
	}
	return sum
}

// requests returns the estimated number of requests at a plain server.
func (e *serverState) requests(now time.Time) int {
	if now.Sub(e.reportedAt) > ReportedLoadTTL {
		return e.Requests
	}
	return max(e.Requests, e.reportedLoad)
}

// decayedFailures returns the failure average after its decay since the last result.
func (e *serverState) decayedFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.failuresAt))/float64(FailureHalfLife))
}

// state returns the state of s, which it creates if there is none. p.mu must be held.
func (p *Picker) state(s *figcatalogue.Server, now time.Time) *serverState {
	return p.stateOf(s.Lifetime(), now)
}

// stateOf is like state for the server with a lifetime.
func (p *Picker) stateOf(lifetime string, now time.Time) *serverState {
	e, ok := p.states[lifetime]
	if !ok {
		e = &serverState{usedAt: now}
		p.states[lifetime] = e
	}
	return e
}

// coldSendInterval returns the time between two sends of one instance to a server in a cold
// start. In any second all members together send at most rate requests, or at most one each
// where the members outnumber the rate: the interval is then longer than a second.
func coldSendInterval(members int, rate float64) time.Duration {
	if each := int(rate) / members; each >= 1 {
		return time.Second / time.Duration(each)
	}
	return time.Duration(coldIntervalFactor * float64(members) / rate * float64(time.Second))
}

// recordResult updates failures, backoffs and reported load with the result of a send.
func (e *serverState) recordResult(now time.Time, r Result) {
	failed := 0.0
	switch {
	case r.Failed || r.Unreachable:
		failed = 1
	case r.ApplicationError:
		failed = applicationErrorWeight
	}
	e.failures = e.decayedFailures(now)*(1-failureSmoothing) + failed*failureSmoothing
	e.failuresAt = now
	if r.Unreachable {
		e.unreachableUntil = now.Add(min(unreachableBackoff<<min(e.connectFailures, maxDoublings), maxUnreachableBackoff))
		e.connectFailures++
	} else {
		e.connectFailures = 0
		e.unreachableUntil = time.Time{}
	}
	if r.WrongServer {
		e.replacedUntil = now.Add(replacedTime)
	}
	if !r.NoCapacity && failed == 0 {
		e.consecutiveRefusals = 0
	}
	if r.HasLoad {
		e.reportedLoad, e.reportedSlots, e.reportedAt = r.Running+r.Waiting, r.Slots, now
	}
	if r.NoCapacity {
		e.refusedUntil = now.Add(min(refusalBackoff<<min(e.consecutiveRefusals, maxDoublings), maxRefusalBackoff))
		e.consecutiveRefusals++
		e.reportedLoad = max(e.reportedLoad, e.reportedSlots, e.Requests+1)
		e.reportedAt = now
	}
}

// TotalLoad returns the requests and tokens in flight at s that this instance has recorded.
func (p *Picker) TotalLoad(now time.Time, s *figcatalogue.Server) figview.ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalLoadLocked(p.state(s, now), now)
}

// removeExpired deletes the state of servers that were unused for idleStateTTL, unless there is a limit of theirs to
// remember, and the notices that have no effect any more. p.mu must be held.
func (p *Picker) removeExpired(now time.Time) {
	for name, e := range p.states {
		limited := e.limit.perSecond > 0 && now.Sub(e.limit.namedAt) < limitTTL
		if e.Requests == 0 && !limited && now.Sub(e.usedAt) > idleStateTTL {
			e.leaveGroup()
			delete(p.states, name)
		}
	}
	p.removeIdleGroups(now)
	for name, n := range p.notices {
		if !n.active(now) {
			delete(p.notices, name)
		}
	}
}
