package figcoordinator

import (
	"slices"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
)

const (
	// serversPerCoordinator is the number of servers for which a pool gets another coordinator. More
	// servers per coordinator leave less room unused; fewer limit what one of them has to do.
	serversPerCoordinator = 48
	// adoptionTime is how long a coordinator places nothing on a server that it has just got, so that
	// the instances can report what runs there.
	adoptionTime = 300 * time.Millisecond
)

// Shares divides the servers of each pool among coordinators. It is safe for concurrent use.
type Shares struct {
	clock    figtimer.Clock
	assigner *figassign.Assigner

	mu    sync.Mutex
	pools map[string]*share
	// divisions counts the changes of pools' coordinators.
	divisions uint64
}

// share is the division of one pool for one view of the servers and one list of members.
type share struct {
	view         *figcatalogue.View
	epoch        uint64
	coordinators []figdiscovery.Member
	// owners holds the index of each server's coordinator by lifetime, and counts the number of servers of each
	// coordinator.
	owners map[string]int
	counts []int
	// ownSince says since when this instance has been the coordinator of a server.
	ownSince map[string]time.Time
}

// NewShares returns Shares that follow the members of an assigner.
func NewShares(c figtimer.Clock, a *figassign.Assigner) *Shares {
	return &Shares{clock: c, assigner: a, pools: map[string]*share{}}
}

// Refresh divides all pools again if the view or the members have changed, so that the time since which
// this instance coordinates a server is known before the first request for it. It returns a number that
// grows when servers have got another coordinator, be it that the members or a pool's number of servers
// has changed.
func (h *Shares) Refresh(v *figcatalogue.View) (divisions uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for pool := range v.Servers {
		h.current(v, pool)
	}
	return h.divisions
}

// Coordinators returns the coordinators of a pool and the number of servers of each.
func (h *Shares) Coordinators(v *figcatalogue.View, pool string) ([]figdiscovery.Member, []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.current(v, pool)
	return d.coordinators, d.counts
}

// Coordinator returns the coordinator of a server, and false if the server isn't listed.
func (h *Shares) Coordinator(v *figcatalogue.View, pool, lifetime string) (figdiscovery.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.current(v, pool)
	i, ok := d.owners[lifetime]
	if !ok {
		return figdiscovery.Member{}, false
	}
	return d.coordinators[i], true
}

// MayPlace reports whether this instance is the coordinator of a server and has been it for
// adoptionTime.
func (h *Shares) MayPlace(v *figcatalogue.View, pool, lifetime string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	since, ok := h.current(v, pool).ownSince[lifetime]
	return ok && h.clock.Now().Sub(since) >= adoptionTime
}

// MayPlaceNow returns MayPlace as it is now, for many servers of a pool.
func (h *Shares) MayPlaceNow(v *figcatalogue.View, pool string) func(lifetime string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ownSince, now := h.current(v, pool).ownSince, h.clock.Now() // the map doesn't change
	return func(lifetime string) bool {
		since, ok := ownSince[lifetime]
		return ok && now.Sub(since) >= adoptionTime
	}
}

// adopting reports whether this instance has become the coordinator of a server of the pool less than
// adoptionTime ago.
func (h *Shares) adopting(v *figcatalogue.View, pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, since := range h.current(v, pool).ownSince {
		if h.clock.Now().Sub(since) < adoptionTime {
			return true
		}
	}
	return false
}

// ownsAny reports whether this instance is the coordinator of a server of the pool.
func (h *Shares) ownsAny(v *figcatalogue.View, pool string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.current(v, pool).ownSince) > 0
}

// current returns the division of a pool, which it computes again if the view or the members have
// changed. h.mu must be held.
func (h *Shares) current(v *figcatalogue.View, pool string) *share {
	old := h.pools[pool]
	epoch := h.assigner.Epoch()
	if old != nil && old.view == v && old.epoch == epoch {
		return old
	}
	servers := v.Servers[pool]
	d := &share{view: v, epoch: epoch, owners: make(map[string]int, len(servers)), ownSince: map[string]time.Time{}}
	n := (len(servers) + serversPerCoordinator - 1) / serversPerCoordinator
	d.coordinators = h.assigner.Owners("pool/"+pool, n)
	d.counts = make([]int, len(d.coordinators))
	since := h.clock.Now()
	if len(h.assigner.Members()) <= 1 {
		since = since.Add(-adoptionTime) // no other instance has requests anywhere
	}
	index := make(map[string]int, len(d.coordinators))
	for i, m := range d.coordinators {
		index[m.Name] = i
	}
	for i := range servers {
		if len(d.coordinators) == 0 {
			break
		}
		lifetime := servers[i].Lifetime()
		owner := figassign.Highest(lifetime, d.coordinators)
		d.owners[lifetime] = index[owner.Name]
		d.counts[index[owner.Name]]++
		if !h.assigner.IsSelf(owner) {
			continue
		}
		d.ownSince[lifetime] = since
		if old != nil {
			if before, ok := old.ownSince[lifetime]; ok {
				d.ownSince[lifetime] = before
			}
		}
	}
	if old == nil || !slices.EqualFunc(old.coordinators, d.coordinators, sameRun) {
		h.divisions++
	}
	h.pools[pool] = d
	return d
}

// sameRun reports whether two members are the same run of an instance.
func sameRun(a, b figdiscovery.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}
