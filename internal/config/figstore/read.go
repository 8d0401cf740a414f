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
	// retryLeast and retryMost bound the random part of the wait after failed reads; half of retryLeast is added
	// to it.
	retryLeast = 500 * time.Millisecond
	retryMost  = 10 * time.Second
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
	most := retryLeast << min(b.failures, 10)
	b.failures++
	most = min(most, retryMost)
	return retryLeast/2 + time.Duration(b.random()*float64(most))
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

// poll calls p.read while p.due until ctx ends. It waits between reads as readOnce returns, or idleInterval while
// no read is due.
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
	asked := s.opts.Clock.Now()
	changed, err := p.read(ctx)
	if err != nil {
		return b.next()
	}
	b.reset()
	waited := s.opts.Clock.Now().Sub(asked) >= confirmInterval
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
func (s *Store) countRead(asked time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.source.recordRead(asked, err)
	if err != nil {
		s.counts.ReadFailures++
	}
}

func (s *Store) readInstancesOnce(ctx context.Context) (bool, error) {
	after := s.View().Version
	asked := s.opts.Clock.Now()
	l, err := s.opts.Platform.Instances(ctx, after, 0)
	s.countRead(asked, err)
	if err == nil && s.passedHeld(resourceInstances, l.Revision) {
		after = 0
		l, err = s.opts.Platform.Instances(ctx, after, 0)
		s.countRead(asked, err)
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
		s.confirmed.Store(&asked)
	}
	return changed, nil
}

// passedHeld says whether a service that had returned older revisions now returns a newer one than the list held.
// The list must then be read whole: the service may have given new contents to revisions that this instance
// already holds.
func (s *Store) passedHeld(r resource, revision uint64) bool {
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
	asked := s.opts.Clock.Now()
	l, err := s.opts.Platform.Servers(ctx, after, watchWait)
	s.countRead(asked, err)
	if err == nil && s.passedHeld(resourceServers, l.Revision) {
		after = 0
		l, err = s.opts.Platform.Servers(ctx, after, 0)
		s.countRead(asked, err)
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
	asked := s.opts.Clock.Now()
	v, err := s.opts.Platform.Values(ctx, after, watchWait)
	s.countRead(asked, err)
	if err != nil {
		return false, err
	}
	return s.applyValues(v, asked), nil
}

// applyValues merges values read from the service. It returns true if any of them was new or there is more to
// read.
func (s *Store) applyValues(v *figplatform.Values, asked time.Time) bool {
	candidates := s.parseNew(v.Values)
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.merge(candidates)
	s.publishIfChanged(changed)
	s.source.recordValues(v.Revision, v.More, asked)
	s.source.stale[resourceValues] = !v.More && v.Revision < s.table.highest
	return changed || v.More
}

// publishIfChanged activates changed data, and queues a notification of the neighbours, if changed is set. The caller
// holds s.mu.
func (s *Store) publishIfChanged(changed bool) {
	if changed {
		s.publish()
		s.changes.Push(struct{}{})
	}
}
