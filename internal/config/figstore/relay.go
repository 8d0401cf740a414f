package figstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// neighbourCount is the number of peers that an instance notifies and pulls from.
	neighbourCount = 4
	// pullInterval is the interval between pulls from one neighbour after another.
	pullInterval = 2 * time.Second
	// bootInterval is the pause between pulls from all neighbours while the instance isn't ready.
	bootInterval = 200 * time.Millisecond
	// replyBytes is the size of the values in a reply at which no more are added. The last value or bucket may
	// exceed it.
	replyBytes = 1 << 20
	// bucketsInterval is the minimum time between two bucket comparisons.
	bucketsInterval = 2 * time.Second
)

// pickAcrossDataCentres picks up to n members in the order of ranked, one of each data centre before a second one
// of any. It modifies ranked.
func pickAcrossDataCentres(ranked []figview.Member, n int) []figview.Member {
	picked := make([]figview.Member, 0, n)
	for len(picked) < n && len(ranked) > 0 {
		seen := map[string]bool{}
		ranked = slices.DeleteFunc(ranked, func(m figview.Member) bool {
			if len(picked) == n || seen[m.DataCentre] {
				return false
			}
			seen[m.DataCentre] = true
			picked = append(picked, m)
			return true
		})
	}
	return picked
}

// Answer handles a peer's request. If the request shows that the peer has newer data, a pull from the peer is
// queued.
func (s *Store) Answer(_ context.Context, q *Request) (*Reply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q.Highest > s.table.highest || q.Instances > s.instances.revision || q.Servers > s.serverList.revision {
		s.queuePull(q.From)
	}
	if q.Notify {
		return &Reply{}, nil
	}
	r := &Reply{
		Ready:     s.Ready(),
		Highest:   s.table.highest,
		Digest:    s.table.digest(),
		Instances: changesSince(&s.instances, q.Instances, instanceToWire),
		Servers:   changesSince(&s.serverList, q.Servers, serverToWire),
	}
	r.Source, r.AgeMillis = s.source.lastAnswer(s.opts.Clock.Now(), s.opts.Self)
	var values []figplatform.Value
	switch {
	case q.Digest == r.Digest:
	case q.Buckets != nil:
		values, r.Next = s.table.differing(q.Buckets, q.First, replyBytes)
	default:
		values, r.More = s.table.after(q.Highest, replyBytes)
	}
	r.Values = valuesToWire(values)
	return r, nil
}

func (s *Store) queuePull(name string) {
	if m, ok := s.View().Find(name); ok {
		s.pulls.Push(m)
	}
}

// pullPeriodically pulls from all neighbours until the store is ready, then from one neighbour per pullInterval,
// in turn.
func (s *Store) pullPeriodically(ctx context.Context, t *figtimer.Timer) {
	for !s.Ready() {
		s.pullAll(ctx)
		if t.Sleep(ctx, bootInterval) != nil {
			return
		}
	}
	turn := 0
	for range t.Subscribe(ctx, pullInterval) {
		turn = s.pullNext(ctx, turn)
		s.logService()
	}
}

// pullNext pulls from the next neighbour, and from the one after that if the first pull fails. It returns the new
// turn.
func (s *Store) pullNext(ctx context.Context, turn int) int {
	peers := s.neighbours()
	for range min(2, len(peers)) {
		turn++
		if s.pull(ctx, peers[turn%len(peers)]) == nil {
			break
		}
	}
	return turn
}

// pullAll pulls from every neighbour and then updates readiness.
func (s *Store) pullAll(ctx context.Context) {
	// Without a list of instances the neighbours are only the seeds. Pulling from them doesn't make the store ready,
	// but may give it the list.
	listKnown := s.View().Version > 0
	for _, m := range s.neighbours() {
		_ = s.pull(ctx, m)
	}
	if listKnown {
		s.updateReady()
	}
}

// PullIfBehind compares a peer's highest version, digest of values and version of its list of instances with the
// store's. If the store lacks data of the peer's, a pull from it is queued.
func (s *Store) PullIfBehind(m figview.Member, highest, digest, view uint64) {
	s.mu.Lock()
	behind := highest > s.table.highest || view > s.instances.revision ||
		(highest == s.table.highest && digest != s.table.digest())
	s.mu.Unlock()
	if behind {
		s.pulls.Push(m)
	}
}

// pullQueued pulls from the peers queued by notifications, other requests and PullIfBehind.
func (s *Store) pullQueued(ctx context.Context) {
	for {
		m, err := s.pulls.Pop(ctx)
		if err != nil {
			return
		}
		_ = s.pull(ctx, m)
	}
}

