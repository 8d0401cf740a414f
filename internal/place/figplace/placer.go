package figplace

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
)

const (
	// retryShare is the number of retries that one first try pays for.
	retryShare = 0.1
	// retryStock bounds the retries that are saved up.
	retryStock = 10
	// defaultKVBytes is the KV cache of one token, in bytes, before any transfer
	// of the pool was measured.
	defaultKVBytes = 128 << 10
	// kvWeight is the weight of a new sample of it.
	kvWeight = 0.1
)

// Counters counts what a Placer did.
type Counters struct {
	// Placed counts placements, NoRoom and NoServer refusals, Retries the
	// placements that avoided a server, Asks the messages to owners, AskErrors those that failed.
	Placed, NoRoom, NoServer, Retries, Asks, AskErrors atomic.Uint64
}

// Placer chooses servers for requests and holds their leases. It is safe for
// concurrent use.
type Placer struct {
	Counters

	opts Options

	mu        sync.Mutex
	cat       *catalogue
	tree      *figtree.Tree
	out       map[string]bool
	regions   map[string]string
	table     *table
	prefixes  *prefixes
	held      map[string]map[*lease]struct{}
	outbox    map[string]*outbox
	transfers map[string]transfer
	retries   float64
}

// New returns a Placer that knows nothing of the servers' load yet.
func New(opts Options) *Placer {
	return &Placer{
		opts:      opts,
		table:     newTable(),
		prefixes:  newPrefixes(),
		held:      map[string]map[*lease]struct{}{},
		outbox:    map[string]*outbox{},
		transfers: map[string]transfer{},
		retries:   retryStock,
	}
}

// sync makes the catalogue follow the published lists and the declarations. It
// returns nil while no list is known. The caller holds mu.
func (p *Placer) sync() *catalogue {
	v, s := p.opts.View(), p.opts.Servers()
	if v == nil || s == nil {
		return nil
	}
	changed := p.declare(p.opts.Tree())
	if p.cat == nil || p.cat.view != v || p.cat.servers != s || changed {
		p.cat = newCatalogue(v, s, p.out)
		p.table.prune(v, s)
	}
	return p.cat
}

// declare takes the declarations in force and says whether other data centres are
// out than before.
func (p *Placer) declare(t *figtree.Tree) bool {
	if t == nil || t == p.tree {
		return false
	}
	p.tree = t
	out := map[string]bool{}
	p.regions = map[string]string{}
	for _, d := range t.DataCentres {
		out[d.Name] = d.Out
		p.regions[d.Name] = d.Region
	}
	changed := !maps.Equal(out, p.out)
	p.out = out
	return changed
}

func (p *Placer) region(dataCentre string) string { return p.regions[dataCentre] }

// pool returns a declared pool, and an empty one if there is none.
func (p *Placer) pool(id string) figtree.Pool {
	if p.tree != nil {
		if x, ok := p.tree.Pool(id); ok {
			return *x
		}
	}
	return figtree.Pool{}
}

// mayTry says whether a try is allowed: a retry needs one that is saved up.
func (p *Placer) mayTry(retry bool) bool { return !retry || p.retries >= 1 }

// pay saves up for retries by a first try that was placed, and takes one by a
// retry that was. Asking again for room costs nothing.
func (p *Placer) pay(retry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retry {
		p.retries--
		return
	}
	p.retries = min(retryStock, p.retries+retryShare)
}

// transfer is what a pool's KV cache transfers were measured at.
type transfer struct {
	// bytes and seconds are those of one prompt token.
	bytes, seconds float64
}

// transferred corrects the size of the pool's KV cache by a finished transfer.
func (p *Placer) transferred(pool string, bytes, tokens int64, took time.Duration) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	x := transfer{bytes: float64(bytes) / float64(tokens), seconds: took.Seconds() / float64(tokens)}
	old, ok := p.transfers[pool]
	if !ok {
		p.transfers[pool] = x
		return
	}
	old.bytes += kvWeight * (x.bytes - old.bytes)
	old.seconds += kvWeight * (x.seconds - old.seconds)
	p.transfers[pool] = old
}

// transferOf estimates the KV cache of a prompt, in bytes, and how long it takes to
// move.
func (p *Placer) transferOf(pool string, tokens int64) (int64, time.Duration) {
	x, ok := p.transfers[pool]
	if !ok {
		x.bytes = defaultKVBytes
	}
	took := x.seconds * float64(tokens) * float64(time.Second)
	return int64(x.bytes * float64(tokens)), time.Duration(took)
}

// waited returns how long a request has waited since it arrived.
func (r *Request) waited(now time.Time) time.Duration {
	if r.Arrived.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.Arrived))
}
