// Package figmember tells an instance how far it can rely on the list of
// instances that it holds: whether the list can be outdated, and whether the
// others are known to hold it too. Budgets and ownership rest on these two.
//
// Instances exchange beats: each asks a few others how they are, and both sides
// pass on what they know of the rest. The published list alone says who is a
// member; beats add what was seen of them.
//
// # Usage
//
//	m := figmember.New(figmember.Options{Self: self, View: store.View, Confirmed: store.Confirmed, Ask: ask})
//	figpeer.Handle(handlers, "beat", m.Answer)
//	go m.Run(ctx, timer)
//	if m.Fresh() {
//		since, ok := m.AllAcked(version)
//	}
//
// Fresh compares monotonic times at the moment of the call: a process that was
// paused is not fresh when it wakes up until it hears anew.
package figmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// DefaultFreshness is how old a confirmation of the list may be.
const DefaultFreshness = 2 * time.Second

// Options holds the settings and seams of a Membership.
type Options struct {
	// Self is this instance.
	Self figview.Member
	// Incarnation tells this process from its predecessors; it must be higher than
	// theirs. The start time in milliseconds will do.
	Incarnation uint64
	// Freshness is how old a confirmation may be; DefaultFreshness by default.
	Freshness time.Duration
	// Clock is the source of time; the system's by default.
	Clock figtimer.Clock
	// Random returns a number from 0 up to 1; the system's by default.
	Random func() float64
	// View returns the list of instances in force.
	View func() *figview.View
	// Confirmed returns when the service last said to this instance that the list
	// in force is the latest; zero for never.
	Confirmed func() time.Time
	// Digest returns what stands for the published values; nil for nothing.
	Digest func() (highest, digest uint64)
	// Heard is told of each beat of a listed member, on the goroutine that got it;
	// nil for nobody.
	Heard func(m figview.Member, b *Beat)
	// Ask sends a beat to a peer.
	Ask func(ctx context.Context, m figview.Member, b *Beat) (*Beat, error)
}

// Membership exchanges beats and answers for the list. It is safe for concurrent use.
type Membership struct {
	opts Options

	mu       sync.Mutex
	state    *state
	draining bool
	counts   Counts
	acked    ackedCache
	// loggedFresh is what was last logged of Fresh.
	loggedFresh bool
}

// Counts counts what a Membership did since its start.
type Counts struct {
	// Beats counts beats sent, Unanswered those without an answer.
	Beats      uint64 `json:"beats"`
	Unanswered uint64 `json:"unanswered"`
	// Answered counts beats of others.
	Answered uint64 `json:"answered"`
}

// ackedCache keeps the latest result of AllAcked.
type ackedCache struct {
	view     *figview.View
	version  uint64
	sequence uint64
	since    time.Time
	ok       bool
}

// New returns a membership that has heard of nobody.
func New(o Options) *Membership {
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Freshness == 0 {
		o.Freshness = DefaultFreshness
	}
	if o.Digest == nil {
		o.Digest = func() (uint64, uint64) { return 0, 0 }
	}
	if o.Heard == nil {
		o.Heard = func(figview.Member, *Beat) {}
	}
	return &Membership{opts: o, state: newState(o.Self.Name, o.Incarnation, o.Freshness)}
}

// Fresh says that the list in force was the service's latest one not longer ago
// than the freshness bound: the service said so to this instance or to a peer, or
// a strict majority of the listed members is heard at exactly this version. It is
// false as soon as a newer version is known to exist.
func (m *Membership) Fresh() bool {
	confirmed := m.opts.Confirmed()
	// Read after the confirmation, the list is at least as new as the one confirmed.
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.recordOwnConfirmation(confirmed, v.Version)
	return m.state.fresh(v, now)
}

// AllAcked says whether every other listed member has told, itself or through
// others, that its process holds a list at least as new as version, and since
// when all of them are known to. It is false for a version not yet in force here.
func (m *Membership) AllAcked(version uint64) (since time.Time, ok bool) {
	v := m.opts.View()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := &m.acked
	if c.view != v || c.version != version || c.sequence != m.state.sequence {
		since, ok := m.state.allAcked(v, version)
		*c = ackedCache{v, version, m.state.sequence, since, ok}
	}
	return c.since, c.ok
}

// Elsewhere returns when the configuration service last answered another
// instance, as far as beats have told; zero for never.
func (m *Membership) Elsewhere() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.confirmedElsewhere
}

// Incarnation returns the number of this process. It can grow when a beat shows
// that a predecessor had a higher one.
func (m *Membership) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.incarnation
}

// SetDraining says in beats whether this instance takes no more work.
func (m *Membership) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = draining
}

// Answer answers a peer's beat.
func (m *Membership) Answer(_ context.Context, b *Beat) (*Beat, error) {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	m.counts.Answered++
	m.state.receive(b, now)
	m.state.pruneUnlisted(v)
	m.mu.Unlock()
	m.notifyObserver(v, b)
	return m.newBeat(b.From), nil
}

// notifyObserver hands a beat on if its sender is listed.
func (m *Membership) notifyObserver(v *figview.View, b *Beat) {
	if from, ok := v.Find(b.From); ok {
		m.opts.Heard(from, b)
	}
}

// newBeat returns the message to a peer as of now.
func (m *Membership) newBeat(name string) *Beat {
	confirmed := m.opts.Confirmed()
	v := m.opts.View()
	highest, digest := m.opts.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	m.state.recordOwnConfirmation(confirmed, v.Version)
	m.state.recordOwnVersion(v.Version, now)
	b := m.state.beat(name, v.Version, now)
	b.Highest, b.Digest, b.Draining = highest, digest, m.draining
	return b
}
