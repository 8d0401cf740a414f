package figplace

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

const (
	// maxLoadAge is how long a load index is believed.
	maxLoadAge = 2 * time.Second
	// closedBackoff is how long a server stays out after its owner said so.
	closedBackoff = 300 * time.Millisecond
	// ownerBackoff is how long an owner that didn't answer is left alone.
	ownerBackoff = 500 * time.Millisecond
	// failureBackoff is how long this instance leaves a failed server alone.
	failureBackoff = time.Second
)

// serverState is what this instance knows of one server.
type serverState struct {
	load   figowner.Load
	loadAt time.Time
	// freedPieces is the memory that was released here since the load index came.
	freedPieces int64
	// failedAt is when a request of this instance last failed there.
	failedAt time.Time
	// blockedUntil is until when the server gets nothing from here.
	blockedUntil time.Time
	// refusedPieces is the least number of pieces that was refused, and until when.
	refusedPieces int64
	refusedUntil  time.Time
}

// loadTable holds what this instance knows of servers and owners. The Placer's mutex
// guards it.
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

// updateLoads takes the load indexes of a reply.
func (t *loadTable) updateLoads(now time.Time, loads []figowner.Load) {
	for _, l := range loads {
		r := t.state(l.Server)
		r.load, r.loadAt = l, now
		r.freedPieces = 0
		if l.Closed {
			r.blockedUntil = later(r.blockedUntil, now.Add(closedBackoff))
		}
	}
}

// loadFresh says whether the load index is recent enough to be believed.
func (r *serverState) loadFresh(now time.Time) bool {
	return !r.loadAt.IsZero() && now.Sub(r.loadAt) < maxLoadAge
}

// freePieces returns the estimated free pieces.
func (r *serverState) freePieces() int64 {
	return min(r.load.TotalPieces, r.load.FreePieces+r.freedPieces)
}

// queueTokens returns the estimated prefill work left, in tokens.
func (r *serverState) queueTokens(now time.Time) int64 {
	worked := int64(now.Sub(r.loadAt).Seconds() * float64(r.load.TokensPerSecond))
	return max(0, r.load.QueueTokens-worked)
}

// blockOwner notes that an owner didn't answer.
func (t *loadTable) blockOwner(now time.Time, owner string) {
	t.blockedOwners[owner] = now.Add(ownerBackoff)
}

// reachable says whether an owner may be asked.
func (t *loadTable) reachable(now time.Time, owner string) bool {
	return !now.Before(t.blockedOwners[owner])
}

// prune drops what is no longer listed.
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
