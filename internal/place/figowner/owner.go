package figowner

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// maxLoads limits the number of load indexes in one reply.
const maxLoads = 8

// maxBackendsWithoutPool limits how many servers an owner may own for a reply to a request without a
// pool to carry the load of all of them. Above the limit such a reply carries no loads.
const maxBackendsWithoutPool = 4

// Owner manages the backend servers that this instance owns. It is safe for concurrent use.
type Owner struct {
	opts Options

	mu        sync.Mutex
	view      *figview.View
	servers   *figview.Servers
	backends  map[string]*Backend
	byPool    map[string][]*Backend
	polling   map[string]bool
	lastHeard map[string]time.Time
	lastLease uint64
}

// New returns an owner without backends. It creates them from the published lists when it first uses
// the lists.
func New(opts Options) *Owner {
	return &Owner{
		opts:      opts,
		backends:  map[string]*Backend{},
		byPool:    map[string][]*Backend{},
		polling:   map[string]bool{},
		lastHeard: map[string]time.Time{},
	}
}

// OwnerOf returns the instance that owns a server according to a view. Instances in the server's data
// centre take precedence; an instance elsewhere owns the server only if the view has none there. The
// result is false if the view has no instance.
func OwnerOf(v *figview.View, s figview.Server) (figview.Member, bool) {
	key := figview.Key("server", s.Name)
	if m, ok := v.OwnerIn(key, s.DataCentre); ok {
		return m, true
	}
	return v.Owner(key)
}

// syncBackends updates the backends to the published lists if either list has changed. The caller
// holds mu.
func (o *Owner) syncBackends(now time.Time) {
	view, servers := o.opts.View(), o.opts.Servers()
	if view == nil || servers == nil || (view == o.view && servers == o.servers) {
		return
	}
	o.view, o.servers = view, servers
	kept := make(map[string]*Backend, len(o.backends))
	clear(o.byPool)
	for _, s := range servers.All {
		if m, ok := OwnerOf(view, s); !ok || m.Name != o.opts.Self {
			continue
		}
		b := o.backend(now, s)
		kept[s.Name] = b
		o.byPool[s.Pool] = append(o.byPool[s.Pool], b)
	}
	o.backends = kept
	maps.DeleteFunc(o.lastHeard, func(name string, _ time.Time) bool {
		_, listed := view.Find(name)
		return !listed
	})
}

// backend returns the backend of an owned server, or a new backend if this instance did not own the
// server before.
func (o *Owner) backend(now time.Time, s figview.Server) *Backend {
	if b, ok := o.backends[s.Name]; ok {
		b.Server = s
		return b
	}
	p, _ := o.opts.Pool(s.Pool)
	b := NewBackend(s, p, now)
	b.Fence.Start(o.view.Version, o.opts.Incarnation)
	return b
}

// HandleReserve serves the peer call "reserve". Releases are applied before new reservations are
// granted. The error is always nil.
func (o *Owner) HandleReserve(_ context.Context, q *Request) (*Reply, error) {
	now := o.opts.Clock.Now()
	fresh := o.opts.ViewFresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(now)
	o.lastHeard[q.From] = now
	o.applyReports(now, q)
	r := &Reply{Epoch: o.opts.Incarnation}
	for _, a := range q.Reserve {
		r.Results = append(r.Results, o.reserve(now, q.From, a, fresh))
	}
	for _, n := range q.Renew {
		if q.Epoch != o.opts.Incarnation || !o.renew(now, n, q.From) {
			r.Unknown = append(r.Unknown, n)
		}
	}
	r.Loads = o.loads(now, q.Pool, fresh)
	return r, nil
}

// applyReports applies the releases, failures and transfers of a request. It runs before new
// reservations are granted.
func (o *Owner) applyReports(now time.Time, q *Request) {
	for _, x := range q.Release {
		if q.Epoch != o.opts.Incarnation {
			x.Lease = 0
		}
		if b := o.backendOf(x); b != nil {
			b.Release(now, q.From, x)
		}
	}
	for _, x := range q.Failures {
		if b, ok := o.backends[x.Server]; ok {
			b.RecordFailure(now, x.Kind)
		}
	}
	for _, x := range q.Transfers {
		if b, ok := o.backends[x.Server]; ok {
			b.Link.AddSample(x.Bytes, time.Duration(x.DurationMillis)*time.Millisecond)
		}
	}
}

// backendOf returns the backend that a release refers to, or nil if this owner has none.
func (o *Owner) backendOf(r Release) *Backend {
	if r.Lease == 0 {
		return o.backends[r.Server]
	}
	for _, b := range o.backends {
		if _, ok := b.leases[r.Lease]; ok {
			return b
		}
	}
	return nil
}

func (o *Owner) reserve(now time.Time, from string, a ReservationRequest, fresh bool) ReservationResult {
	b, ok := o.backends[a.Server]
	if !ok {
		return ReservationResult{Outcome: NotOwner, RetryMillis: millis(minRetryDelay)}
	}
	if o.updateDraining(b) && !a.AlreadyRunning {
		return ReservationResult{Outcome: Leaving, RetryMillis: millis(maxRetryDelay)}
	}
	o.lastLease++
	return b.Reserve(now, o.lastLease, from, a, fresh)
}

// updateDraining returns whether a server takes no new work, and passes that on to its backend.
func (o *Owner) updateDraining(b *Backend) bool {
	draining := b.Server.State == figview.Leaving || o.opts.DataCentreDrained(b.Server.DataCentre)
	b.SetDraining(draining)
	return draining
}

func (o *Owner) renew(now time.Time, number uint64, from string) bool {
	for _, b := range o.backends {
		if b.Renew(now, number, from) {
			return true
		}
	}
	return false
}

func compareNames(a, b *Backend) int { return strings.Compare(a.Server.Name, b.Server.Name) }

func (o *Owner) loads(now time.Time, pool string, fresh bool) []Load {
	backends := o.byPool[pool]
	if pool == "" && len(o.backends) <= maxBackendsWithoutPool {
		backends = slices.SortedFunc(maps.Values(o.backends), compareNames)
	}
	if len(backends) > maxLoads {
		backends = backends[:maxLoads]
	}
	loads := make([]Load, 0, len(backends))
	for _, b := range backends {
		l := b.Load(now, fresh)
		l.RefusesAll = l.RefusesAll || b.draining
		loads = append(loads, l)
	}
	return loads
}
