package figcatalogue

import (
	"cmp"
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// maxLog is the number of latest changes that a catalogue keeps for followers. A follower that lacks
	// more gets all contents.
	maxLog = 256
	// defaultLogBytes is the default of Options.LogBytes.
	defaultLogBytes = 8 << 20
	// changeBytes is about how much memory a change takes besides its declarations.
	changeBytes = 512
	// followWait is how long a reader keeps a follower's call waiting for changes, and followMargin how much
	// later its answer is due. Their sum bounds how long a follower waits on a connection that has gone silent;
	// see watchWait.
	followWait   = 2 * time.Second
	followMargin = 500 * time.Millisecond
	// followRetry is the pause before a follower calls again whose reader can't read the source.
	followRetry = 300 * time.Millisecond
	// directRetry is the time after a failed call of its own to the source before a follower whose reader
	// can't read it tries again.
	directRetry = 2 * time.Second
	// directTime is how long a follower reads the source itself after its reader failed to.
	directTime = 10 * time.Second
	// behindLimit is how long an instance may be behind a revision that another instance has before it
	// fetches the changes from there. Its reader is expected to deliver them sooner.
	behindLimit = 250 * time.Millisecond
)

// logEntry holds the changes between two positions.
type logEntry struct {
	from, to figview.Position
	changes  []Change
	// bytes is about how much memory the changes take.
	bytes int64
}

// FollowRequest asks an instance for the changes after a revision.
type FollowRequest struct {
	After uint64 `cbor:"1,keyasint"`
	// Wait is how long the answer may wait for a change.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Epoch is the epoch of After.
	Epoch uint64 `cbor:"3,keyasint,omitempty"`
}

// position returns the position after which changes are asked for.
func (q *FollowRequest) position() figview.Position {
	return figview.Position{Epoch: q.Epoch, Revision: q.After}
}

// newFollowRequest asks for the changes after a position.
func newFollowRequest(after figview.Position, wait time.Duration) *FollowRequest {
	return &FollowRequest{After: after.Revision, Epoch: after.Epoch, Wait: wait}
}

