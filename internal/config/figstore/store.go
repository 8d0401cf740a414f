// Package figstore keeps the configuration in force in an instance: the tree of
// declarations and the two published lists. A few instances read the
// configuration service; the others learn changes from their peers.
//
// The highest version of each path wins for good, whoever brings it: a stale
// replica, a stale peer or a service that restarts with older values can't turn
// anything back. A value that doesn't parse is refused alone and its last good
// version stays in force.
//
// # Usage
//
//	s := figstore.New(figstore.Options{Self: "a", Platform: figplatform.HTTP(address), Ask: ask})
//	figpeer.Handle(handlers, "config", s.Answer)
//	go s.Run(ctx, timer)
//	for range s.Subscribe() {
//		apply(s.Tree(), s.View(), s.Servers())
//	}
//
// Tree, View and Servers never return nil and cost one atomic load. They are
// empty until the first values arrive; Ready says when an instance may serve.
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

// pullsQueued bounds the peers that wait to be asked; a full ring forgets the
// oldest, which the periodic pull makes up for.
const maxQueuedPulls = 16

// Options holds the settings and seams of a Store.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Clock is the source of time; the system's by default.
	Clock figtimer.Clock
	// Random returns a number from 0 up to 1; the system's by default.
	Random func() float64
	// Platform reads the configuration service.
	Platform figplatform.Platform
	// Seeds holds instances to ask while no list of instances is known.
	Seeds []figview.Member
	// Elsewhere returns when the service last answered another instance, as the
	// beats tell; nil leaves it to the slower word of peers that are asked for changes.
	Elsewhere func() time.Time
	// Ask sends a request to a peer.
	Ask func(ctx context.Context, m figview.Member, q *Request) (*Reply, error)
}

// Store keeps the configuration in force. It is safe for concurrent use.
type Store struct {
	opts          Options
	started       time.Time
	takeoverDelay time.Duration

	tree    atomic.Pointer[figtree.Tree]
	view    atomic.Pointer[figview.View]
	servers atomic.Pointer[figview.Servers]
	ready   atomic.Bool
	// confirmed is when the service last said that the list of instances in force
	// is its latest one.
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
	// synced says that a peer that serves has given all that it has.
	synced      bool
	lastBuckets time.Time
	counts      Counts
}

// Counts counts what a store did since its start.
type Counts struct {
	// Reads counts calls to the service, ReadFailures those without an answer.
	Reads        uint64 `json:"reads"`
	ReadFailures uint64 `json:"readFailures"`
	// Pulls counts requests to peers, PullFailures those without an answer.
	Pulls        uint64 `json:"pulls"`
	PullFailures uint64 `json:"pullFailures"`
	// Ignored counts values and lists that were older than what was known.
	Ignored uint64 `json:"ignored"`
	// Applied counts values taken in.
	Applied uint64 `json:"applied"`
}

// New returns a store that knows nothing yet.
func New(o Options) *Store {
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Elsewhere == nil {
		o.Elsewhere = func() time.Time { return time.Time{} }
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

// Tree returns the tree in force.
func (s *Store) Tree() *figtree.Tree { return s.tree.Load() }

// View returns the list of instances in force.
func (s *Store) View() *figview.View { return s.view.Load() }

// Servers returns the list of backend servers in force.
func (s *Store) Servers() *figview.Servers { return s.servers.Load() }

// Ready says that the configuration is complete and that peers were asked. Once
// true, it stays true.
func (s *Store) Ready() bool { return s.ready.Load() }

// Subscribe returns a channel that receives when anything in force has changed.
// A slow subscriber gets one notice for several changes.
func (s *Store) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}

// Run does all duties of the store until ctx ends.
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

// publish brings what has changed into force and tells subscribers and peers.
// The caller holds the lock.
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
