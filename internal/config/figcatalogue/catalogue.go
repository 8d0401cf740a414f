package figcatalogue

import (
	"cmp"
	"context"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// RemovedServerGrace is how long a live server that was removed from the list may still get work if no usable
// server is left. Servers that shut down keep serving for 2 s after their removal; a quarter of that is left for
// the delay until this instance learns of the removal.
const RemovedServerGrace = 1500 * time.Millisecond

// Options holds the dependencies of a Catalogue. All fields are required.
type Options struct {
	Source Source
	Clock  figtimer.Clock
	// LogBytes bounds the changes that are kept for followers; 0 means 8 MiB.
	LogBytes int64
	// QueryPeer requests the contents of another instance, whose name it returns, while calls to the source fail.
	QueryPeer func(ctx context.Context, q *SnapshotRequest) (s *Snapshot, from string, err error)
	// IsReader says that this instance reads the source itself. The others follow a reader: Follow asks
	// one of them for changes, and FetchFrom a certain instance.
	IsReader  func() bool
	Follow    func(ctx context.Context, q *FollowRequest) (*FollowAnswer, error)
	FetchFrom func(ctx context.Context, from figview.Member, q *FollowRequest) (*FollowAnswer, error)
}

// Catalogue follows a source. It is safe for concurrent use.
type Catalogue struct {
	// Calls counts calls to the source, Failures those that failed.
	Calls, Failures atomic.Uint64

	opts Options
	view atomic.Pointer[View]
	// unavailableSince is when the first of the latest failed calls ended; nil if the latest call succeeded.
	unavailableSince atomic.Pointer[time.Time]

	mu      sync.Mutex
	table   *figroute.Table
	servers map[string]Server
	drained map[string]bool
	// tableEpoch is the latest epoch in which the source had the active declarations.
	tableEpoch uint64
	// position is the source's position of the active contents, which may come from another instance.
	position figview.Position
	// epochBegan is the earliest time known at which an instance had contents of the position's epoch.
	epochBegan time.Time
	// heardAt is when an instance has last heard from the source what this one knows.
	heardAt time.Time
	kept    restoration
	// endWait ends the call that waits for changes; nil if none does.
	endWait context.CancelFunc
	// log holds the latest changes for followers, of logBytes, and changed is closed at the next one.
	log      []logEntry
	logBytes int64
	changed  chan struct{}
	// ahead is an instance with a newer position; behind tells RunCatchUp of it.
	ahead   *ahead
	behind  chan struct{}
	reading readState
}

// New returns an empty catalogue. Call Run to fill it.
func New(o Options) *Catalogue {
	c := &Catalogue{
		opts: o, servers: map[string]Server{}, drained: map[string]bool{}, kept: newRestoration(),
		changed: make(chan struct{}), behind: make(chan struct{}, 1),
	}
	c.view.Store(&View{})
	return c
}

// Position returns the source's position of the active contents.
func (c *Catalogue) Position() figview.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// View returns the current view. It is never nil.
func (c *Catalogue) View() *View { return c.view.Load() }

// Ready says whether requests can be served: there are declarations and at least one server.
func (c *Catalogue) Ready() bool {
	v := c.View()
	return v.Table != nil && len(v.Servers) > 0
}

// UnavailableFor returns how long calls to the source have failed; 0 if the latest one succeeded.
func (c *Catalogue) UnavailableFor(now time.Time) time.Duration {
	since := c.unavailableSince.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// Replace applies all contents of the source. Servers that are missing from them are marked as removed. Contents
// that are older than the active ones, which may have come from another instance meanwhile, are ignored. Contents of a
// new epoch are those of a source that was restored from an older copy: what they lack stays in use for restoredGrace.
// Replace may change n.
func (c *Catalogue) Replace(n *Contents) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Before(c.position) {
		klog.InfoS("contents ignored", "epoch", n.Epoch, "revision", n.Revision,
			"epochInForce", c.position.Epoch, "revisionInForce", c.position.Revision, "reason", "older")
		c.publish(now)
		return
	}
	c.hear(now.Add(-n.HeardAge))
	restored := c.position.Epoch != 0 && c.position.Epoch < n.Epoch
	if restored {
		klog.InfoS("source restored from an older copy", "epoch", n.Epoch, "revision", n.Revision,
			"epochBefore", c.position.Epoch, "revisionBefore", c.position.Revision)
		c.kept.keepAllLeaving(c.servers)
	}
	if began := now.Add(-n.EpochAge); c.position.Epoch != n.Epoch || began.Before(c.epochBegan) {
		c.epochBegan = began
	}
	c.setDeclarations(n.Declarations, cmp.Or(n.DeclarationsEpoch, n.Epoch))
	c.replaceServers(n, restored, now)
	c.replaceDrained(n, restored)
	logDecodeErrors(n.DecodeErrors)
	c.position = n.Position
	if restored && c.endWait != nil {
		c.endWait()
	}
	c.publish(now)
}

// replaceServers applies the servers of n. restored says that they are the first contents of a restored source.
func (c *Catalogue) replaceServers(n *Contents, restored bool, now time.Time) {
	c.kept.learn(n.Departed, now)
	listed := make(map[string]bool, len(n.Servers))
	for i := range n.Servers {
		s := &n.Servers[i]
		outdated := c.isOutdated(s)
		listed[s.Name] = !outdated || !restored
		if outdated {
			continue
		}
		c.kept.listed(s, n.Epoch, now)
		if left, doubted := n.Doubted[s.Name]; doubted {
			c.kept.listedDoubted(s, n.Epoch, now.Add(left), now)
		}
		if slices.Contains(n.KeptLeaving, s.Name) {
			c.kept.leaving[s.Lifetime()] = true
		}
		c.kept.keepLeaving(c.servers, s)
		c.keepColdStart(s)
		c.setServer(*s)
	}
	for name, s := range c.servers {
		switch _, kept := c.kept.servers[name]; {
		case listed[name]:
		case c.kept.hasDeparted(&s):
			delete(c.kept.servers, name)
			c.markServerRemoved(name, c.kept.departed[name].at)
		case restored && s.RemovedAt.IsZero():
			c.kept.servers[name] = c.epochBegan.Add(restoredGrace)
			klog.InfoS("restored source lacks a server; keeping it", "server", name, "until", c.epochBegan.Add(restoredGrace))
		case !kept:
			c.markServerRemoved(name, now)
		}
	}
}

// replaceDrained applies the drained data centres of n. restored says that they are the first contents of a restored source.
func (c *Catalogue) replaceDrained(n *Contents, restored bool) {
	until := c.epochBegan.Add(restoredGrace)
	for name := range c.drained {
		switch _, kept := c.kept.dataCentres[name]; {
		case slices.Contains(n.DrainedDataCentres, name):
		case restored:
			c.kept.dataCentres[name] = until
			klog.InfoS("restored source lacks a drained data centre; keeping it", "dataCentre", name, "until", until)
		case !kept:
			c.setDrained(name, false)
		}
	}
	for _, name := range n.DrainedDataCentres {
		c.setDrained(name, true)
	}
	for _, name := range n.KeptDataCentres {
		if !slices.Contains(n.DrainedDataCentres, name) {
			c.setDrained(name, true)
			c.kept.dataCentres[name] = until
		}
	}
}

// Apply applies changes in order. position is the source's position after them. Changes up to a position before
// the active one, which came from another instance meanwhile, are ignored, as are those of a new epoch: they lack what the
// source lost.
func (c *Catalogue) Apply(changes []Change, position figview.Position) {
	c.apply(changes, position, 0)
}

// apply is like Apply, with the time for which other instances have heard nothing from the source.
func (c *Catalogue) apply(changes []Change, position figview.Position, heardAge time.Duration) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Before(c.position) || c.position.Epoch != 0 && position.Epoch != c.position.Epoch {
		c.publish(now)
		return
	}
	c.hear(now.Add(-heardAge))
	for _, change := range changes {
		if change.DecodeError != nil {
			logDecodeErrors([]error{change.DecodeError})
		}
		switch {
		case change.Declarations != nil:
			c.setDeclarations(change.Declarations, position.Epoch)
		case change.Server != nil:
			if !c.isOutdated(change.Server) {
				c.kept.written(change.Server)
				c.setServer(*change.Server)
			}
		case change.ServerRemoved != "":
			delete(c.kept.servers, change.ServerRemoved)
			c.markServerRemoved(change.ServerRemoved, now)
		case change.DrainedDataCentre != "":
			c.setDrained(change.DrainedDataCentre, true)
		case change.RestoredDataCentre != "":
			c.setDrained(change.RestoredDataCentre, false)
		}
	}
	if c.position.Before(position) {
		c.record(c.position, position, changes)
		if c.position.Epoch != position.Epoch {
			c.epochBegan = now
		}
		c.position = position
	}
	c.publish(now)
}

