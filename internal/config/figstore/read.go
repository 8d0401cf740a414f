package figstore

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// confirmInterval is how often a reader confirms the list of instances.
	confirmInterval = 500 * time.Millisecond
	// watchWait is how long a watch of the service waits for a change.
	watchWait = 5 * time.Second
	// idleInterval is how often an instance that isn't a reader looks whether it
	// has to be one.
	idleInterval = 500 * time.Millisecond
	// retryLeast and retryMost bound the wait after a failed read.
	retryLeast = 500 * time.Millisecond
	retryMost  = 10 * time.Second
	// rereadInterval is the least time between two reads from the beginning.
	rereadInterval = 10 * time.Second
)

// backoff is the wait after failed reads: exponential, with full jitter.
type backoff struct {
	failures int
	random   func() float64
}

// next returns how long to wait after one more failure.
func (b *backoff) next() time.Duration {
	most := retryLeast << min(b.failures, 10)
	b.failures++
	most = min(most, retryMost)
	return retryLeast/2 + time.Duration(b.random()*float64(most))
}

func (b *backoff) reset() { b.failures = 0 }

// duty is one thing to read again and again.
type poller struct {
	// due says whether this instance reads it now.
	due func() bool
	// read reads it once. It returns true if there was something new.
	read func(ctx context.Context) (bool, error)
	// watches says that read itself waits for something new.
	longPoll bool
}

// repeat reads while it is due. It waits after each read that brought nothing
// new and has not waited itself, and for a growing time after failures.
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

// once reads once and returns how long to wait then.
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

// countRead counts a call and keeps whether the service answered.
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
		// The list is in force by now: whoever sees the confirmation sees it too.
		s.confirmed.Store(&asked)
	}
	return changed, nil
}

// overtaken says whether a service that had gone back is now ahead of what is in
// force. What changed in between is then only seen in the whole list.
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

// readValuesOnce reads what the service has after this reader's own cursor. A
// service whose revision has gone back is read from the beginning once in a
// while, as it may have new values under old revisions.
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

// takeValues returns true if there was something new or there is more to read.
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

// spread brings news into force and has the neighbours told of them. The caller
// holds the lock.
func (s *Store) publishIfChanged(changed bool) {
	if changed {
		s.publish()
		s.changes.Push(struct{}{})
	}
}
