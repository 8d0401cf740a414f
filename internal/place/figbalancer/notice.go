package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

// notice is what the processes of one server have said about taking requests. It is kept by the server's name, as the
// list may name another start than that of the process that answers: an earlier one if the source was restored, or if
// it tells of a restart late.
type notice struct {
	pool string
	// leaving says that a process has said that it leaves, the last one of which the list said that it started at
	// leftStart. listedAt is when the server was last seen on the list.
	leaving   bool
	leftStart time.Time
	listedAt  time.Time
	// pausedUntil is when the pause ends that a process asked for, which by the list started at pausedStart.
	// carriedUntil is when it ends for processes that started later.
	pausedUntil, carriedUntil time.Time
	pausedStart               time.Time
}

// noticeOf returns the notice of s, which it creates if there is none. p.mu must be held.
func (p *Picker) noticeOf(s *figcatalogue.Server) *notice {
	n, ok := p.notices[s.Name]
	if !ok {
		n = &notice{}
		p.notices[s.Name] = n
	}
	n.pool = s.Pool
	return n
}

// leaves reports whether s has said that it leaves. p.mu must be held.
func (p *Picker) leaves(s *figcatalogue.Server) bool {
	n, ok := p.notices[s.Name]
	return ok && n.leaving && !s.StartedAt.After(n.leftStart)
}

// pauseOf returns the time left of the pause of s, not above 0 if there is none. p.mu must be held.
func (p *Picker) pauseOf(now time.Time, s *figcatalogue.Server) time.Duration {
	n, ok := p.notices[s.Name]
	if !ok {
		return 0
	}
	return n.pauseEnd(s).Sub(now)
}

// withdrawn reports whether s has said that it takes no requests at now. p.mu must be held.
func (p *Picker) withdrawn(now time.Time, s *figcatalogue.Server) bool {
	return p.leaves(s) || p.pauseOf(now, s) > 0
}

// pauseEnd returns when the pause of s ends.
func (n *notice) pauseEnd(s *figcatalogue.Server) time.Time {
	if s.StartedAt.After(n.pausedStart) {
		return n.carriedUntil
	}
	return n.pausedUntil
}

// active reports whether some process of the server may still have to be sent no requests.
func (n *notice) active(now time.Time) bool {
	return n.leaving && now.Sub(n.listedAt) < leavingTTL || now.Before(n.pausedUntil)
}

// Withdrawn reports whether s has said that it takes no requests at now.
func (p *Picker) Withdrawn(now time.Time, s *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.withdrawn(now, s)
}

// WithdrawnServers returns the lifetimes of the usable servers of a pool that have said that they take no requests
// at now, at most limit.
func (p *Picker) WithdrawnServers(now time.Time, v *figcatalogue.View, pool string, limit int) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.notices) == 0 {
		return nil
	}
	var all []string
	for i := range v.Servers[pool] {
		s := &v.Servers[pool][i]
		if len(all) == limit {
			break
		}
		if n, ok := p.notices[s.Name]; !ok || n.pool != pool {
			continue
		}
		if p.withdrawn(now, s) && (v.Usable(s) || v.LastResort(s, now)) {
			all = append(all, s.Lifetime())
		}
	}
	return all
}

// WithdrawnCount returns the number of servers that are known to have said that they take no requests at now.
func (p *Picker) WithdrawnCount(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, n := range p.notices {
		if n.leaving || now.Before(n.pausedUntil) {
			count++
		}
	}
	return count
}

// noteListings records which leaving servers are listed. p.mu must be held.
func (p *Picker) noteListings(now time.Time, v *figcatalogue.View) {
	if now.Sub(p.listingsNotedAt) < listingInterval {
		return
	}
	p.listingsNotedAt = now
	for name, n := range p.notices {
		if !n.leaving {
			continue
		}
		for i := range v.Servers[n.pool] {
			if v.Servers[n.pool][i].Name == name {
				n.listedAt = now
			}
		}
	}
}