// hear records that an instance heard from the source at a time.
func (c *Catalogue) hear(at time.Time) {
	if c.heardAt.Before(at) {
		c.heardAt = at
	}
}

// setDeclarations activates d if its version is higher than the active one, or the same with other contents in a later
// epoch. Otherwise it keeps the active ones and logs a lower version.
func (c *Catalogue) setDeclarations(d *figroute.Declarations, epoch uint64) {
	if d == nil {
		return
	}
	same := c.table != nil && d.Version == c.table.Version
	changed := same && epoch > c.tableEpoch && !reflect.DeepEqual(d, &c.table.Declarations)
	if same {
		c.tableEpoch = max(c.tableEpoch, epoch)
	}
	if c.table != nil && d.Version <= c.table.Version && !changed {
		if d.Version < c.table.Version {
			klog.InfoS("declarations rejected", "version", d.Version, "inForce", c.table.Version,
				"epoch", epoch, "reason", "older")
		}
		return
	}
	before := uint64(0)
	if c.table != nil {
		before = c.table.Version
	}
	c.table, c.tableEpoch = figroute.NewTable(d), epoch
	klog.InfoS("declarations activated", "version", d.Version, "before", before, "epoch", epoch,
		"routes", len(d.Routes), "pools", len(d.Pools), "accounts", len(d.Accounts), "keysRequired", c.table.KeysRequired)
}

