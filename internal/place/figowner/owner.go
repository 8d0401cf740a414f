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
const fewBooks = 4

// Owner keeps the books of the servers that this instance owns. It is safe for
// concurrent use.
type Owner struct {
	opts Options

	mu      sync.Mutex
	view    *figview.View
	servers *figview.Servers
	books   map[string]*Book
	byPool  map[string][]*Book
	polling map[string]bool
	heard   map[string]time.Time
	next    uint64
}

// New returns an owner without books; it makes them from the published lists.
func New(opts Options) *Owner {
	return &Owner{
		opts:    opts,
		books:   map[string]*Book{},
		byPool:  map[string][]*Book{},
		polling: map[string]bool{},
		heard:   map[string]time.Time{},
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
func (o *Owner) sync(now time.Time) {
	view, servers := o.opts.View(), o.opts.Servers()
	if view == nil || servers == nil || (view == o.view && servers == o.servers) {
		return
	}
	o.view, o.servers = view, servers
	kept := make(map[string]*Book, len(o.books))
	clear(o.byPool)
	for _, s := range servers.All {
		if m, ok := Of(view, s); !ok || m.Name != o.opts.Self {
			continue
		}
		b := o.book(now, s)
		kept[s.Name] = b
		o.byPool[s.Pool] = append(o.byPool[s.Pool], b)
	}
	o.books = kept
	maps.DeleteFunc(o.heard, func(name string, _ time.Time) bool {
		_, listed := view.Find(name)
		return !listed
	})
}

// book returns the book of an owned server, a new one if it was not owned.
func (o *Owner) book(now time.Time, s figview.Server) *Book {
	if b, ok := o.books[s.Name]; ok {
		b.Server = s
		return b
	}
	p, _ := o.opts.Pool(s.Pool)
	b := NewBook(s, p, now)
	b.Fence.Gain(o.view.Version, o.opts.Incarnation)
	return b
}

// Answer answers the peer call "reserve".
func (o *Owner) Answer(_ context.Context, q *Request) (*Reply, error) {
	now := o.opts.Clock.Now()
	fresh := o.opts.Fresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sync(now)
	o.heard[q.From] = now
	o.release(now, q)
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
func (o *Owner) release(now time.Time, q *Request) {
	for _, x := range q.Release {
		if q.Epoch != o.opts.Incarnation {
			x.Lease = 0
		}
		if b := o.bookOf(x); b != nil {
			b.Release(now, q.From, x)
		}
	}
	for _, x := range q.Failures {
		if b, ok := o.books[x.Server]; ok {
			b.Fail(now, x.Evidence)
		}
	}
	for _, x := range q.Transfers {
		if b, ok := o.books[x.Server]; ok {
			b.Link.Add(x.Bytes, time.Duration(x.TookMillis)*time.Millisecond)
		}
	}
}

// bookOf returns the book that a release belongs to, and nil if there is none.
func (o *Owner) bookOf(r Release) *Book {
	if r.Lease == 0 {
		return o.books[r.Server]
	}
	for _, b := range o.books {
		if _, ok := b.leases[r.Lease]; ok {
			return b
		}
	}
	return nil
}

func (o *Owner) reserve(now time.Time, from string, a Ask, fresh bool) Grant {
	b, ok := o.books[a.Server]
	if !ok {
		return Grant{Refusal: NotOwner, RetryMillis: millis(retryFloor)}
	}
	if o.away(b) && !a.Held {
		return Grant{Refusal: Leaving, RetryMillis: millis(retryCeiling)}
	}
	o.next++
	return b.Reserve(now, o.next, from, a, fresh)
}

// away says whether a server takes no new work, and tells its book.
func (o *Owner) away(b *Book) bool {
	away := b.Server.State == figview.Leaving || o.opts.DataCentreOut(b.Server.DataCentre)
	b.Away(away)
	return away
}

func (o *Owner) renew(now time.Time, number uint64, from string) bool {
	for _, b := range o.books {
		if b.Renew(now, number, from) {
			return true
		}
	}
	return false
}

func compareBooks(a, b *Book) int { return strings.Compare(a.Server.Name, b.Server.Name) }

func (o *Owner) loads(now time.Time, pool string, fresh bool) []Load {
	books := o.byPool[pool]
	if pool == "" && len(o.books) <= fewBooks {
		books = slices.SortedFunc(maps.Values(o.books), compareBooks)
	}
	if len(books) > maxLoads {
		books = books[:maxLoads]
	}
	loads := make([]Load, 0, len(books))
	for _, b := range books {
		l := b.Load(now, fresh)
		l.Closed = l.Closed || b.away
		loads = append(loads, l)
	}
	return loads
}
