package figbalancer

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// pausedWeight ranks a server that has asked an instance for a pause behind those that haven't, and before those
	// that can't be reached.
	pausedWeight = unreachableWeight / 2
	// maxSharedPause bounds the time in which the pause of one instance ranks the server for all.
	maxSharedPause = 10 * time.Second
	// maxCarriedPause bounds the time in which a pause holds for a later process of the server, of whose start the list
	// may tell late.
	maxCarriedPause = 10 * time.Second
)

// RecordPause records that s has asked for no requests in the time from now on.
func (p *Picker) RecordPause(now time.Time, s *figcatalogue.Server, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordPause(now, s, pause)
}

// recordPause is like RecordPause. A shorter pause doesn't replace a longer one. p.mu must be held.
func (p *Picker) recordPause(now time.Time, s *figcatalogue.Server, pause time.Duration) {
	if p.opts.Coordinates {
		pause = min(pause, maxSharedPause)
	}
	n := p.noticeOf(s)
	if !now.Before(n.pauseEnd(s)) {
		klog.InfoS("server asks for a pause", "server", s.Name, "pool", s.Pool, "pause", pause, "ofOne", p.opts.Coordinates)
	}
	end := later(n.pauseEnd(s), now.Add(pause))
	if s.StartedAt.After(n.pausedStart) {
		n.pausedStart, n.pausedUntil = s.StartedAt, end
	} else {
		n.pausedUntil = end
	}
	n.carriedUntil = later(n.carriedUntil, now.Add(min(pause, maxCarriedPause)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// PauseLeft returns the time until the first pause ends of a usable server of a pool and these roles that isn't excluded,
// or 0 if none is paused. only says that no such server takes requests before.
func (p *Picker) PauseLeft(now time.Time, v *figcatalogue.View, pool string, excluded []string, roles ...figview.Role) (left time.Duration, only bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	only = true
	for i := range v.Servers[pool] {
		s := &v.Servers[pool][i]
		if !v.Usable(s) || !slices.Contains(roles, s.Role) || slices.Contains(excluded, s.Lifetime()) {
			continue
		}
		pause := p.pauseOf(now, s)
		switch {
		case p.leaves(s):
		case pause <= 0:
			only = false
		case left == 0 || pause < left:
			left = pause
		}
	}
	return left, only
}
