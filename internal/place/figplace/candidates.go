package figplace

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// localCandidates and farCandidates are the random candidates of the own data
	// centre and of all.
	localCandidates  = 4
	globalCandidates = 4
	// prefixCandidates are the candidates found by the prompt's prefix.
	prefixCandidates = 2
	// crossDataCentreDelay and regionTime are what a prefill may wait longer to stay in the
	// data centre and in the region.
	crossDataCentreDelay = 20 * time.Millisecond
	crossRegionDelay     = 200 * time.Millisecond
	// crossDataCentreLoad and regionLoad are how much fuller a decode server may be to stay
	// in the data centre and in the region, as a part of its memory.
	crossDataCentreLoad = 0.1
	crossRegionLoad     = 0.3
	// modelLoadDelay and missingLoad are the cost of a model or adapter that isn't
	// resident.
	modelLoadDelay   = 300 * time.Millisecond
	modelLoadPenalty = 0.3
	// defaultLoad is assumed of a decode server that nothing is known of.
	defaultLoad = 0.5
	// defaultTokensPerSecond is assumed of a prefill server that nothing is known of.
	defaultTokensPerSecond = 8000
	// jitterPerSecond is the random part of a score for each second of the load
	// index's age, so that instances with equally old news choose differently.
	jitterPerSecond = 0.2
)

// candidate is a server that may be asked for.
type candidate struct {
	server figview.Server
	owner  figview.Member
	score  float64
	// uncachedTokens is the work after the cached prefix, queue the wait before it, ready
	// when it would be done.
	uncachedTokens int64
	queueWait      time.Duration
	doneIn         time.Duration
	// acceptsAnyWait says that it takes another prompt however long it would wait.
	acceptsAnyWait bool
}

// search is one look for candidates of one role.
type search struct {
	*Placer
	now     time.Time
	request *Request
	role    figview.Role
	pieces  int64
	cat     *catalogue
	// retryAfter is the least advice on when to come back, among the passed-over.
	retryAfter time.Duration
	// eligible counts servers that take work at all, whether there is room or not.
	eligible int
}

// candidates returns the servers to ask, best first. The caller holds mu.
func (s *search) candidates() []candidate {
	g := s.cat.groups[groupKey{pool: s.request.Pool, role: s.role}]
	if g == nil {
		return nil
	}
	seen := make([]string, 0, localCandidates+globalCandidates+prefixCandidates)
	found := make([]candidate, 0, cap(seen))
	try := func(p ringPoint) {
		if slices.Contains(seen, p.server.Name) {
			return
		}
		seen = append(seen, p.server.Name)
		if c, ok := s.evaluate(p.server); ok {
			found = append(found, c)
		}
	}
	if s.role == figview.Prefill {
		s.tryByPrefix(g.all, try)
	}
	s.tryRandom(g.byDC[s.opts.DataCentre], localCandidates, try)
	s.tryRandom(g.all, globalCandidates, try)
	slices.SortStableFunc(found, func(a, b candidate) int {
		switch {
		case a.score < b.score:
			return -1
		case a.score > b.score:
			return 1
		}
		return 0
	})
	return found
}

// tryByPrefix tries the servers that the first and the longest prefix point to.
func (s *search) tryByPrefix(points []ringPoint, try func(ringPoint)) {
	p := s.request.Prefix
	if len(p) == 0 || len(points) == 0 {
		return
	}
	try(points[ringIndex(points, p[0])])
	if name, ok := s.prefixes.longestMatch(p); ok {
		if i := ringIndex(points, mix(xxhash.Sum64String(name), 0)); points[i].server.Name == name {
			try(points[i])
		}
	}
}

// tryRandom tries n neighbours of a random point: all of them if there are no more.
func (s *search) tryRandom(points []ringPoint, n int, try func(ringPoint)) {
	if len(points) == 0 {
		return
	}
	if len(points) <= n {
		for _, p := range points {
			try(p)
		}
		return
	}
	for range n {
		try(points[s.opts.Random()%uint64(len(points))])
	}
}

