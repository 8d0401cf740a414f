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
)

// RecordPause records that s has asked for no requests in the time from now on.
func (p *Picker) RecordPause(now time.Time, s *figcatalogue.Server, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordPause(now, s, p.state(s, now), pause)
}

// recordPause is like RecordPause for the state of s. A shorter pause doesn't replace a longer one. p.mu must be held.
func (p *Picker) recordPause(now time.Time, s *figcatalogue.Server, e *serverState, pause time.Duration) {
	if p.opts.Coordinates {
		pause = min(pause, maxSharedPause)
	}
	until := now.Add(pause)
	if !until.After(e.pausedUntil) {
		return
	}
	if !e.paused(now) {
		klog.InfoS("server asks for a pause", "server", s.Name, "pool", s.Pool, "pause", pause, "ofOne", p.opts.Coordinates)
	}
	e.pausedUntil, e.pool = until, s.Pool
}

// paused reports whether the server has asked for a pause that isn't over.
func (e *serverState) paused(now time.Time) bool { return now.Before(e.pausedUntil) }

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
		e, ok := p.states[s.Lifetime()]
		switch {
		case !ok || !e.withdrawn(now):
			only = false
		case !e.leaving && (left == 0 || e.pausedUntil.Sub(now) < left):
			left = e.pausedUntil.Sub(now)
		}
	}
	return left, only
}
