package figcatalogue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// watchWait is the wait of one watch. Each watch counts as one call to the source, so a longer wait costs
	// fewer calls; but a watch on a connection that has gone silent is noticed only after the wait and the
	// timeout of the answer, 1 s. A change must be active within 3 s of the silence, and is read anew first.
	watchWait = 1500 * time.Millisecond
	// batchDelay is the time between two watches, so that changes in quick succession cost few calls, also those of
	// keys that are of no use here. It is a tenth of the 2 s within which a change must be active.
	batchDelay = 200 * time.Millisecond
	// retryBase and retryLimit bound the wait after a failed call. Changes must be active within 2 s of the
	// source's return; the wait may use a fifth of that.
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
	// firstQueryTimeout bounds the query of another instance by one that has nothing yet of the source's epoch.
	firstQueryTimeout = 500 * time.Millisecond
)

var errOutdated = errors.New("the answer is of an epoch before the latest one")

// readState is the state of reading the source. Only Run uses it.
type readState struct {
	// position is where to watch from.
	position figview.Position
	// complete says that all contents have been read, so that watching may continue from position.
	complete bool
	// losses counts the watches in a row for which the source lacked the history. After the first one reading
	// all contents again at once is of no use.
	losses int
	// failures counts the failed calls since the last successful one; lostAt is when the first of them ended.
	failures int
	lostAt   time.Time
	// directUntil is until when a follower reads the source itself; directFailedAt is when its last call
	// to the source failed.
	directUntil, directFailedAt time.Time
}

// Run reads all contents and then watches the source for changes, or follows a reader, until ctx ends. It returns
// nil. While calls to the source fail, it requests the contents of another instance after each failure.
func (c *Catalogue) Run(ctx context.Context, t *figtimer.Timer) error {
	backoff := figtimer.Backoff{Base: retryBase, Limit: retryLimit}
	for ctx.Err() == nil {
		if c.follow(ctx, t) {
			continue
		}
		watching := c.reading.complete
		watched, err := c.step(ctx)
		if ctx.Err() != nil || watched && t.Sleep(ctx, batchDelay) != nil {
			break
		}
		failure := err
		if errors.Is(err, ErrHistoryLost) {
			failure = nil // the source is available
		}
		c.recordResult(failure)
		if failure != nil {
			c.directFailed()
		}
		if failure != nil && (!watching || c.reading.failures > 1) {
			// After a watch that failed, reading the source on a new connection comes first: if only its
			// connection was silent, that is quicker than peers whose connections may be silent too.
			c.fetchFromPeer(ctx)
		}
		if err != nil && t.Sleep(ctx, backoff.Delay(max(c.reading.failures, c.reading.losses))) != nil {
			break
		}
	}
	return nil
}

// step sends one call to the source: a read if the contents aren't complete, else a watch. It returns true if a
// watch was answered.
func (c *Catalogue) step(ctx context.Context) (watched bool, err error) {
	c.Calls.Add(1)
	if !c.reading.complete {
		n, err := c.opts.Source.Read(ctx)
		if err != nil {
			return false, err
		}
		active := c.Position()
		if n.Epoch == 0 {
			n.Epoch = active.Epoch
		}
		if n.Epoch < active.Epoch {
			return false, errOutdated
		}
		if active.Epoch < n.Epoch || c.View().Table == nil {
			c.mergeFromPeer(ctx)
		}
		c.Replace(n)
		c.reading.position = n.Position
		c.reading.complete = true
		return false, nil
	}
	waiting, cancel := c.beginWait(ctx)
	if active := c.Position(); c.reading.position.Before(active) {
		c.reading.position = active
	}
	changes, next, err := c.opts.Source.Watch(waiting, c.reading.position, c.maxWait(watchWait))
	ended := waiting.Err() != nil
	cancel()
	if next.Epoch == 0 {
		next.Epoch = c.reading.position.Epoch
	}
	switch {
	case ctx.Err() != nil:
		return false, ctx.Err()
	case ended || err == nil && next.Epoch > c.reading.position.Epoch:
		// The restored source has given out revisions again, so that the changes after an old one are not all.
		klog.InfoS("source was restored; reading all contents again",
			"source", c.opts.Source.Name, "epoch", c.reading.position.Epoch, "revision", c.reading.position.Revision)
		c.reading.complete = false
		return false, nil
	case err == nil && next.Epoch < c.reading.position.Epoch:
		err = errOutdated
	}
	if errors.Is(err, ErrHistoryLost) {
		c.reading.losses++
	}
	if c.reading.losses == 1 && errors.Is(err, ErrHistoryLost) {
		klog.InfoS("changes no longer available; reading all contents again",
			"source", c.opts.Source.Name, "epoch", c.reading.position.Epoch,
			"revision", c.reading.position.Revision, "reason", err)
		c.reading.complete = false
		return false, nil
	}
	if err != nil {
		// The failed watch may have lost changes, and a new watch could take its whole wait to report that. Read
		// all contents again instead.
		c.reading.complete = false
		return false, err
	}
	c.reading.losses = 0
	c.Apply(changes, next)
	if c.reading.position.Before(next) {
		c.reading.position = next
	}
	return true, nil
}

// beginWait returns the context of a call that waits for changes. It ends when RunCatchUp has applied contents of a later epoch.
func (c *Catalogue) beginWait(ctx context.Context) (context.Context, func()) {
	waiting, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endWait = cancel
	return waiting, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.endWait = nil
		cancel()
	}
}

// mergeFromPeer fetches the contents of another instance before this one applies the first ones that it has read in an epoch: a source
// that was just restored may have older declarations than other instances, and entries that they know better.
func (c *Catalogue) mergeFromPeer(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, firstQueryTimeout)
	defer cancel()
	c.fetchFromPeer(limited)
}

// recordResult counts failures, and logs when the source becomes unavailable and available again.
func (c *Catalogue) recordResult(err error) {
	now := c.opts.Clock.Now()
	if err == nil {
		if c.reading.failures > 0 {
			klog.InfoS("source available again", "source", c.opts.Source.Name, "after", now.Sub(c.reading.lostAt),
				"failures", c.reading.failures, "epoch", c.reading.position.Epoch, "revision", c.reading.position.Revision)
		}
		c.reading.failures = 0
		c.unavailableSince.Store(nil)
		return
	}
	c.Failures.Add(1)
	if c.reading.failures == 0 {
		c.reading.lostAt = now
		c.unavailableSince.Store(&now)
		klog.InfoS("source unavailable", "source", c.opts.Source.Name, "epoch", c.reading.position.Epoch,
			"revision", c.reading.position.Revision, "err", err)
	}
	c.reading.failures++
	if c.reading.failures == 1 {
		c.mu.Lock()
		defer c.mu.Unlock()
		// Followers learn that this instance can't read the source.
		close(c.changed)
		c.changed = make(chan struct{})
	}
}
