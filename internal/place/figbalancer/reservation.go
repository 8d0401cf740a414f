package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Reservation is a request's share of the load at a server, from Begin or Reserve until End or
// Release. It is safe for concurrent use.
type Reservation struct {
	picker *Picker
	state  *serverState
	server *figcatalogue.Server
	tokens int64
	// requests is the number of requests at the server when this one came, which it includes.
	requests int
	released bool
}

// Begin adds a send that needs tokens of engine memory to the load of s, and counts it against its rate limit and
// the next send interval if s is in a cold start. The caller must call End.
func (p *Picker) Begin(now time.Time, v *figcatalogue.View, s *figcatalogue.Server, tokens int64) *Reservation {
	p.mu.Lock()
	p.noteListings(now, v)
	p.removeExpired(now)
	rv := p.reserveLocked(now, s, tokens)
	rv.state.limit.take(now, p.opts.Members(now))
	if v.Table != nil {
		if rate := v.Table.Pool(s.Pool).ColdStartRate; rate > 0 && s.InColdStart(now) {
			rv.state.nextColdSend = now.Add(coldSendInterval(p.opts.Members(now), rate))
		}
	}
	held := rv.state.ServerLoad
	p.mu.Unlock()
	p.notifyChange(s, held)
	return rv
}

// Reserve adds tokens of engine memory to the load of s for a send that follows. The caller
// must call Release.
func (p *Picker) Reserve(now time.Time, s *figcatalogue.Server, tokens int64) *Reservation {
	p.mu.Lock()
	rv := p.reserveLocked(now, s, tokens)
	held := rv.state.ServerLoad
	p.mu.Unlock()
	p.notifyChange(s, held)
	return rv
}

// reserveLocked adds a request to the local load of s. p.mu must be held.
func (p *Picker) reserveLocked(now time.Time, s *figcatalogue.Server, tokens int64) *Reservation {
	e := p.state(s, now)
	e.Requests++
	e.Tokens += tokens
	e.usedAt = now
	return &Reservation{picker: p, state: e, server: s, tokens: tokens, requests: e.Requests}
}

// AddTokens records that the request needs tokens more of memory. It does not call
// OnLocalLoadChange. The caller must not call it after End or Release.
func (rv *Reservation) AddTokens(tokens int64) {
	rv.picker.mu.Lock()
	defer rv.picker.mu.Unlock()
	rv.state.Tokens += tokens
	rv.tokens += tokens
}

// End removes the request from the load of its server and records how the send ended. It does
// nothing after an earlier End or Release.
func (rv *Reservation) End(now time.Time, r Result) {
	rv.release(func(e *serverState) {
		e.recordResult(now, r)
		rv.picker.recordSpeed(now, rv, r)
		rv.picker.recordNotices(now, rv.server, e, r)
		if r.HasLoad && rv.server.Role == figview.Decode {
			e.recordUnattributed(now, r.Running+r.Waiting)
		}
	})
}

// Report records a result that was noticed after the end of the request.
func (rv *Reservation) Report(now time.Time, r Result) {
	rv.picker.mu.Lock()
	defer rv.picker.mu.Unlock()
	rv.state.recordResult(now, r)
}

// RecordLoad records the load that a decode server reported at the beginning of an answer. For
// other servers it does nothing.
func (rv *Reservation) RecordLoad(now time.Time, running, waiting int) {
	rv.picker.mu.Lock()
	defer rv.picker.mu.Unlock()
	if rv.server.Role == figview.Decode {
		rv.state.recordUnattributed(now, running+waiting)
	}
}

// recordUnattributed stores how many of the reported requests are not local.
func (e *serverState) recordUnattributed(now time.Time, reported int) {
	e.unattributed = max(0, reported-e.Requests)
	e.unattributedAt = now
}

// Release removes the request from the load of its server without a result. It does nothing
// after an earlier End or Release.
func (rv *Reservation) Release() { rv.release(func(*serverState) {}) }

// release removes the request from its server's load once, and calls update with p.mu held.
func (rv *Reservation) release(update func(*serverState)) {
	rv.picker.mu.Lock()
	if rv.released {
		rv.picker.mu.Unlock()
		return
	}
	rv.released = true
	rv.state.Requests--
	rv.state.Tokens -= rv.tokens
	update(rv.state)
	held := rv.state.ServerLoad
	rv.picker.mu.Unlock()
	rv.picker.notifyChange(rv.server, held)
}

// notifyChange calls OnLocalLoadChange. p.mu must not be held.
func (p *Picker) notifyChange(s *figcatalogue.Server, h figview.ServerLoad) {
	p.opts.OnLocalLoadChange(s.Lifetime(), h)
}

// LocalLoad returns this instance's requests and tokens in flight by server lifetime, without
// servers at which it has no requests.
func (p *Picker) LocalLoad() map[string]figview.ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]figview.ServerLoad{}
	for name, e := range p.states {
		if e.Requests > 0 {
			all[name] = e.ServerLoad
		}
	}
	return all
}
