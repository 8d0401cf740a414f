// Package figmember detects whether an instance's copy of the list of instances may be outdated,
// and whether every other listed instance holds the same version or a newer one. Budgets and
// ownership depend on both answers.
//
// Instances exchange heartbeats by gossip: each sends them to a few peers, and both sides pass on
// which list versions the other instances hold. Only the published list decides which instances
// are members; heartbeats report the state of those members.
//
// # Usage
//
//	m := figmember.New(figmember.Options{
//		Self: self, View: store.View, Confirmed: store.Confirmed, SendHeartbeat: send,
//	})
//	figpeer.Handle(handlers, "beat", m.HandleHeartbeat)
//	go m.Run(ctx, timer)
//	if m.Fresh() {
//		since, ok := m.AllAcked(version)
//	}
//
// Fresh compares monotonic times at the moment of the call, so a process that was paused is not
// fresh after it resumes until it receives a new confirmation.
package figmember

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// DefaultFreshness is the default maximum age of a confirmation that the list is the latest.
const DefaultFreshness = 2 * time.Second

// Options holds the settings and dependencies of a Membership. Self, Incarnation, View, Confirmed
// and SendHeartbeat are required.
type Options struct {
	// Self describes this instance.
	Self figview.Member
	// Incarnation distinguishes this process from earlier processes of the same instance and must be
	// higher than theirs, for example the start time in milliseconds.
	Incarnation uint64
	// Freshness is the maximum age of a confirmation; zero means DefaultFreshness.
	Freshness time.Duration
	// Clock is the source of time; the system clock by default.
	Clock figtimer.Clock
	// Random returns a number in [0, 1); math/rand/v2 by default.
	Random func() float64
	// View returns the list of instances that this instance currently uses.
	View func() *figview.View
	// Confirmed returns when the configuration service last told this instance that the list in use is
	// the latest; zero means never.
	Confirmed func() time.Time
	// Digest returns the highest revision and a digest of the published values, which heartbeats
	// carry; nil sends zeros.
	Digest func() (highest, digest uint64)
	// OnHeartbeat is called with each heartbeat of a listed member, on the goroutine that received it;
	// nil ignores them.
	OnHeartbeat func(m figview.Member, b *Heartbeat)
	// SendHeartbeat sends a heartbeat to a peer and returns its answer.
	SendHeartbeat func(ctx context.Context, m figview.Member, b *Heartbeat) (*Heartbeat, error)
}

// Membership exchanges heartbeats and reports how reliable the list of instances is. It is safe
// for concurrent use.
type Membership struct {
	opts Options

	mu       sync.Mutex
	state    *state
	draining bool
	counts   Counts
	acked    ackedCache
	// loggedFresh is the last value of Fresh that was logged.
	loggedFresh bool
}

// Counts holds the counters of a Membership since its start.
type Counts struct {
	// Heartbeats counts heartbeats sent, Unanswered those that got no valid answer.
	Heartbeats uint64 `json:"beats"`
	Unanswered uint64 `json:"unanswered"`
	// Answered counts the heartbeats of other instances that this one answered.
	Answered uint64 `json:"answered"`
}

// ackedCache caches the latest result of AllAcked for its list, version and acknowledgements.
type ackedCache struct {
	view     *figview.View
	version  uint64
	sequence uint64
	since    time.Time
	ok       bool
}

// New returns a membership that has not received any heartbeat.
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
	if o.OnHeartbeat == nil {
		o.OnHeartbeat = func(figview.Member, *Heartbeat) {}
	}
	return &Membership{opts: o, state: newState(o.Self.Name, o.Incarnation, o.Freshness)}
}

// Fresh reports whether the list in use was the configuration service's latest one at most
// Options.Freshness ago: the service confirmed it to this instance or to a peer, or a strict
// majority of the listed members, this instance included, has recently answered with exactly this
// version. It returns false as soon as a newer version is known to exist.
func (m *Membership) Fresh() bool {
	confirmed := m.opts.Confirmed()
	// Since the list is read after the confirmation, it is at least as new as the confirmed one.
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.recordOwnConfirmation(confirmed, v.Version)
	return m.state.fresh(v, now)
}

// AllAcked reports whether every other listed member is known, directly or through other
// instances, to hold a list at least as new as version, and since when this instance has known
// that of all of them. It returns false for a version that this instance does not hold yet.
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

// ConfirmedElsewhere returns the latest time at which the configuration service is known, from
// heartbeats, to have answered another instance; zero means never.
func (m *Membership) ConfirmedElsewhere() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.confirmedElsewhere
}

// Incarnation returns the incarnation of this process. It grows when a heartbeat shows that an
// earlier process of this instance had a higher one.
func (m *Membership) Incarnation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.incarnation
}

// SetDraining sets whether heartbeats announce that this instance takes no more work.
func (m *Membership) SetDraining(draining bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.draining = draining
}

// HandleHeartbeat records a peer's heartbeat and returns this instance's own as the answer.
func (m *Membership) HandleHeartbeat(_ context.Context, b *Heartbeat) (*Heartbeat, error) {
	v := m.opts.View()
	now := m.opts.Clock.Now()
	m.mu.Lock()
	m.counts.Answered++
	m.state.receive(b, now)
	m.state.pruneUnlisted(v)
	m.mu.Unlock()
	m.notifyObserver(v, b)
	return m.newHeartbeat(b.From), nil
}

// notifyObserver passes a heartbeat to Options.OnHeartbeat if its sender is listed.
func (m *Membership) notifyObserver(v *figview.View, b *Heartbeat) {
	if from, ok := v.Find(b.From); ok {
		m.opts.OnHeartbeat(from, b)
	}
}

// newHeartbeat returns a heartbeat for a peer with the current state of this instance.
func (m *Membership) newHeartbeat(name string) *Heartbeat {
	confirmed := m.opts.Confirmed()
	v := m.opts.View()
	highest, digest := m.opts.Digest()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.opts.Clock.Now()
	m.state.recordOwnConfirmation(confirmed, v.Version)
	m.state.recordOwnVersion(v.Version, now)
	b := m.state.heartbeat(name, v.Version, now)
	b.Highest, b.Digest, b.Draining = highest, digest, m.draining
	return b
}
