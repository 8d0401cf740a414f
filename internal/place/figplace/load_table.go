package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// maxLoadAge is the age at which a load index is no longer used.
	maxLoadAge = 2 * time.Second
	// closedBackoff limits how long a server gets no requests after its owner said that it takes none, or
	// after the server itself refused one.
	closedBackoff = 300 * time.Millisecond
	// ownerBackoff is how long an owner that didn't answer isn't asked again.
	ownerBackoff = 500 * time.Millisecond
	// failureBackoff is how long this instance sends no request to a server after a failure there.
	failureBackoff = time.Second
)

// serverState is what this instance knows about the load and failures of one server.
type serverState struct {
	load   figowner.Load
	loadAt time.Time
	// freedPieces is the memory released by this instance since the load index arrived.
	freedPieces int64
	// failedAt is when a request of this instance last failed on the server.
	failedAt time.Time
	// blockedUntil is the end of the backoff for all requests to the server.
	blockedUntil time.Time
	// refusedPieces is the size of the request refused last for lack of room. Requests of that size or larger
	// aren't sent to the server until refusedUntil.
	refusedPieces int64
	refusedUntil  time.Time
}

// loadTable holds the state of servers, and for owners that didn't answer the end of their backoff. The
// Placer's mutex guards it.
type loadTable struct {
	servers       map[string]*serverState
	blockedOwners map[string]time.Time
}

func newLoadTable() *loadTable {
	return &loadTable{servers: map[string]*serverState{}, blockedOwners: map[string]time.Time{}}
}

func (t *loadTable) state(server string) *serverState {
	r, ok := t.servers[server]
	if !ok {
		r = &serverState{}
		t.servers[server] = r
	}
	return r
}

// updateLoads stores the load indexes of an owner's reply.
func (t *loadTable) updateLoads(now time.Time, loads []figowner.Load) {
	for _, l := range loads {
		r := t.state(l.Server)
		r.load, r.loadAt = l, now
		r.freedPieces = 0
		if l.RefusesAll {
			r.blockedUntil = later(r.blockedUntil, now.Add(closedBackoff))
		}
	}
}

// loadFresh says whether the load index is recent enough to use.
func (r *serverState) loadFresh(now time.Time) bool {
	return !r.loadAt.IsZero() && now.Sub(r.loadAt) < maxLoadAge
}

// freePieces estimates the free memory, in pieces: that of the load index plus what was released since.
func (r *serverState) freePieces() int64 {
	return min(r.load.TotalPieces, r.load.FreePieces+r.freedPieces)
}

// queueTokens estimates the remaining prefill work, in tokens: that of the load index less what the server
// has computed since, at its reported speed.
func (r *serverState) queueTokens(now time.Time) int64 {
	worked := int64(now.Sub(r.loadAt).Seconds() * float64(r.load.TokensPerSecond))
	return max(0, r.load.QueueTokens-worked)
}

// blockOwner starts the backoff of an owner that didn't answer.
func (t *loadTable) blockOwner(now time.Time, owner string) {
	t.blockedOwners[owner] = now.Add(ownerBackoff)
}

// reachable says whether an owner may be asked, because it isn't in backoff.
func (t *loadTable) reachable(now time.Time, owner string) bool {
	return !now.Before(t.blockedOwners[owner])
}

// prune removes servers and owners that are no longer listed.
func (t *loadTable) prune(v *figview.View, s *figview.Servers) {
	listed := make(map[string]bool, len(s.All))
	for _, x := range s.All {
		listed[x.Name] = true
	}
	for n := range t.servers {
		if !listed[n] {
			delete(t.servers, n)
		}
	}
	for n := range t.blockedOwners {
		if _, ok := v.Find(n); !ok {
			delete(t.blockedOwners, n)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
