package figstore

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// confirmInterval is how often a reader checks that the list of instances is still the newest. It is also the
	// wait after a read without changes.
	confirmInterval = 500 * time.Millisecond
	// watchWait is how long the service holds a long poll open while nothing changes.
	watchWait = 5 * time.Second
	// idleInterval is how often an instance that isn't a reader checks whether it must read the service.
	idleInterval = 500 * time.Millisecond
	// minRetryWait is the upper bound of the random part of the wait after one failed read. The bound doubles with
	// each further failure, up to maxRetryWait. Half of minRetryWait is added to the random part.
	minRetryWait = 500 * time.Millisecond
	maxRetryWait = 4 * time.Second
	// rereadInterval is the minimum time between two reads of all values from revision 0.
	rereadInterval = 10 * time.Second
)

// backoff computes the wait after failed reads: exponential with full jitter.
type backoff struct {
	failures int
	random   func() float64
}

// next counts a failure and returns how long to wait.
func (b *backoff) next() time.Duration {
	most := minRetryWait << min(b.failures, 10)
	b.failures++
	most = min(most, maxRetryWait)
	return minRetryWait/2 + time.Duration(b.random()*float64(most))
}

func (b *backoff) reset() { b.failures = 0 }

// poller describes a repeated read of one resource of the service.
type poller struct {
	// due says whether this instance must read now.
	due func() bool
	// read reads once. It returns true if data changed or more can be read at once.
	read func(ctx context.Context) (bool, error)
	// longPoll says that read is a long poll, which waits for changes itself.
	longPoll bool
}

// poll calls p.read while p.due until ctx ends. Between reads it waits for the time that readOnce
// returns, or for idleInterval while no read is due.
func (s *Store) poll(ctx context.Context, t *figtimer.Timer, p poller) {
	b := backoff{random: s.opts.Random}
	for ctx.Err() == nil {
		wait := idleInterval
		if p.due() {
			wait = s.readOnce(ctx, p, &b)
		}
		if t.Sleep(ctx, wait) != nil {
			return
		}
	}
}

// readOnce reads once and returns the time to wait before the next read: the backoff after a failure, 0 after a
// long poll that returned a change or waited at least confirmInterval, else confirmInterval.
func (s *Store) readOnce(ctx context.Context, p poller, b *backoff) time.Duration {
	requestedAt := s.opts.Clock.Now()
	changed, err := p.read(ctx)
	if err != nil {
		return b.next()
	}
	b.reset()
	waited := s.opts.Clock.Now().Sub(requestedAt) >= confirmInterval
	if p.longPoll && (changed || waited) {
		return 0
	}
	return confirmInterval
}

func (s *Store) readInstances(ctx context.Context, t *figtimer.Timer) {
	due := func() bool { return s.View().Version == 0 || s.shouldRead() }
	s.poll(ctx, t, poller{due: due, read: s.readInstancesOnce})
}

func (s *Store) readServers(ctx context.Context, t *figtimer.Timer) {
	s.poll(ctx, t, poller{due: s.shouldRead, read: s.readServersOnce, longPoll: true})
}

func (s *Store) readValues(ctx context.Context, t *figtimer.Timer) {
	s.poll(ctx, t, poller{due: s.shouldRead, read: s.readValuesOnce, longPoll: true})
}

// countRead counts a read and records its time and whether it succeeded.
func (s *Store) countRead(requestedAt time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.source.recordRead(requestedAt, err)
	if err != nil {
		s.counts.ReadFailures++
	}
}

func (s *Store) readInstancesOnce(ctx context.Context) (bool, error) {
	after := s.View().Version
	requestedAt := s.opts.Clock.Now()
	l, err := s.opts.Platform.Instances(ctx, after, 0)
	s.countRead(requestedAt, err)
	if err == nil && s.needsFullRead(resourceInstances, l.Revision) {
		after = 0
		l, err = s.opts.Platform.Instances(ctx, after, 0)
		s.countRead(requestedAt, err)
	}
	if err != nil {
		return false, err
	}
	rows := make([]change[figview.Member], 0, len(l.Rows))
	for _, r := range l.Rows {
		rows = append(rows, change[figview.Member]{r.Name, r.Member, r.Gone})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.recordRevision(resourceInstances, l.Revision, s.instances.revision)
	changed := s.instances.apply(l.Revision, after == 0, rows)
	s.publishIfChanged(changed)
	if l.Revision == s.instances.revision {
		// Stored after the list became active, so that a caller who sees this time also sees the list.
		s.confirmed.Store(&requestedAt)
	}
	return changed, nil
}

// needsFullRead says whether a list must be read whole because the service had returned older revisions than the one
// held and now returns a newer one: the service may have published other contents under the revisions that this
// instance has read before.
func (s *Store) needsFullRead(r resource, revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.instances.revision
	if r == resourceServers {
		held = s.serverList.revision
	}
	return s.source.regressed[r] && revision > held
}

func (s *Store) readServersOnce(ctx context.Context) (bool, error) {
	after := s.Servers().Version
	requestedAt := s.opts.Clock.Now()
	l, err := s.opts.Platform.Servers(ctx, after, watchWait)
	s.countRead(requestedAt, err)
	if err == nil && s.needsFullRead(resourceServers, l.Revision) {
		after = 0
		l, err = s.opts.Platform.Servers(ctx, after, 0)
		s.countRead(requestedAt, err)
	}
	if err != nil {
		return false, err
	}
	rows := make([]change[figview.Server], 0, len(l.Rows))
	for _, r := range l.Rows {
		rows = append(rows, change[figview.Server]{r.Name, r.Server, r.Gone})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.source.recordRevision(resourceServers, l.Revision, s.serverList.revision)
	changed := s.serverList.apply(l.Revision, after == 0, rows)
	s.publishIfChanged(changed)
	return changed, nil
}

// readValuesOnce reads the values after this instance's cursor. If the service's revision went back, recordValues
// resets the cursor, as the service may publish new values under old revisions.
func (s *Store) readValuesOnce(ctx context.Context) (bool, error) {
	s.mu.Lock()
	after := s.source.valuesCursor
	s.mu.Unlock()
	requestedAt := s.opts.Clock.Now()
	v, err := s.opts.Platform.Values(ctx, after, watchWait)
	s.countRead(requestedAt, err)
	if err != nil {
		return false, err
	}
	return s.applyValues(v, requestedAt), nil
}

// applyValues merges values read from the service. It returns true if any of them was new or there is more to
// read.
func (s *Store) applyValues(v *figplatform.Values, requestedAt time.Time) bool {
	candidates := s.parseNew(v.Values)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.merge(candidates)
	s.publishIfChanged(changed)
	s.source.recordValues(v.Revision, v.More, requestedAt)
	s.source.stale[resourceValues] = !v.More && v.Revision < s.table.highest
	return changed || v.More
}

// publishIfChanged activates the changed data and queues a notification of the neighbours if changed is true. The
// caller holds s.mu.
func (s *Store) publishIfChanged(changed bool) {
	if changed {
		s.publish()
		s.changes.Push(struct{}{})
	}
}
