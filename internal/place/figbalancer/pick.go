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

	mu     sync.Mutex
	states map[string]*serverState
	peers  map[string]*peerLoad
}

// peerLoad is what another instance has in progress.
type peerLoad struct {
	incarnation uint64
	receivedAt  time.Time
	servers     map[string]figview.Held
}

// New returns a picker that knows nothing yet.
func New(o Options) *Picker {
	return &Picker{opts: o, states: map[string]*serverState{}, peers: map[string]*peerLoad{}}
}

// serverState is what is known of one lifetime of a server.
type serverState struct {
	figview.Held

	reportedLoad     int
	reportedSlots    int
	reportedAt       time.Time
	failures         float64
	failuresAt       time.Time
	connectFailures  int
	unreachableUntil time.Time
	nextColdSend     time.Time
	// spreadColdUntil is the cold start for which the first send was spread.
	spreadColdUntil time.Time
	// unattributed counts requests that the server reported and nobody has told of.
	unattributed   int
	unattributedAt time.Time
	// refusedUntil is when an engine that refused for want of room is asked again.
	refusedUntil time.Time
	// consecutiveRefusals counts those in a row.
	consecutiveRefusals int
	usedAt              time.Time
}

// Pick returns the server with the lowest score. It returns a *NoServer if failure
// may be sent the request now.
func (p *Picker) Pick(now time.Time, q *Query) (*figcatalogue.Server, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := &figroute.Pool{Name: q.Pool}
	if q.View.Table != nil {
		pool = q.View.Table.Pool(q.Pool)
	}
	all := q.View.Servers[q.Pool]
	best, failure := p.lowestScore(now, q, pool, all, q.View.Usable)
	if best == nil {
		best, _ = p.lowestScore(now, q, pool, all, func(s *figcatalogue.Server) bool { return q.View.LastResort(s, now) })
	}
	if best == nil {
		return nil, failure
	}
	return best, nil
}

// lowestScore returns the server with the lowest score among those that usable admits,
// or why there is none.
func (p *Picker) lowestScore(now time.Time, q *Query, pool *figroute.Pool, all []figcatalogue.Server,
	usable func(*figcatalogue.Server) bool,
) (*figcatalogue.Server, *NoServer) {
	var best *figcatalogue.Server
	failure := &NoServer{Reason: "no server of pool " + pool.Name + " is listed for this"}
	lowest := math.Inf(1)
	for i := range all {
		s := &all[i]
		if !usable(s) || !slices.Contains(q.Roles, s.Role) {
			continue
		}
		if slices.Contains(q.Avoid, s.Lifetime()) {
			failure.Reason = "all servers of pool " + pool.Name + " have failed this request"
			continue
		}
		e := p.state(s, now)
		p.delayFirstColdSend(now, pool, s, e)
		if wait := e.nextColdSend.Sub(now); s.Cold(now) && pool.ColdRate > 0 && wait > 0 {
			failure.Reason = "servers of pool " + pool.Name + " are in a cold start"
			if failure.Wait == 0 || wait < failure.Wait {
				failure.Wait = wait
			}
			continue
		}
		if s.Role != figview.Plain && now.Before(e.refusedUntil) || lacksRoom(pool, s, q.Tokens, p.totalLoadLocked(s, e, now).Tokens) {
			failure.Reason = "the servers of pool " + pool.Name + " have no room for the request"
			failure.Full = true
			continue
		}
		if score := p.score(now, q, pool, s, e); score < lowest {
			best, lowest = s, score
		}
	}
	return best, failure
}

// delayFirstColdSend delays the first send to a server in a cold start by a random part of
// the pause, where more instances than its rate see it at the same moment.
func (p *Picker) delayFirstColdSend(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *serverState) {
	if !s.Cold(now) || pool.ColdRate <= 0 || e.spreadColdUntil.Equal(s.ColdUntil) {
		return
	}
	e.spreadColdUntil = s.ColdUntil
	if members := p.opts.Members(now); float64(members) > pool.ColdRate {
		pause := coldSendInterval(members, pool.ColdRate)
		e.nextColdSend = now.Add(time.Duration(p.opts.Random() * float64(pause)))
	}
}

// lacksRoom says that a server has no room for another request of need tokens beside
// those that are held there.
func lacksRoom(pool *figroute.Pool, s *figcatalogue.Server, need, held int64) bool {
	if need == 0 || held == 0 {
		return false
	}
	switch s.Role {
	case figview.Decode:
		return pool.Engine != nil && pool.Engine.MemoryTokens > 0 &&
			float64(held+need) > usableMemoryFraction*float64(pool.Engine.MemoryTokens)
	case figview.Prefill:
		return float64(held) > prefillTokensPerSecond*maxPrefillQueueTime.Seconds()
	default:
		return false
	}
}