// FollowAnswer holds changes, or all contents if the changes are no longer known.
type FollowAnswer struct {
	// Revision is the revision after the changes.
	Revision uint64 `cbor:"1,keyasint"`
	// Reading says that the sender can read the source.
	Reading bool            `cbor:"2,keyasint,omitempty"`
	Changes []ChangeMessage `cbor:"3,keyasint,omitempty"`
	// All holds all contents; nil if Changes are complete.
	All *Snapshot `cbor:"4,keyasint,omitempty"`
	// Epoch is the epoch of Revision.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// HeardAge is how long instances have heard nothing from the source.
	HeardAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// Position returns the position after the changes.
func (a *FollowAnswer) Position() figview.Position {
	return figview.Position{Epoch: a.Epoch, Revision: a.Revision}
}

// Serves says whether the answer is of use to the sender of q: it holds something newer, or is from an instance that can read
// the source and knows of no earlier epoch than the sender.
func (a *FollowAnswer) Serves(q *FollowRequest) bool {
	return q.position().Before(a.Position()) || a.Reading && a.Epoch >= q.Epoch
}

// ChangeMessage is the wire form of a Change without its decode error.
type ChangeMessage struct {
	Declarations       *figroute.Declarations `cbor:"1,keyasint,omitempty"`
	Server             *SnapshotServer        `cbor:"2,keyasint,omitempty"`
	ServerRemoved      string                 `cbor:"3,keyasint,omitempty"`
	DrainedDataCentre  string                 `cbor:"4,keyasint,omitempty"`
	RestoredDataCentre string                 `cbor:"5,keyasint,omitempty"`
}

// record adds changes to the log, and drops the oldest ones beyond its limits. c.mu must be held.
func (c *Catalogue) record(from, to figview.Position, changes []Change) {
	e := logEntry{from: from, to: to, changes: changes}
	for i := range changes {
		e.bytes += changeBytes
		if d := changes[i].Declarations; d != nil {
			e.bytes += d.Bytes()
		}
	}
	c.log = append(c.log, e)
	c.logBytes += e.bytes
	dropped := 0
	for len(c.log)-dropped > maxLog || c.logBytes > cmp.Or(c.opts.LogBytes, defaultLogBytes) {
		c.logBytes -= c.log[dropped].bytes
		dropped++
	}
	// Delete clears the dropped entries, which would otherwise stay in memory with the array.
	c.log = slices.Delete(c.log, 0, dropped)
}

// HandleFollow answers a follower as soon as this instance has changes that it lacks, can't read the
// source, or the wait is over. It answers at once a follower that knows a later epoch.
func (c *Catalogue) HandleFollow(ctx context.Context, q *FollowRequest) (*FollowAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, min(max(q.Wait, 0), followWait))
	defer cancel()
	for {
		c.mu.Lock()
		news, late, changed := c.isNews(q.position()), c.position.Epoch < q.Epoch, c.changed
		c.mu.Unlock()
		reading := c.unavailableSince.Load() == nil
		if news || late || !reading || ctx.Err() != nil {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return c.changesAfter(q.position()), nil
}

// changesAfter returns the changes after a position.
func (c *Catalogue) changesAfter(after figview.Position) *FollowAnswer {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &FollowAnswer{
		Epoch: c.position.Epoch, Revision: c.position.Revision, Reading: c.unavailableSince.Load() == nil, HeardAge: now.Sub(c.heardAt),
	}
	if after.Epoch == 0 {
		after.Epoch = c.position.Epoch
	}
	if c.table == nil || !c.isNews(after) {
		if after.Before(c.position) {
			a.Epoch, a.Revision = after.Epoch, after.Revision
		}
		return a
	}
	// The log is a chain of changes up to the current position, broken where all contents were replaced.
	first := len(c.log)
	for next := c.position; first > 0 && after.Before(next) && c.log[first-1].to == next; first-- {
		next = c.log[first-1].from
	}
	if first == len(c.log) || after.Before(c.log[first].from) {
		a.All = c.snapshot(now)
		return a
	}
	for _, e := range c.log[first:] {
		for i := range e.changes {
			a.Changes = append(a.Changes, messageOf(&e.changes[i], now))
		}
	}
	return a
}

// messageOf returns the wire form of a change.
func messageOf(c *Change, now time.Time) ChangeMessage {
	m := ChangeMessage{
		Declarations: c.Declarations, ServerRemoved: c.ServerRemoved,
		DrainedDataCentre: c.DrainedDataCentre, RestoredDataCentre: c.RestoredDataCentre,
	}
	if c.Server != nil {
		server := snapshotServer(c.Server, now)
		m.Server = &server
	}
	return m
}

// change returns the change of a received message.
func (m *ChangeMessage) change(now time.Time) Change {
	c := Change{
		Declarations: m.Declarations, ServerRemoved: m.ServerRemoved,
		DrainedDataCentre: m.DrainedDataCentre, RestoredDataCentre: m.RestoredDataCentre,
	}
	if m.Server != nil {
		s := m.Server.server(now)
		c.Server = &s
	}
	return c
}

// applyAnswer applies what another instance has sent.
func (c *Catalogue) applyAnswer(a *FollowAnswer) {
	now := c.opts.Clock.Now()
	if a.All != nil {
		c.Replace(a.All.contents(now))
		return
	}
	changes := make([]Change, 0, len(a.Changes))
	for i := range a.Changes {
		changes = append(changes, a.Changes[i].change(now))
	}
	c.apply(changes, a.Position(), a.HeardAge)
}

// follow asks a reader for changes once. It returns false if this instance is to read the source itself
// instead, because no reader answers or the reader can't read the source.
func (c *Catalogue) follow(ctx context.Context, t *figtimer.Timer) bool {
	now := c.opts.Clock.Now()
	if c.opts.IsReader() || now.Before(c.reading.directUntil) {
		return false
	}
	waiting, end := c.beginWait(ctx)
	q := newFollowRequest(c.Position(), c.maxWait(followWait))
	limited, cancel := context.WithTimeout(waiting, followWait+followMargin)
	a, err := c.opts.Follow(limited, q)
	ended := waiting.Err() != nil
	cancel()
	end()
	if ended {
		return true
	}
	if err == nil && a.Serves(q) {
		c.applyAnswer(a)
		if a.Reading {
			c.recordResult(nil)
			return true
		}
	}
	if now = c.opts.Clock.Now(); now.Sub(c.reading.directFailedAt) >= directRetry {
		klog.InfoS("reading the source directly", "reason", "no reader can read it", "err", err)
		c.reading.directUntil = now.Add(directTime)
		c.mu.Lock()
		c.reading.position, c.reading.complete = c.position, c.table != nil
		c.mu.Unlock()
		return false
	}
	return t.Sleep(ctx, followRetry) == nil || ctx.Err() != nil
}

// directFailed ends the direct reading of a follower whose own call to the source failed too.
func (c *Catalogue) directFailed() {
	if c.opts.IsReader() {
		return
	}
	c.reading.directFailedAt = c.opts.Clock.Now()
	c.reading.directUntil = time.Time{}
}

// NotePosition records the position that another instance has. If this instance stays behind it, RunCatchUp
// fetches the changes from there.
func (c *Catalogue) NotePosition(from figview.Member, position figview.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.position.Before(position) || c.ahead != nil && c.position.Before(c.ahead.position) && c.ahead.position.Epoch >= position.Epoch {
		return
	}
	c.ahead = &ahead{from, position}
	select {
	case c.behind <- struct{}{}:
	default:
	}
}

// ahead is an instance that has a newer position than this one.
type ahead struct {
	from     figview.Member
	position figview.Position
}

// RunCatchUp fetches changes from instances that have a newer position for behindLimit, until ctx ends. It
// returns nil.
func (c *Catalogue) RunCatchUp(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.behind:
		}
		if !c.isBehindEpoch() && t.Sleep(ctx, behindLimit) != nil {
			return nil
		}
		c.catchUp(ctx)
	}
}

// isBehindEpoch says whether another instance has contents of a later epoch. The reader that this one follows may not know
// of it.
func (c *Catalogue) isBehindEpoch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ahead != nil && c.position.Epoch < c.ahead.position.Epoch
}

func (c *Catalogue) catchUp(ctx context.Context) {
	c.mu.Lock()
	from, after := c.ahead, c.position
	c.ahead = nil
	c.mu.Unlock()
	if from == nil || !after.Before(from.position) {
		return
	}
	limited, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	a, err := c.opts.FetchFrom(limited, from.from, newFollowRequest(after, 0))
	if err != nil {
		klog.InfoS("failed to fetch changes from another instance", "instance", from.from.Name, "err", err)
		return
	}
	klog.InfoS("changes fetched from another instance", "instance", from.from.Name, "epoch", a.Epoch, "revision", a.Revision,
		"epochBefore", after.Epoch, "before", after.Revision)
	c.applyAnswer(a)
}
