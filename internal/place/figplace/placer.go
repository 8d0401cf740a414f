package figplace

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
)

const (
	// retryTokensPerPlacement is what each placement of a first attempt adds to the retry budget. A retry
	// that is placed costs one token.
	retryTokensPerPlacement = 0.1
	// maxRetryTokens is the largest retry budget, and the one at the start.
	maxRetryTokens = 10
	// defaultKVBytesPerToken is the size of the KV cache of one prompt token, in bytes, until a transfer in
	// the pool has been measured.
	defaultKVBytesPerToken = 128 << 10
	// transferSampleWeight is the weight of a new sample in the moving average of transfers.
	transferSampleWeight = 0.1
)

// Counters counts the placements and messages of a Placer.
type Counters struct {
	// Placed counts all placements, Retries the placements of retried requests. NoRoom and NoServer count refused
	// requests by kind of error. OwnerRequests counts the messages to owners, OwnerRequestErrors those
	// without a reply.
	Placed, NoRoom, NoServer, Retries, OwnerRequests, OwnerRequestErrors atomic.Uint64
}

// Placer chooses servers for requests, and holds and renews their leases. It is safe for concurrent use.
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

// New returns a Placer without leases and with no information on the servers' load.
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

// refreshCatalogue returns the catalogue for the current lists and configuration. It returns nil while either
// list is missing. The caller holds mu.
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

// applyTree stores the configuration in force. It says whether the set of data centres or of those that are
// out of service has changed. The caller holds mu.
func (p *Placer) applyTree(t *figtree.Tree) bool {
	if t == nil || t == p.tree {
		return false
	}
	p.tree = t
	excludedDataCentres := map[string]bool{}
	p.regions = map[string]string{}
	for _, d := range t.DataCentres {
		excludedDataCentres[d.Name] = d.OutOfService
		p.regions[d.Name] = d.Region
	}
	changed := !maps.Equal(excludedDataCentres, p.excludedDataCentres)
	p.excludedDataCentres = excludedDataCentres
	return changed
}

func (p *Placer) region(dataCentre string) string { return p.regions[dataCentre] }

// pool returns a configured pool, or a zero one if there is none.
func (p *Placer) pool(id string) figtree.Pool {
	if p.tree != nil {
		if x, ok := p.tree.Pool(id); ok {
			return *x
		}
	}
	return figtree.Pool{}
}

// attemptAllowed says whether Place may ask for servers. A retry needs a whole token in the retry budget.
func (p *Placer) attemptAllowed(retry bool) bool { return !retry || p.retryTokens >= 1 }

// updateRetryBudget takes a token from the retry budget for a placed retry, and adds to the budget for a
// placed first attempt. Calls of Place that fail cost nothing.
func (p *Placer) updateRetryBudget(retry bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if retry {
		p.retryTokens--
		return
	}
	p.retryTokens = min(maxRetryTokens, p.retryTokens+retryTokensPerPlacement)
}

// transferEstimate holds the moving averages of the KV cache transfers in one pool.
type transferEstimate struct {
	// bytesPerToken and secondsPerToken are the size and the duration for one prompt token.
	bytesPerToken, secondsPerToken float64
}

// updateTransferEstimate adds a finished transfer of a prompt's KV cache to the pool's moving averages.
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

// estimateTransfer estimates the size of a prompt's KV cache in bytes and the duration of its transfer. The
// duration is zero until a transfer in the pool has been measured.
func (p *Placer) estimateTransfer(pool string, tokens int64) (int64, time.Duration) {
	x, ok := p.transfers[pool]
	if !ok {
		x.bytesPerToken = defaultKVBytesPerToken
	}
	took := x.secondsPerToken * float64(tokens) * float64(time.Second)
	return int64(x.bytesPerToken * float64(tokens)), time.Duration(took)
}

// waited returns the time since the request arrived, or zero if it has no arrival time.
func (r *Request) waited(now time.Time) time.Duration {
	if r.Arrived.IsZero() {
		return 0
	}
	return max(0, now.Sub(r.Arrived))
}