func (p *Picker) score(now time.Time, q *Query, pool *figroute.Pool, s *figcatalogue.Server, e *serverState) float64 {
	score := p.loadFraction(now, pool, s, e)
	score += failureWeight * e.decayedFailures(now)
	score += randomWeight * p.opts.Random()
	if now.Before(e.unreachableUntil) {
		score += unreachableWeight
	}
	if s.Cold(now) {
		score += coldStartWeight
	}
	if s.DataCentre != q.Near {
		score += otherDataCentreWeight
	}
	return score
}

// loadFraction returns the part of a server that is taken. For engines that is the memory
// held by all instances' requests, for plain services their slots.
func (p *Picker) loadFraction(now time.Time, pool *figroute.Pool, s *figcatalogue.Server, e *serverState) float64 {
	switch {
	case s.Role == figview.Prefill:
		return float64(p.totalLoadLocked(s, e, now).Tokens) / (prefillTokensPerSecond * maxPrefillQueueTime.Seconds())
	case pool.Engine != nil && pool.Engine.MemoryTokens > 0:
		return float64(p.totalLoadLocked(s, e, now).Tokens) / float64(pool.Engine.MemoryTokens)
	}
	slots := max(s.Slots, e.reportedSlots)
	if slots == 0 {
		slots = defaultSlots
	}
	return float64(e.requests(now)) / float64(slots)
}

// totalLoadLocked returns what all instances have in progress at a server, as far as this one
// has heard.
func (p *Picker) totalLoadLocked(s *figcatalogue.Server, e *serverState, now time.Time) figview.Held {
	sum := e.Held
	name := s.Lifetime()
	for _, o := range p.peers {
		if now.Sub(o.receivedAt) > peerLoadTTL {
			continue
		}
		h := o.servers[name]
		sum.Requests += h.Requests
		sum.Tokens += h.Tokens
	}
	if e.unattributed > 0 && now.Sub(e.unattributedAt) < unattributedTTL && p.opts.Isolated(now) {
		sum.Requests += e.unattributed
		sum.Tokens += int64(e.unattributed) * unattributedRequestTokens
	}
	return sum
}

// requests returns the requests that a plain server is taken to have.
func (e *serverState) requests(now time.Time) int {
	if now.Sub(e.reportedAt) > ReportedLoadTTL {
		return e.Requests
	}
	return max(e.Requests, e.reportedLoad)
}

func (e *serverState) decayedFailures(now time.Time) float64 {
	if e.failures == 0 {
		return 0
	}
	return e.failures * math.Exp2(-float64(now.Sub(e.failuresAt))/float64(FailureHalfLife))
}

func (p *Picker) state(s *figcatalogue.Server, now time.Time) *serverState {
	e, ok := p.states[s.Lifetime()]
	if !ok {
		e = &serverState{usedAt: now}
		p.states[s.Lifetime()] = e
	}
	return e
}

// coldSendInterval returns the time between two sends of one instance to a server in a cold
// start. In any second all members together send no more than the rate, or one each
// where they are more than that; those are spread by a pause longer than a second.
func coldSendInterval(members int, rate float64) time.Duration {
	if each := int(rate) / members; each >= 1 {
		return time.Second / time.Duration(each)
	}
	return time.Duration(coldIntervalFactor * float64(members) / rate * float64(time.Second))
}

// recordResult takes what the end of a send shows of the server.
func (e *serverState) recordResult(now time.Time, r Result) {
	failed := 0.0
	switch {
	case r.Failed || r.Unreachable:
		failed = 1
	case r.Erred:
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
	if !r.Full && failed == 0 {
		e.consecutiveRefusals = 0
	}
	if r.Known {
		e.reportedLoad, e.reportedSlots, e.reportedAt = r.Running+r.Waiting, r.Slots, now
	}
	if r.Full {
		e.refusedUntil = now.Add(min(refusalBackoff<<min(e.consecutiveRefusals, maxDoublings), maxRefusalBackoff))
		e.consecutiveRefusals++
		e.reportedLoad = max(e.reportedLoad, e.reportedSlots, e.Requests+1)
		e.reportedAt = now
	}
}

// Reported says that the server has told its load lately.
func (p *Picker) Reported(now time.Time, s *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.state(s, now).unattributedAt) < unattributedTTL
}

// HeldAt returns what all instances have in progress at s.
func (p *Picker) HeldAt(now time.Time, s *figcatalogue.Server) figview.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalLoadLocked(s, p.state(s, now), now)
}

func (p *Picker) removeExpired(now time.Time) {
	for name, e := range p.states {
		if e.Requests == 0 && now.Sub(e.usedAt) > idleStateTTL {
			delete(p.states, name)
		}
	}
	for name, o := range p.peers {
		if now.Sub(o.receivedAt) > peerLoadTTL {
			delete(p.peers, name)
		}
	}
}
