package figplace

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
)

const (
	// retryTokensPerPlacement is the number of retries that one first try pays for.
	retryTokensPerPlacement = 0.1
	// maxRetryTokens bounds the retries that are saved up.
	maxRetryTokens = 10
	// defaultKVBytesPerToken is the KV cache of one token, in bytes, before any transfer
	// of the pool was measured.
	defaultKVBytesPerToken = 128 << 10
	// transferSampleWeight is the weight of a new sample of it.
	transferSampleWeight = 0.1
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

	mu                  sync.Mutex
	cat                 *catalogue
	tree                *figtree.Tree
	excludedDataCentres map[string]bool
	regions             map[string]string
	table               *loadTable
	prefixes            *prefixIndex
	leasesByOwner       map[string]map[*lease]struct{}
	outboxes            map[string]*outbox
	transfers           map[string]transferEstimate
	retryTokens         float64
}

// New returns a Placer that knows nothing of the servers' load yet.
func New(opts Options) *Placer {
	return &Placer{
		opts:          opts,
		table:         newLoadTable(),
		prefixes:      newPrefixIndex(),
		leasesByOwner: map[string]map[*lease]struct{}{},
		outboxes:      map[string]*outbox{},
		transfers:     map[string]transferEstimate{},
		retryTokens:   maxRetryTokens,
	}
}

// refreshCatalogue makes the catalogue follow the published lists and the declarations. It
// returns nil while no list is known. The caller holds mu.
func (p *Placer) refreshCatalogue() *catalogue {
	v, s := p.opts.View(), p.opts.Servers()
	if v == nil || s == nil {
		return nil
	}
	changed := p.applyTree(p.opts.Tree())
	if p.cat == nil || p.cat.view != v || p.cat.servers != s || changed {
		p.cat = newCatalogue(v, s, p.excludedDataCentres)
		p.table.prune(v, s)
	}
	return p.cat
}

// applyTree takes the declarations in force and says whether other data centres are
// out than before.
func (p *Placer) applyTree(t *figtree.Tree) bool {
	if t == nil || t == p.tree {
		return false
	}
	p.tree = t
	excludedDataCentres := map[string]bool{}
	p.regions = map[string]string{}
	for _, d := range t.DataCentres {
		excludedDataCentres[d.Name] = d.Out
		p.regions[d.Name] = d.Region
	}
	changed := !maps.Equal(excludedDataCentres, p.excludedDataCentres)
	p.excludedDataCentres = excludedDataCentres
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

// attemptAllowed says whether a try is allowed: a retry needs one that is saved up.
func (p *Placer) attemptAllowed(retry bool) bool { return !retry || p.retryTokens >= 1 }

// updateRetryBudget saves up for retries by a first try that was placed, and takes one by a
// retry that was. Asking again for room costs nothing.
func (p *Placer) updateRetryBudget(retry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retry {
		p.retryTokens--
		return
	}
	p.retryTokens = min(maxRetryTokens, p.retryTokens+retryTokensPerPlacement)
}

// transferEstimate is what a pool's KV cache transfers were measured at.
type transferEstimate struct {
	// bytesPerToken and seconds are those of one prompt token.
	bytesPerToken, secondsPerToken float64
}

// updateTransferEstimate corrects the size of the pool's KV cache by a finished transfer.
func (p *Placer) updateTransferEstimate(pool string, bytes, tokens int64, took time.Duration) {
	if bytes <= 0 || tokens <= 0 {
		return
	}
	x := transferEstimate{bytesPerToken: float64(bytes) / float64(tokens), secondsPerToken: took.Seconds() / float64(tokens)}
	old, ok := p.transfers[pool]
	if !ok {
		p.transfers[pool] = x
		return
	}
	old.bytesPerToken += transferSampleWeight * (x.bytesPerToken - old.bytesPerToken)
	old.secondsPerToken += transferSampleWeight * (x.secondsPerToken - old.secondsPerToken)
	p.transfers[pool] = old
}

// estimateTransfer estimates the KV cache of a prompt, in bytes, and how long it takes to
// move.
func (p *Placer) estimateTransfer(pool string, tokens int64) (int64, time.Duration) {
	x, ok := p.transfers[pool]
	if !ok {
		x.bytesPerToken = defaultKVBytesPerToken
	}
	took := x.secondsPerToken * float64(tokens) * float64(time.Second)
	return int64(x.bytesPerToken * float64(tokens)), time.Duration(took)
}

// waited returns how long a request has waited since it arrived.
func (r *Request) waited(now time.Time) time.Duration {
	if r.Arrived.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.Arrived))
}
