package figquarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// pushDelay batches evidence that comes shortly after each other into one push.
	pushDelay = 20 * time.Millisecond
	// pushTargets is the number of instances that a change is pushed to. Each pushes on what is new to
	// it, so that a few reach nearly all; comparisons reach the rest. maxPushAttempts bounds the instances
	// that are tried for each target until one answers.
	pushTargets     = 4
	maxPushAttempts = 4
	// exchangeTimeout is the timeout of one call to another instance.
	exchangeTimeout = 600 * time.Millisecond
	// sweepInterval is the time between two searches for expired evidence.
	sweepInterval = time.Minute
)

// Options holds the dependencies of a Quarantine. All fields are required.
type Options struct {
	Clock figtimer.Clock
	Timer *figtimer.Timer
	// Peers returns the other instances in random order.
	Peers func() []figview.Member
	// Exchange sends evidence to another instance and returns its evidence.
	Exchange func(ctx context.Context, to figview.Member, u *Update) (*Update, error)
	// MayTry reports whether this instance is the one that tries prompts with a quarantined part.
	MayTry func(part string) bool
	// HasEnded reports whether the process of a server is known to have ended.
	HasEnded func(ctx context.Context, s *figcatalogue.Server) bool
}

// Update carries evidence from one instance to another.
type Update struct {
	Records []Record `cbor:"1,keyasint"`
	// WantAll asks for all evidence in the answer.
	WantAll bool `cbor:"2,keyasint,omitempty"`
}

// Quarantine is a Table that is shared with other instances. It is safe for concurrent use.
type Quarantine struct {
	// CrashCount counts the servers that this instance found to have ended on a prompt, and
	// FailedExchanges the calls to other instances that got no answer.
	CrashCount, FailedExchanges atomic.Uint64

	opts    Options
	pending chan struct{}
	// suspects is the number of parts with evidence.
	suspects atomic.Int64
	// comparing says that a comparison with another instance is in progress.
	comparing atomic.Bool

	mu             sync.Mutex
	table          *Table
	names          []string
	investigations map[string]*investigation
}

// New returns a Quarantine without evidence.
func New(o Options) *Quarantine {
	return &Quarantine{
		opts: o, pending: make(chan struct{}, 1), table: NewTable(), investigations: map[string]*investigation{},
	}
}

// Find returns the first of the parts that is quarantined; nil if none is. trial says that a prompt with
// the part may be sent all the same to find out whether the part is harmless, if TakeTrial allows it then.
func (q *Quarantine) Find(parts []string) (f *Finding, trial bool) {
	if len(parts) == 0 {
		return nil, false
	}
	now := q.opts.Clock.Now()
	q.mu.Lock()
	f = q.table.Find(now, parts)
	trial = f != nil && f.record.trialDue(now)
	q.mu.Unlock()
	return f, trial && q.opts.MayTry(f.Part)
}

// TakeTrial is like Find, and allows a trial to one caller only.
func (q *Quarantine) TakeTrial(parts []string) (f *Finding, trial bool) {
	if f, trial = q.Find(parts); !trial {
		return f, false
	}
	q.update(func(now time.Time) { trial = q.table.TakeTrial(now, f) })
	return f, trial
}

// RecordAnswer notes that a server of a pool has answered a prompt with these parts in full, and how long the answer lasted.
func (q *Quarantine) RecordAnswer(pool string, parts []string, lasted time.Duration) {
	if len(parts) > 0 {
		q.update(func(now time.Time) { q.table.RecordAnswer(now, pool, parts, lasted) })
	}
}

// RecordProgress notes that a server goes on with the answer to a prompt with these parts, which has lasted so long.
func (q *Quarantine) RecordProgress(parts []string, lasted time.Duration) {
	if len(parts) > 0 && q.suspects.Load() > 0 {
		q.update(func(now time.Time) { q.table.RecordProgress(now, parts, lasted) })
	}
}

