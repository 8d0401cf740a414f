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
	// localCandidates and globalCandidates are the numbers of random candidates from this instance's data
	// centre and from all data centres.
	localCandidates  = 4
	globalCandidates = 4
	// prefixCandidates is the largest number of candidates found by the prompt's prefix.
	prefixCandidates = 2
	// crossDataCentreDelay and crossRegionDelay are added to the expected duration of a prefill on a server
	// in another data centre of the region or in another region.
	crossDataCentreDelay = 20 * time.Millisecond
	crossRegionDelay     = 200 * time.Millisecond
	// crossDataCentreLoad and crossRegionLoad are added to the load of a decode server in another data centre
	// of the region or in another region, as a fraction of its memory.
	crossDataCentreLoad = 0.1
	crossRegionLoad     = 0.3
	// modelLoadDelay and modelLoadPenalty are added to the expected duration and to the load if the server
	// must load the model or adapter first.
	modelLoadDelay   = 300 * time.Millisecond
	modelLoadPenalty = 0.3
	// defaultLoad is the load assumed for a decode server without a recent load index.
	defaultLoad = 0.5
	// defaultTokensPerSecond is the speed assumed for a prefill server without a recent load index.
	defaultTokensPerSecond = 8000
	// jitterPerSecond is the upper bound of the random part of a score, for each second of the load index's
	// age. It makes instances with equally old load indexes choose different servers.
	jitterPerSecond = 0.2
)

// candidate is a server whose owner may be asked for a lease. A lower score is better.
type candidate struct {
	server figview.Server
	owner  figview.Member
	score  float64
	// uncachedTokens is the estimated prefill work. queueWait is the estimated wait before that work starts,
	// and doneIn the estimated time until it is done.
	uncachedTokens int64
	queueWait      time.Duration
	doneIn         time.Duration
	// acceptsAnyWait says that the server has so few prompts that its owner grants another one whatever the
	// wait.
	acceptsAnyWait bool
}

// search looks for candidates of one role for one request. The Placer's mutex must be held, except for
// noCandidateError and lowerRetryAfter.
type search struct {
	*Placer
	now     time.Time
	request *Request
	role    figview.Role
	pieces  int64
	cat     *catalogue
	// retryAfter is the shortest time after which a server that was skipped or that refused may have room.
	// Zero means that none has given a time.
	retryAfter time.Duration
	// eligible counts the evaluated servers that have an owner and aren't excluded by the request, whether or
	// not they have room.
	eligible int
}

// candidates returns the servers to ask, best first. The caller holds mu.
func (s *search) candidates() []candidate {
	g := s.cat.groups[groupKey{pool: s.request.Pool, role: s.role}]
	if g == nil {
		return nil
	}
	evaluated := make([]string, 0, localCandidates+globalCandidates+prefixCandidates)
	found := make([]candidate, 0, cap(evaluated))
	evaluate := func(p ringPoint) {
		if slices.Contains(evaluated, p.server.Name) {
			return
		}
		evaluated = append(evaluated, p.server.Name)
		if c, ok := s.evaluate(p.server); ok {
			found = append(found, c)
		}
	}
	if s.role == figview.Prefill {
		s.tryByPrefix(g.all, evaluate)
	}
	s.tryRandom(g.byDC[s.opts.DataCentre], localCandidates, evaluate)
	s.tryRandom(g.all, globalCandidates, evaluate)
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

// tryByPrefix calls try with the server to which the prompt's first block hashes, and with the server that
// last computed the longest prefix of the prompt.
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

// tryRandom calls try with n randomly drawn points, which may repeat, or with all points if there are no more
// than n.
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

// evaluate returns the scored candidate for a server. It returns false if the server can't be asked now: the
// request excludes it, it has no reachable owner, or a backoff applies to it.
func (s *search) evaluate(x figview.Server) (candidate, bool) {
	if slices.Contains(s.request.ExcludedServers, x.Name) {
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

// scorePrefill sets the score of a prefill server: the estimated time in seconds until the prefill is done,
// plus penalties for distance and for a missing model or adapter.
func (s *search) scorePrefill(c *candidate, r *serverState) {
	speed := float64(defaultTokensPerSecond)
	queue := int64(0)
	if r.loadFresh(s.now) && r.load.TokensPerSecond > 0 {
		speed = float64(r.load.TokensPerSecond)
		queue = r.queueTokens(s.now)
		c.acceptsAnyWait = r.load.AcceptsAnyWait
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

// scoreByMemory sets the score of a decode or plain server: the fraction of its memory that would be taken,
// plus penalties for distance and for a missing model or adapter. distancePenalty works on durations, so one
// second stands for a load of 1.
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

// jitter returns a random number whose upper bound grows with the age of the load index.
func (s *search) jitter(r *serverState) float64 {
	age := min(s.now.Sub(r.loadAt), maxLoadAge).Seconds()
	return jitterPerSecond * age * float64(s.opts.Random()) / math.MaxUint64
}

// distancePenalty returns 0 for a server in this data centre, cross for another data centre of the region,
// and region for another region.
func (s *search) distancePenalty(x figview.Server, cross, region time.Duration) time.Duration {
	if x.DataCentre == s.opts.DataCentre {
		return 0
	}
	if s.region(x.DataCentre) != s.region(s.opts.DataCentre) {
		return region
	}
	return cross
}

// lacksModel says whether the server is known not to have the request's model or adapter resident. It is
// false for a server without a recent load index or one that reports no resident models.
func (s *search) lacksModel(r *serverState) bool {
	if !r.loadFresh(s.now) || len(r.load.ResidentHashes) == 0 {
		return false
	}
	for _, name := range []string{s.request.Model, s.request.Adapter} {
		if name != "" && !slices.Contains(r.load.ResidentHashes, figowner.ResidentHash(name)) {
			return true
		}
	}
	return false
}
