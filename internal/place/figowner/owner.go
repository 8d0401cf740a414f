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

// maxLoads bounds the load indexes on one reply.
const maxLoads = 8

// fewBooks is the number of owned servers up to which a reply to a message that
// names no pool carries the load of all.
const maxBackendsWithoutPool = 4

// Owner keeps the books of the servers that this instance owns. It is safe for
// concurrent use.
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

// New returns an owner without books; it makes them from the published lists.
func New(opts Options) *Owner {
	return &Owner{
		opts:      opts,
		backends:  map[string]*Backend{},
		byPool:    map[string][]*Backend{},
		polling:   map[string]bool{},
		lastHeard: map[string]time.Time{},
	}
}

// Of returns the instance that owns a server in a view: among the live instances
// of the server's data centre if there are any, else among all.
func Of(v *figview.View, s figview.Server) (figview.Member, bool) {
	key := figview.Key("server", s.Name)
	if m, ok := v.OwnerIn(key, s.DataCentre); ok {
		return m, true
	}
	return v.Owner(key)
}

// sync makes the books follow the published lists. The caller holds mu.
func (o *Owner) syncBackends(now time.Time) {
	view, servers := o.opts.View(), o.opts.Servers()
	if view == nil || servers == nil || (view == o.view && servers == o.servers) {
		return
	}
	o.view, o.servers = view, servers
	kept := make(map[string]*Backend, len(o.backends))
	clear(o.byPool)
	for _, s := range servers.All {
		if m, ok := Of(view, s); !ok || m.Name != o.opts.Self {
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

// book returns the book of an owned server, a new one if it was not owned.
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

// Answer answers the peer call "reserve".
func (o *Owner) Answer(_ context.Context, q *Request) (*Reply, error) {
	now := o.opts.Clock.Now()
	fresh := o.opts.Fresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncBackends(now)
	o.lastHeard[q.From] = now
	o.applyReports(now, q)
	r := &Reply{Epoch: o.opts.Incarnation}
	for _, a := range q.Reserve {
		r.Grants = append(r.Grants, o.reserve(now, q.From, a, fresh))
	}
	for _, n := range q.Renew {
		if q.Epoch != o.opts.Incarnation || !o.renew(now, n, q.From) {
			r.Unknown = append(r.Unknown, n)
		}
	}
	r.Loads = o.loads(now, q.Pool, fresh)
	return r, nil
}

// release takes what has ended, before anything new is granted.
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
			b.RecordFailure(now, x.Evidence)
		}
	}
	for _, x := range q.Transfers {
		if b, ok := o.backends[x.Server]; ok {
			b.Link.AddSample(x.Bytes, time.Duration(x.TookMillis)*time.Millisecond)
		}
	}
}

// bookOf returns the book that a release belongs to, and nil if there is none.
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

func (o *Owner) reserve(now time.Time, from string, a Ask, fresh bool) Grant {
	b, ok := o.backends[a.Server]
	if !ok {
		return Grant{Refusal: NotOwner, RetryMillis: millis(retryFloor)}
	}
	if o.updateDraining(b) && !a.Held {
		return Grant{Refusal: Leaving, RetryMillis: millis(retryCeiling)}
	}
	o.lastLease++
	return b.Reserve(now, o.lastLease, from, a, fresh)
}

// away says whether a server takes no new work, and tells its book.
func (o *Owner) updateDraining(b *Backend) bool {
	away := b.Server.State == figview.Leaving || o.opts.DataCentreOut(b.Server.DataCentre)
	b.SetDraining(away)
	return away
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
	books := o.byPool[pool]
	if pool == "" && len(o.backends) <= maxBackendsWithoutPool {
		books = slices.SortedFunc(maps.Values(o.backends), compareNames)
	}
	if len(books) > maxLoads {
		books = books[:maxLoads]
	}
	loads := make([]Load, 0, len(books))
	for _, b := range books {
		l := b.Load(now, fresh)
		l.Closed = l.Closed || b.draining
		loads = append(loads, l)
	}
	return loads
}