// isOutdated says whether s is an entry of an earlier process than the one known.
func (c *Catalogue) isOutdated(s *Server) bool {
	known, ok := c.servers[s.Name]
	if !ok || !s.StartedAt.Before(known.StartedAt) {
		return false
	}
	klog.InfoS("server entry rejected", "server", s.Name,
		"startedAt", s.StartedAt, "known", known.StartedAt, "reason", "older process")
	return true
}

// keepColdStart extends the cold start of s, which was read from the source, to the known one of its process. The entry may be
// from before the cold start.
func (c *Catalogue) keepColdStart(s *Server) {
	known, ok := c.servers[s.Name]
	if ok && known.Lifetime() == s.Lifetime() && s.ColdStartEnd.Before(known.ColdStartEnd) {
		s.ColdStartEnd = known.ColdStartEnd
	}
}

// setServer adds or replaces a server. A process that was leaving and removed stays leaving.
func (c *Catalogue) setServer(s Server) {
	old, known := c.servers[s.Name]
	if s.State == figview.Live && c.kept.hasLeft(&s) {
		s.State = figview.Leaving
	}
	c.servers[s.Name] = s
	if known && old.Lifetime() == s.Lifetime() && old.State == s.State && old.Role == s.Role &&
		old.RemovedAt.IsZero() && old.ColdStartEnd.IsZero() == s.ColdStartEnd.IsZero() {
		return
	}
	klog.InfoS("server listed", "server", s.Name, "pool", s.Pool, "address", s.Address, "dataCentre", s.DataCentre,
		"role", s.Role.String(), "state", s.State.String(), "startedAt", s.StartedAt,
		"coldUntil", s.ColdStartEnd, "known", known)
}

// markServerRemoved records that a server is no longer listed; publish deletes it after RemovedServerGrace. A doubted one is
// deleted at once, as its grace ended before the restoration.
func (c *Catalogue) markServerRemoved(name string, now time.Time) {
	s, ok := c.servers[name]
	if !ok || !s.RemovedAt.IsZero() {
		return
	}
	s.RemovedAt = now
	c.servers[name] = s
	c.kept.recordDeparture(&s, c.position.Epoch, now)
	if c.kept.isDoubted(name) {
		delete(c.kept.doubted, name)
		delete(c.servers, name)
	}
	klog.InfoS("server removed from the list", "server", name, "pool", s.Pool, "state", s.State.String())
}

func (c *Catalogue) setDrained(name string, drained bool) {
	delete(c.kept.dataCentres, name)
	if c.drained[name] == drained {
		return
	}
	if drained {
		c.drained[name] = true
	} else {
		delete(c.drained, name)
	}
	klog.InfoS("data centre drained or restored", "dataCentre", name, "out", drained)
}

// publish stores a new view. It drops the servers that were removed longer than RemovedServerGrace ago.
func (c *Catalogue) publish(now time.Time) {
	c.expireKept()
	v := &View{
		Table: c.table, Servers: map[string][]Server{}, DrainedDataCentres: make(map[string]bool, len(c.drained)),
		UpdatedAt: now, Position: c.position,
	}
	for name := range c.drained {
		v.DrainedDataCentres[name] = true
	}
	for name, s := range c.servers {
		if !s.RemovedAt.IsZero() && now.Sub(s.RemovedAt) > RemovedServerGrace {
			delete(c.servers, name)
			continue
		}
		if c.kept.isDoubted(name) {
			s.State = figview.Leaving
		}
		v.Servers[s.Pool] = append(v.Servers[s.Pool], s)
	}
	c.view.Store(v)
	close(c.changed)
	c.changed = make(chan struct{})
}

func logDecodeErrors(all []error) {
	for _, err := range all {
		klog.InfoS("entry can't be decoded; skipping it", "err", err)
	}
}
