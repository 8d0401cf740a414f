// Package figstore holds an instance's active configuration: the tree of
// declarations and the lists of instances and backend servers. A few instances,
// the readers, read the configuration service. All instances exchange changes
// with their peers by notifications and pulls.
//
// Of each path the highest version is kept, whether it came from the service or a
// peer, so a stale replica, a stale peer or a service that restarts with older
// values can't revert anything. A value that doesn't parse is rejected without
// effect on other paths, and the last valid version of its path stays active.
//
// # Usage
//
//	s := figstore.New(figstore.Options{Self: "a", Platform: figplatform.HTTP(address), SendRequest: send})
//	figpeer.Handle(handlers, "config", s.Answer)
//	go s.Run(ctx, timer)
//	for range s.Subscribe() {
//		apply(s.Tree(), s.View(), s.Servers())
//	}
//
// Tree, View and Servers never return nil and cost one atomic load. They are
// empty until the first data arrives; Ready says when the instance may serve.
package figstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figring"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// maxQueuedPulls bounds the queue of peers to pull from. When it is full the oldest entry is dropped; periodic
// pulls fetch the missed data.
const maxQueuedPulls = 16

// Options holds the settings and dependencies of a Store.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Clock is the source of time; the zero value uses the system clock.
	Clock figtimer.Clock
	// Random returns a number in [0, 1); nil uses math/rand/v2. It must be safe for concurrent use.
	Random func() float64
	// Platform reads the configuration service.
	Platform figplatform.Platform
	// Seeds holds the instances to pull from while no list of instances is known.
	Seeds []figview.Member
	// PeerAnsweredAt returns when the service last answered another instance, according to heartbeats. If nil,
	// the store learns of such answers only from the replies to its pulls, which arrive later.
	PeerAnsweredAt func() time.Time
	// SendRequest sends a request to a peer and returns its reply.
	SendRequest func(ctx context.Context, m figview.Member, q *Request) (*Reply, error)
}

// Store keeps the active configuration of an instance. It is safe for concurrent use.
type Store struct {
	opts          Options
	started       time.Time
	takeoverDelay time.Duration

	tree    atomic.Pointer[figtree.Tree]
	view    atomic.Pointer[figview.View]
	servers atomic.Pointer[figview.Servers]
	ready   atomic.Bool
	// confirmed is the start time of the last read that confirmed the active list of instances.
	confirmed atomic.Pointer[time.Time]

	pulls   *figring.Ring[figview.Member]
	changes *figring.Ring[struct{}]

	mu          sync.Mutex
	table       *table
	instances   list[figview.Member]
	serverList  list[figview.Server]
	source      source
	role        role
	logged      logState
	subscribers []chan struct{}
	// synced says that a ready peer has sent all its values.
	synced bool
	// lastComparison is when the last bucket comparison started.
	lastComparison time.Time
	counts         Counts
}

// Counts holds counters since the store's start.
type Counts struct {
	// Reads counts reads of the service, ReadFailures those that failed.
	Reads        uint64 `json:"reads"`
	ReadFailures uint64 `json:"readFailures"`
	// Pulls counts requests to peers, PullFailures those that failed.
	Pulls        uint64 `json:"pulls"`
	PullFailures uint64 `json:"pullFailures"`
	// Ignored counts received values that were not newer than those held.
	Ignored uint64 `json:"ignored"`
	// Applied counts received values that changed the store.
	Applied uint64 `json:"applied"`
}

// New returns a store without data. Call Run to fill it.
func New(o Options) *Store {
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.PeerAnsweredAt == nil {
		o.PeerAnsweredAt = func() time.Time { return time.Time{} }
	}
	s := &Store{
		opts:    o,
		pulls:   figring.New[figview.Member](maxQueuedPulls, figring.DropOldest),
		changes: figring.New[struct{}](1, figring.DropOldest),
		table:   newTable(),
		started: o.Clock.Now(),
	}
	s.takeoverDelay = minTakeoverDelay + time.Duration(o.Random()*float64(minTakeoverDelay)/2)
	s.tree.Store(s.table.builder.Build())
	s.view.Store(figview.NewView(0, nil))
	s.servers.Store(&figview.Servers{})
	return s
}

// Tree returns the active tree of declarations.
func (s *Store) Tree() *figtree.Tree { return s.tree.Load() }

// View returns the active list of instances.
func (s *Store) View() *figview.View { return s.view.Load() }

// Servers returns the active list of backend servers.
func (s *Store) Servers() *figview.Servers { return s.servers.Load() }

// Ready says that all neighbours have been sent a request and that a ready peer or the service has returned all
// its values. Once true, it stays true.
func (s *Store) Ready() bool { return s.ready.Load() }

// Subscribe returns a channel that receives a signal when the active configuration has changed. Signals to a slow
// subscriber are coalesced.
func (s *Store) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}

// Run reads the service, pulls from peers and notifies them until ctx ends. It returns nil.
func (s *Store) Run(ctx context.Context, t *figtimer.Timer) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { s.readInstances(ctx, t) })
	tasks.Go(func() { s.readValues(ctx, t) })
	tasks.Go(func() { s.readServers(ctx, t) })
	tasks.Go(func() { s.pullPeriodically(ctx, t) })
	tasks.Go(func() { s.pullQueued(ctx) })
	tasks.Go(func() { s.notifyChanges(ctx) })
	tasks.Wait()
	return nil
}

// publish activates changed data and signals the subscribers. The caller holds s.mu.
func (s *Store) publish() {
	tree := s.table.builder.Build()
	changed := s.tree.Swap(tree) != tree
	if changed {
		s.logFaults()
	}
	if v := s.instances.revision; v > s.View().Version {
		s.view.Store(figview.NewView(v, s.instances.present()))
		changed = true
	}
	if v := s.serverList.revision; v > s.Servers().Version {
		s.servers.Store(&figview.Servers{Version: v, All: s.serverList.present()})
		changed = true
	}
	if !changed {
		return
	}
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