// pull fetches from m the data that this instance lacks: first the values above the highest version held, then, if
// digests still differ, by bucket comparison at most once per bucketsInterval.
func (s *Store) pull(ctx context.Context, m figview.Member) error {
	for {
		r, result, err := s.exchange(ctx, m, s.request())
		if err != nil || result.same {
			return err
		}
		if !r.More || !result.changed {
			break
		}
	}
	if !s.startComparison() {
		return nil
	}
	for first := 0; ; {
		q := s.request()
		q.First = first
		q.Buckets = s.bucketDigests()
		r, result, err := s.exchange(ctx, m, q)
		if err != nil || result.same || r.Next <= first {
			return err
		}
		first = r.Next
	}
}

// exchangeResult describes the effect of a reply.
type exchangeResult struct {
	// same says that both instances hold the same values now, changed that the reply contained new data.
	same, changed bool
}

func (s *Store) exchange(ctx context.Context, m figview.Member, q *Request) (*Reply, exchangeResult, error) {
	requestedAt := s.opts.Clock.Now()
	r, err := s.opts.SendRequest(ctx, m, q)
	s.countPull(r, err)
	if err != nil {
		return nil, exchangeResult{}, err
	}
	return r, s.applyReply(r, requestedAt), nil
}

func (s *Store) request() *Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Request{
		From:      s.opts.Self,
		Highest:   s.table.highest,
		Digest:    s.table.digest(),
		Instances: s.instances.revision,
		Servers:   s.serverList.revision,
	}
}

func (s *Store) bucketDigests() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.table.buckets[:])
}

// startComparison says whether bucketsInterval has passed since the last bucket comparison, and if so records that
// a new one starts now.
func (s *Store) startComparison() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Clock.Now()
	if now.Sub(s.lastComparison) < bucketsInterval && !s.lastComparison.IsZero() {
		return false
	}
	s.lastComparison = now
	return true
}

// applyReply merges a reply into the store and activates what changed.
func (s *Store) applyReply(r *Reply, requestedAt time.Time) exchangeResult {
	candidates := s.parseNew(s.decompressAll(r.Values))
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.merge(candidates)
	changed = applyChanges(&s.instances, r.Instances, instanceFromWire) || changed
	changed = applyChanges(&s.serverList, r.Servers, serverFromWire) || changed
	if r.Source != s.opts.Self {
		s.source.recordPeerReport(requestedAt, r)
	}
	s.publishIfChanged(changed)
	return exchangeResult{same: r.Digest == s.table.digest(), changed: changed}
}

// decompressAll logs and leaves out values that can't be decompressed.
func (s *Store) decompressAll(received []Value) []figplatform.Value {
	values := make([]figplatform.Value, 0, len(received))
	for _, w := range received {
		v, err := decompress(w)
		if err != nil {
			klog.ErrorS(err, "value from peer can't be decompressed; ignoring it", "path", w.Path, "version", w.Version)
			continue
		}
		values = append(values, v)
	}
	return values
}

// parseNew parses the values that could change the table and counts the rest as ignored. It doesn't hold s.mu
// while it parses.
func (s *Store) parseNew(values []figplatform.Value) []parsed {
	s.mu.Lock()
	candidates := slices.DeleteFunc(slices.Clone(values), func(v figplatform.Value) bool { return !s.table.mayChange(v) })
	s.counts.Ignored += uint64(len(values) - len(candidates))
	s.mu.Unlock()
	results := make([]parsed, 0, len(candidates))
	for _, v := range candidates {
		results = append(results, parse(v))
	}
	return results
}

// merge merges parsed values into the table and returns whether any was new. The caller holds s.mu.
func (s *Store) merge(values []parsed) bool {
	changed := false
	for _, p := range values {
		if !s.table.merge(p) {
			s.counts.Ignored++
			continue
		}
		s.counts.Applied++
		changed = true
		if s.table.entries[p.Path].latest == p.Value {
			logRejected(p)
		}
	}
	return changed
}

// notifyChanges notifies the neighbours after each change, in parallel.
func (s *Store) notifyChanges(ctx context.Context) {
	for {
		if _, err := s.changes.Pop(ctx); err != nil {
			return
		}
		var calls sync.WaitGroup
		for _, m := range s.neighbours() {
			calls.Go(func() {
				q := s.request()
				q.Notify = true
				_, _ = s.opts.SendRequest(ctx, m, q)
			})
		}
		calls.Wait()
	}
}

func (s *Store) countPull(r *Reply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Pulls++
	if err != nil {
		s.counts.PullFailures++
		return
	}
	s.synced = s.synced || (r.Ready && !r.More)
}
