package figbalancer

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

const (
	// limitBurst is the time whose requests may be sent at once to a server that names a rate limit.
	limitBurst = 500 * time.Millisecond
	// minRateLimit is the least number of requests a second that a server gets, so that it can tell when
	// it needs no limit any more.
	minRateLimit = 0.25
	// limitHold is how long a limit holds at least after it was named, because answers overtake each other.
	limitHold = 500 * time.Millisecond
	// maxSharedRefill bounds the time that a refill of a shared limit counts, so that instances that sent
	// nothing for long don't all have a request to send when coordinators stop to answer.
	maxSharedRefill = 2 * time.Second
	// limitTTL is how long a limit is remembered while the server gets no requests.
	limitTTL = 10 * time.Minute
)

// rateLimit is the token bucket of a server that names a rate limit. The zero value is that of a server
// without one.
type rateLimit struct {
	// perSecond is the limit; 0 if there is none.
	perSecond float64
	// namedAt is when the server last named it.
	namedAt time.Time
	// tokens is the number of requests that may be sent at updatedAt.
	tokens    float64
	updatedAt time.Time
}

// record notes whether a server named a limit in an answer. tokens is what the bucket of a new limit holds.
func (l *rateLimit) record(now time.Time, r Result, tokens float64) {
	switch {
	case r.Limited:
		if l.perSecond == 0 {
			l.tokens, l.updatedAt = tokens, now
		}
		l.perSecond, l.namedAt = max(r.RateLimit, minRateLimit), now
	case r.Answered && l.perSecond > 0 && now.Sub(l.namedAt) >= limitHold:
		*l = rateLimit{}
	}
}

// refill adds the tokens of the time since the last call. The instances share the limit.
func (l *rateLimit) refill(now time.Time, members int) (rate float64) {
	rate = l.perSecond / float64(max(1, members))
	elapsed := now.Sub(l.updatedAt)
	if members > 1 {
		elapsed = min(elapsed, maxSharedRefill)
	}
	l.tokens = min(l.tokens+rate*elapsed.Seconds(), max(1, rate*limitBurst.Seconds()))
	l.updatedAt = now
	return rate
}

// wait returns the time until the next request may be sent.
func (l *rateLimit) wait(now time.Time, members int) time.Duration {
	if l.perSecond == 0 {
		return 0
	}
	rate := l.refill(now, members)
	if l.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - l.tokens) / rate * float64(time.Second))
}

// take counts a request.
func (l *rateLimit) take(now time.Time, members int) {
	if l.perSecond == 0 {
		return
	}
	l.refill(now, members)
	l.tokens = max(l.tokens-1, -1)
}

// newLimitTokens returns what the bucket of a new limit holds: one request for the only instance that places
// requests on the server, a random part of one for each of several.
func (p *Picker) newLimitTokens(now time.Time) float64 {
	if p.opts.Members(now) <= 1 {
		return 1
	}
	return p.opts.Random()
}

// Limits returns the rate limits that servers name, by lifetime.
func (p *Picker) Limits(now time.Time) map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]float64{}
	for lifetime, e := range p.states {
		if e.limit.perSecond > 0 && now.Sub(e.limit.namedAt) < limitTTL {
			all[lifetime] = e.limit.perSecond
		}
	}
	return all
}

// Limited reports whether s is known to have a rate limit.
func (p *Picker) Limited(now time.Time, s *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state(s, now).limit.perSecond > 0
}

// LearnLimit records a rate limit of s that another instance knows.
func (p *Picker) LearnLimit(now time.Time, s *figcatalogue.Server, perSecond float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.state(s, now); e.limit.perSecond == 0 {
		p.recordLimit(now, s, e, Result{Limited: true, RateLimit: perSecond})
	}
}

// RecordNotices records what the beginning of an answer says of the server's rate limit, whether it leaves and for which pause it asks.
func (rv *Reservation) RecordNotices(now time.Time, r Result) {
	rv.picker.mu.Lock()
	defer rv.picker.mu.Unlock()
	rv.picker.recordNotices(now, rv.server, rv.state, r)
}

// recordNotices records what an answer says of the server's rate limit, whether it leaves and for which pause it asks. p.mu must be held.
func (p *Picker) recordNotices(now time.Time, s *figcatalogue.Server, e *serverState, r Result) {
	p.recordLimit(now, s, e, r)
	if r.Leaving {
		p.recordLeaving(now, s)
	}
	if r.Pause > 0 {
		p.recordPause(now, s, r.Pause)
	}
}

// recordLimit records whether a server named a limit, and logs where that begins and ends. p.mu must be held.
func (p *Picker) recordLimit(now time.Time, s *figcatalogue.Server, e *serverState, r Result) {
	before := e.limit.perSecond
	e.limit.record(now, r, p.newLimitTokens(now))
	if after := e.limit.perSecond; (before == 0) != (after == 0) {
		klog.InfoS("rate limit of a server changed", "server", s.Name, "before", before, "now", after)
	}
}
