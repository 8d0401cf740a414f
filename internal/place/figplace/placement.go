package figplace

import (
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Placement is the room that a request has. Its methods are safe for concurrent
// use; all of them do nothing after Release.
type Placement struct {
	// Prefill is the prefill server; its name is empty in pools without one.
	Prefill figview.Server
	// Decode is the decode server, or the plain one.
	Decode figview.Server
	// StartPrefillAt is when to send the prefill, so that its result is fetched
	// within its life.
	StartPrefillAt time.Time

	placer  *Placer
	request Request

	mu              sync.Mutex
	prefill         *lease
	decode          *lease
	generatedTokens int64
	released        bool
	// sentToDecode says that the decode server may have the request, abandoned that it may
	// still have it at the release.
	sentToDecode, abandoned bool
}

// addLease keeps a granted lease.
func (x *Placement) addLease(l *lease, role figview.Role, now time.Time, g figowner.Grant) {
	if role == figview.Prefill {
		x.Prefill, x.prefill = l.server, l
		return
	}
	x.sentToDecode = role == figview.Plain
	x.Decode, x.decode = l.server, l
	x.StartPrefillAt = now.Add(time.Duration(g.DelayMillis) * time.Millisecond)
}

// PrefillDone says that the prefill has succeeded: tokens is the number of prompt
// tokens computed, took the time from sending it to its answer. The place in the
// prefill server's queue is given up.
func (x *Placement) PrefillDone(tokens int64, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released || x.prefill == nil {
		return
	}
	x.placer.endLease(x.prefill, max(1, tokens), took, false)
	x.placer.recordPrefixes(x.request.Prefix, x.Prefill.Name)
	x.prefill, x.sentToDecode = nil, true
}

// TransferDone says that the KV cache has moved to the decode server.
func (x *Placement) TransferDone(bytes int64, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released || x.decode == nil {
		return
	}
	x.placer.recordTransfer(x.decode, x.request, bytes, took)
}

// Progress says how many tokens the decode server has generated in all. For a
// plain call any positive number says that it succeeded.
func (x *Placement) Progress(tokens int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.generatedTokens = max(x.generatedTokens, tokens)
}

// Fail reports evidence against a server of this placement. Evidence that is the
// caller's fault counts for nothing.
func (x *Placement) Fail(server string, evidence Evidence) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released {
		return
	}
	for _, l := range []*lease{x.prefill, x.decode} {
		if l != nil && l.server.Name == server {
			x.abandoned = x.abandoned || l == x.decode
			x.placer.recordFailure(l, evidence)
			return
		}
	}
	x.placer.recordFailureByName(x.request.Pool, server, evidence)
}

// Abandon says that the decode server may still work on the request at the release:
// its caller has left or its stream was cut. The memory then counts as taken until a
// report shows that it is free. Requests that failed, or that were sent and have no
// progress, count as abandoned without it.
func (x *Placement) Abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
}

// Holds says whether the room on the decode server is still reserved, by this
// instance's clock, and no request of this instance has failed there since. Check it
// right before the request is sent there: a process that was paused may hold a lease
// that has expired, and a server that has started anew may not bear what was granted.
func (x *Placement) Holds() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.released && x.decode != nil && x.placer.leaseValid(x.decode)
}

// Release gives all room back. Later calls do nothing.
func (x *Placement) Release() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released {
		return
	}
	x.released = true
	if x.prefill != nil {
		x.placer.endLease(x.prefill, 0, 0, false)
	}
	if x.decode != nil {
		x.placer.endLease(x.decode, x.generatedTokens, 0, x.abandoned || x.sentToDecode && x.generatedTokens == 0)
	}
}
