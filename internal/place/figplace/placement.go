package figplace

import (
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Placement is the reservation of a request on its servers. Its methods are safe for concurrent use. After
// Release they have no effect, and DecodeLeaseValid returns false.
type Placement struct {
	// Prefill is the prefill server. Its name is empty in pools without one.
	Prefill figview.Server
	// Decode is the decode server, or the plain server in a pool without decode servers.
	Decode figview.Server
	// StartPrefillAt is when to send the prefill. It may lie in the future, so that the link of the decode
	// server is free before the result of the prefill expires.
	StartPrefillAt time.Time

	placer  *Placer
	request Request

	mu              sync.Mutex
	prefill         *lease
	decode          *lease
	generatedTokens int64
	released        bool
	// sentToDecode says that the request may have been sent to the decode server, abandoned that the decode
	// server may still be working on it at Release.
	sentToDecode, abandoned bool
}

// addLease stores a granted lease in the placement.
func (x *Placement) addLease(l *lease, role figview.Role, now time.Time, g figowner.ReservationResult) {
	if role == figview.Prefill {
		x.Prefill, x.prefill = l.server, l
		return
	}
	x.sentToDecode = role == figview.Plain
	x.Decode, x.decode = l.server, l
	x.StartPrefillAt = now.Add(time.Duration(g.PrefillDelayMillis) * time.Millisecond)
}

// PrefillDone reports that the prefill has succeeded and releases the lease on the prefill server. tokens is
// the number of prompt tokens computed, took the time from sending the prefill to its answer.
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

// TransferDone reports that the KV cache was transferred to the decode server.
func (x *Placement) TransferDone(bytes int64, took time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released || x.decode == nil {
		return
	}
	x.placer.recordTransfer(x.decode, x.request, bytes, took)
}

// SetGeneratedTokens sets the total number of tokens that the decode server has generated; a smaller number than before
// is ignored. On a plain server, any positive number means that the call succeeded.
func (x *Placement) SetGeneratedTokens(tokens int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.generatedTokens = max(x.generatedTokens, tokens)
}

// ReportFailure reports a failure of a server of this placement. Failures that the caller caused are ignored.
func (x *Placement) ReportFailure(server string, evidence FailureKind) {
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

// MarkAbandoned says that the decode server may still be working on the request at Release, because the caller has
// left or the stream was cut. The owner then counts the memory as taken until a report of the server shows
// that it is free. A request that failed on the decode server, or was sent to it and has generated nothing,
// counts as abandoned without this call.
func (x *Placement) MarkAbandoned() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abandoned = true
}

// DecodeLeaseValid says whether the lease on the decode server hasn't expired by this instance's clock and no request of
// this instance has failed on that server since. Check it right before the request is sent there: the lease
// may have expired while the process was paused, and a server that has restarted may lack the room that was
// granted.
func (x *Placement) DecodeLeaseValid() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return !x.released && x.decode != nil && x.placer.leaseValid(x.decode)
}

// Release releases all leases of the placement. Later calls have no effect.
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
