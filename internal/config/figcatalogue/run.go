package figcatalogue

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

const (
	// watchWait is how long one watch waits for a change. A watch counts as one
	// call, so that longer is cheaper; a source that forgets a watch without a word is
	// noticed only after it.
	watchWait = 6 * time.Second
	// gatherPause is the time between a watch that brought changes and the next, so
	// that changes that come in quick succession cost few calls. It is a tenth of the
	// 2 s in which a change must be in force.
	batchDelay = 200 * time.Millisecond
	// retryBase and retryLimit bound the wait after a failed call. A tenth of the
	// 2 s in which a change must be in force is lost at most once it is back.
	retryBase  = 50 * time.Millisecond
	retryLimit = 400 * time.Millisecond
)

// reading is how the source has answered lately. Only Run uses it.
type readState struct {
	revision uint64
	// whole says that all contents have been read and revision continues them.
	complete bool
	failures int
	lostAt   time.Time
}

// Run reads all contents and then follows the changes until ctx ends.
func (c *Catalogue) Run(ctx context.Context, t *figtimer.Timer) error {
	backoff := figtimer.Backoff{Base: retryBase, Limit: retryLimit}
	for ctx.Err() == nil {
		changed, err := c.step(ctx)
		if ctx.Err() != nil || changed && t.Sleep(ctx, batchDelay) != nil {
			break
		}
		c.recordResult(err)
		if err != nil {
			c.fetchFromPeer(ctx)
		}
		if err != nil && t.Sleep(ctx, backoff.Delay(c.reading.failures)) != nil {
			break
		}
	}
	return nil
}

// step makes one call to the source. It returns true if a watch brought changes.
func (c *Catalogue) step(ctx context.Context) (changed bool, err error) {
	c.Calls.Add(1)
	if !c.reading.complete {
		n, err := c.opts.Source.Read(ctx)
		if err != nil {
			return false, err
		}
		c.Replace(n)
		c.reading.revision = n.Revision
		c.reading.complete = true
		return false, nil
	}
	changes, next, err := c.opts.Source.Watch(ctx, c.reading.revision, watchWait)
	if errors.Is(err, ErrHistoryLost) {
		klog.InfoS("reading all again", "source", c.opts.Source.Name, "revision", c.reading.revision, "reason", err)
		c.reading.complete = false
		return false, nil
	}
	if err != nil {
		// Changes may have been dropped together with the watch. A further watch
		// could wait for long before it says so.
		c.reading.complete = false
		return false, err
	}
	c.Apply(changes, next)
	c.reading.revision = max(next, c.reading.revision)
	return len(changes) > 0, nil
}

// note logs when the source is lost and regained.
func (c *Catalogue) recordResult(err error) {
	now := c.opts.Clock.Now()
	if err == nil {
		if c.reading.failures > 0 {
			klog.InfoS("source regained", "source", c.opts.Source.Name, "after", now.Sub(c.reading.lostAt),
				"failures", c.reading.failures, "revision", c.reading.revision)
		}
		c.reading.failures = 0
		c.unavailableSince.Store(nil)
		return
	}
	c.Failures.Add(1)
	if c.reading.failures == 0 {
		c.reading.lostAt = now
		c.unavailableSince.Store(&now)
		klog.InfoS("source lost", "source", c.opts.Source.Name, "revision", c.reading.revision, "err", err)
	}
	c.reading.failures++
}
