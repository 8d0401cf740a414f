package figbalancer

import (
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

const (
	// leavingTTL is how long after its last listing a leaving server is remembered: a list may be an old copy.
	leavingTTL = 10 * time.Minute
	// listingInterval is the time between two checks which of the leaving servers are listed.
	listingInterval = time.Second
)

// RecordLeaving records that s has said that it leaves, which is final for its lifetime.
func (p *Picker) RecordLeaving(now time.Time, s *figcatalogue.Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordLeaving(now, s, p.state(s, now))
}

// recordLeaving is like RecordLeaving for the state of s. p.mu must be held.
func (p *Picker) recordLeaving(now time.Time, s *figcatalogue.Server, e *serverState) {
	if e.leaving {
		return
	}
	e.leaving, e.pool, e.listedAt = true, s.Pool, now
	klog.InfoS("server says that it leaves", "server", s.Name, "pool", s.Pool, "listed", s.State.String())
}

// Withdrawn reports whether s has said that it takes no requests at now.
func (p *Picker) Withdrawn(now time.Time, s *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.states[s.Lifetime()]
	return ok && e.withdrawn(now)
}

// WithdrawnServers returns the lifetimes of the usable servers of a pool that have said that they take no requests
// at now, at most limit.
func (p *Picker) WithdrawnServers(now time.Time, v *figcatalogue.View, pool string, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	for lifetime, e := range p.states {
		if len(all) == limit {
			break
		}
		if e.pool != pool || !e.withdrawn(now) {
			continue
		}
		if s, ok := v.Find(pool, lifetime); ok && (v.Usable(s) || v.LastResort(s, now)) {
			all = append(all, lifetime)
		}
	}
	return all
}

// WithdrawnCount returns the number of servers that are known to have said that they take no requests at now.
func (p *Picker) WithdrawnCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.states {
		if e.withdrawn(now) {
			n++
		}
	}
	return n
}

// withdrawn reports whether the server has said that it takes no requests at now.
func (e *serverState) withdrawn(now time.Time) bool { return e.leaving || e.paused(now) }

// noteListings records which leaving servers are listed. p.mu must be held.
func (p *Picker) noteListings(now time.Time, v *figcatalogue.View) {
	if now.Sub(p.listingsNotedAt) < listingInterval {
		return
	}
	p.listingsNotedAt = now
	for lifetime, e := range p.states {
		if !e.leaving {
			continue
		}
		if _, ok := v.Find(e.pool, lifetime); ok {
			e.listedAt = now
		}
	}
}
