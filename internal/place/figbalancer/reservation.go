package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Use is what one request has at a server. Its methods are called by the request
// that it belongs to.
type Use struct {
	picker   *Picker
	state    *serverState
	server   *figcatalogue.Server
	tokens   int64
	released bool
}

// Begin records a send that needs tokens of memory to s. End must be called once.
func (p *Picker) Begin(now time.Time, v *figcatalogue.View, s *figcatalogue.Server, tokens int64) *Use {
	p.mu.Lock()
	p.removeExpired(now)
	u := p.reserveLocked(now, s, tokens)
	if v.Table != nil {
		if rate := v.Table.Pool(s.Pool).ColdRate; rate > 0 && s.Cold(now) {
			u.state.nextColdSend = now.Add(coldSendInterval(p.opts.Members(now), rate))
		}
	}
	held := u.state.Held
	p.mu.Unlock()
	p.notifyChange(s, held)
	return u
}

// Reserve holds tokens of memory at s for a send that will follow. Release gives
// them back; it must be called once.
func (p *Picker) Reserve(now time.Time, s *figcatalogue.Server, tokens int64) *Use {
	p.mu.Lock()
	u := p.reserveLocked(now, s, tokens)
	held := u.state.Held
	p.mu.Unlock()
	p.notifyChange(s, held)
	return u
}

func (p *Picker) reserveLocked(now time.Time, s *figcatalogue.Server, tokens int64) *Use {
	e := p.state(s, now)
	e.Requests++
	e.Tokens += tokens
	e.usedAt = now
	return &Use{picker: p, state: e, server: s, tokens: tokens}
}

// Grow records that the request now has tokens more of memory. The other instances
// hear of it with the next beat.
func (u *Use) Grow(tokens int64) {
	u.picker.mu.Lock()
	defer u.picker.mu.Unlock()
	u.state.Tokens += tokens
	u.tokens += tokens
}

// End records how the send ended.
func (u *Use) End(now time.Time, r Result) {
	u.release(func(e *serverState) {
		e.recordResult(now, r)
		if r.Known && u.server.Role == figview.Decode {
			u.picker.recordUnattributed(now, u.server, e, r.Running+r.Waiting)
		}
	})
}

// Loaded records the load that a server reported with the begin of an answer.
func (u *Use) Loaded(now time.Time, running, waiting int) {
	u.picker.mu.Lock()
	defer u.picker.mu.Unlock()
	if u.server.Role == figview.Decode {
		u.picker.recordUnattributed(now, u.server, u.state, running+waiting)
	}
}

// recordUnattributed compares what a server reports with what is known of.
func (p *Picker) recordUnattributed(now time.Time, s *figcatalogue.Server, e *serverState, reported int) {
	e.unattributed = 0
	e.unattributed = max(0, reported-p.totalLoadLocked(s, e, now).Requests)
	e.unattributedAt = now
}

// Release gives back what was reserved.
func (u *Use) Release() { u.release(func(*serverState) {}) }

func (u *Use) release(update func(*serverState)) {
	u.picker.mu.Lock()
	if u.released {
		u.picker.mu.Unlock()
		return
	}
	u.released = true
	u.state.Requests--
	u.state.Tokens -= u.tokens
	update(u.state)
	held := u.state.Held
	u.picker.mu.Unlock()
	u.picker.notifyChange(u.server, held)
}

// notifyChange passes on what is in progress at an engine.
func (p *Picker) notifyChange(s *figcatalogue.Server, h figview.Held) {
	if s.Role != figview.Plain {
		p.opts.Changed(s.Lifetime(), h)
	}
}

// Held returns what this instance has in progress at each server.
func (p *Picker) Held() map[string]figview.Held {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]figview.Held{}
	for name, e := range p.states {
		if e.Requests > 0 {
			all[name] = e.Held
		}
	}
	return all
}

// Heard takes what another instance has in progress. whole says that it is all that
// it has; otherwise only what has changed.
func (p *Picker) Heard(now time.Time, from string, incarnation uint64, held map[string]figview.Held, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.peers[from]
	if !ok || o.incarnation != incarnation {
		o = &peerLoad{incarnation: incarnation}
		p.peers[from] = o
	}
	o.receivedAt = now
	if whole || o.servers == nil {
		o.servers = make(map[string]figview.Held, len(held))
	}
	for name, h := range held {
		o.servers[name] = h
	}
}