// evaluate scores one server. It returns false if the server can't be asked now.
func (s *search) evaluate(x figview.Server) (candidate, bool) {
	if slices.Contains(s.request.Avoid, x.Name) {
		return candidate{}, false
	}
	owner, ok := s.cat.owner(x)
	if !ok {
		return candidate{}, false
	}
	s.eligible++
	if !s.table.reachable(s.now, owner.Name) {
		return candidate{}, false
	}
	r := s.table.state(x.Name)
	if s.now.Before(r.blockedUntil) {
		s.lowerRetryAfter(r.blockedUntil.Sub(s.now))
		return candidate{}, false
	}
	if s.now.Before(r.refusedUntil) && max(1, s.pieces) >= r.refusedPieces {
		s.lowerRetryAfter(r.refusedUntil.Sub(s.now))
		return candidate{}, false
	}
	c := candidate{server: x, owner: owner, uncachedTokens: s.request.PromptTokens}
	if s.role == figview.Prefill {
		s.scorePrefill(&c, r)
	} else {
		s.scoreByMemory(&c, r)
	}
	return c, true
}

func (s *search) lowerRetryAfter(wait time.Duration) {
	if s.retryAfter == 0 || wait < s.retryAfter {
		s.retryAfter = wait
	}
}

// scorePrefill scores by the time until the prefill would be done.
func (s *search) scorePrefill(c *candidate, r *serverState) {
	speed := float64(defaultTokensPerSecond)
	queue := int64(0)
	if r.loadFresh(s.now) && r.load.TokensPerSecond > 0 {
		speed = float64(r.load.TokensPerSecond)
		queue = r.queueTokens(s.now)
		c.acceptsAnyWait = r.load.Short
	}
	c.uncachedTokens = s.prefixes.uncachedTokens(c.server.Name, s.request)
	c.queueWait = time.Duration(float64(queue) / speed * float64(time.Second))
	c.doneIn = c.queueWait + time.Duration(float64(c.uncachedTokens)/speed*float64(time.Second))
	cost := c.doneIn + s.distancePenalty(c.server, crossDataCentreDelay, crossRegionDelay)
	if s.lacksModel(r) {
		cost += modelLoadDelay
	}
	c.score = cost.Seconds() * (1 + s.jitter(r))
}

// scoreByMemory scores by the part of the memory that would be taken.
func (s *search) scoreByMemory(c *candidate, r *serverState) {
	load := defaultLoad
	if r.loadFresh(s.now) && r.load.TotalPieces > 0 {
		load = 1 - float64(r.freePieces()-s.pieces)/float64(r.load.TotalPieces)
	}
	load += s.distancePenalty(c.server, crossDataCentreLoad*1e9, crossRegionLoad*1e9).Seconds()
	if s.lacksModel(r) {
		load += modelLoadPenalty
	}
	c.score = load + s.jitter(r)
}

// jitter returns a random number that grows with the age of the load index.
func (s *search) jitter(r *serverState) float64 {
	age := min(s.now.Sub(r.loadAt), maxLoadAge).Seconds()
	return jitterPerSecond * age * float64(s.opts.Random()) / math.MaxUint64
}

// distancePenalty returns cross for another data centre and region for another region.
func (s *search) distancePenalty(x figview.Server, cross, region time.Duration) time.Duration {
	if x.DataCentre == s.opts.DataCentre {
		return 0
	}
	if s.region(x.DataCentre) != s.region(s.opts.DataCentre) {
		return region
	}
	return cross
}

// lacksModel says whether the server is known not to have the request's model or
// adapter. A server that reports nothing resident is not known to lack anything.
func (s *search) lacksModel(r *serverState) bool {
	if !r.loadFresh(s.now) || len(r.load.Resident) == 0 {
		return false
	}
	for _, name := range []string{s.request.Model, s.request.Adapter} {
		if name != "" && !slices.Contains(r.load.Resident, figowner.ResidentHash(name)) {
			return true
		}
	}
	return false
}