// Len returns the number of parts with evidence.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Len()
}

// Quarantined returns the names of the quarantined parts, sorted.
func (q *Quarantine) Quarantined() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Quarantined(q.opts.Clock.Now())
}

// Digest returns a number that is the same for instances with the same evidence.
func (q *Quarantine) Digest() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Digest()
}

// update changes the table and starts a push if that changed the evidence.
func (q *Quarantine) update(change func(now time.Time)) {
	q.mu.Lock()
	change(q.opts.Clock.Now())
	changed := len(q.table.changed) > 0
	q.suspects.Store(int64(q.table.Len()))
	q.mu.Unlock()
	if !changed {
		return
	}
	select {
	case q.pending <- struct{}{}:
	default:
	}
}

// Run pushes changes to other instances and forgets old evidence until ctx ends. It returns nil.
func (q *Quarantine) Run(ctx context.Context) error {
	ticks := q.opts.Timer.Subscribe(ctx, sweepInterval)
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticks:
			q.mu.Lock()
			q.table.RemoveExpired(now)
			q.suspects.Store(int64(q.table.Len()))
			q.mu.Unlock()
			q.logChanges()
		case <-q.pending:
			if q.opts.Timer.Sleep(ctx, pushDelay) != nil {
				return nil
			}
			q.push(ctx)
			q.opts.Timer.After(settleTime+pushDelay, q.logChanges)
		}
	}
}

// push sends the changes to pushTargets other instances. One that doesn't answer is replaced by another, because
// the list of members still holds those behind a partition for a while.
func (q *Quarantine) push(ctx context.Context) {
	q.mu.Lock()
	records := q.table.TakeChanged(q.opts.Clock.Now())
	q.mu.Unlock()
	if len(records) == 0 {
		return
	}
	peers := q.opts.Peers()
	peers = peers[:min(len(peers), pushTargets*maxPushAttempts)]
	for i := range min(len(peers), pushTargets) {
		go func() {
			for j := i; j < len(peers) && ctx.Err() == nil; j += pushTargets {
				if q.exchange(ctx, peers[j], &Update{Records: records}) {
					return
				}
			}
		}()
	}
}

// exchange sends evidence to another instance and adds what it answers. It returns false if there is no answer.
func (q *Quarantine) exchange(ctx context.Context, to figview.Member, u *Update) bool {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := q.opts.Exchange(ctx, to, u)
	if err != nil {
		q.FailedExchanges.Add(1)
		klog.V(1).InfoS("failed to exchange evidence on prompt parts", "with", to.Name, "err", err)
		return false
	}
	q.update(func(now time.Time) { q.table.Merge(now, answer.Records) })
	return true
}

// HandleExchange adds the evidence of another instance, and answers with all evidence if that is wanted.
func (q *Quarantine) HandleExchange(_ context.Context, u *Update) (*Update, error) {
	q.update(func(now time.Time) { q.table.Merge(now, u.Records) })
	answer := &Update{}
	if u.WantAll {
		q.mu.Lock()
		answer.Records = q.table.Records(q.opts.Clock.Now())
		q.mu.Unlock()
	}
	return answer, nil
}

// OnDigest compares the evidence with that of another instance if the digests differ.
func (q *Quarantine) OnDigest(from figview.Member, digest uint64) {
	q.mu.Lock()
	differs := digest != q.table.Digest()
	records := q.table.Records(q.opts.Clock.Now())
	q.mu.Unlock()
	if !differs || !q.comparing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer q.comparing.Store(false)
		q.exchange(context.Background(), from, &Update{Records: records, WantAll: true})
	}()
}

// logChanges logs the beginning and the end of quarantines.
func (q *Quarantine) logChanges() {
	names := q.Quarantined()
	q.mu.Lock()
	before := q.names
	q.names = names
	q.mu.Unlock()
	if !slices.Equal(before, names) {
		klog.InfoS("quarantined prompt parts changed", "before", before, "now", names)
	}
}
