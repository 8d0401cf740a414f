// Package figdiscovery lets instances discover each other where no list of instances is published.
// Each instance is configured with a few seed addresses, any of which may be outdated or down; it
// exchanges heartbeats with the instances that it knows and learns of further ones from them.
// Heartbeats also carry what client accounts have spent and the load that the sender places on
// backend servers.
//
// # Usage
//
//	d := figdiscovery.New(figdiscovery.Options{
//		Self: self, Seeds: seeds, Exchange: exchange, …
//	})
//	go d.Run(ctx, timer)
//	n := d.MaxMembers(now)
//
// There is no consensus: two instances may know different members. MaxMembers therefore returns
// the largest recent number of members, so that limits divided by it are not exceeded when a part
// of the fleet is cut off.
package figdiscovery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// Interval is the time between two heartbeats to a member. It bounds what client accounts can
	// spend at one instance before the other instances know of it; see figlimiter.
	Interval = 400 * time.Millisecond
	// presenceTimeout is the time without a heartbeat after which a member no longer counts as
	// present.
	presenceTimeout = 3 * time.Second
	// recentWindow is the time without a heartbeat after which a member counts as silent: Peers leaves
	// it out, and Isolated counts it as missing.
	recentWindow = 3 * Interval
	// isolationWindow is the maximum time for which an instance that receives heartbeats from fewer
	// than half of the members counts as isolated. Members that are silent for longer are assumed to
	// have died and no longer count.
	isolationWindow = 10 * time.Second
	// startupGrace is how long an instance waits after its start for another instance's heartbeat
	// before it uses only its own part of shared limits: two heartbeats and their answers.
	startupGrace = time.Second
	// removeAfter is the time without a heartbeat after which a member is removed.
	removeAfter = 20 * time.Second
	// maximumWindow is how long the largest number of members stays in use, so that a network outage
	// that is shorter than that does not raise an instance's part of shared limits.
	maximumWindow = 20 * time.Second
	// maxRoundTargets is the maximum number of members that one round of heartbeats goes to, so that
	// the cost of an instance does not grow with the fleet.
	maxRoundTargets = 16
	// maxKnownPerHeartbeat is the maximum number of other members that a heartbeat lists. As each heartbeat
	// lists a random choice, all members are known after a few rounds.
	maxKnownPerHeartbeat = 3
	// exchangeTimeout is the timeout of one call to another instance.
	exchangeTimeout = 800 * time.Millisecond
)

// Member is an instance's description of itself.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Leaving     bool   `cbor:"5,keyasint,omitempty"`
}

// Heartbeat is the request and the answer of an exchange between two instances.
type Heartbeat struct {
	From Member `cbor:"1,keyasint"`
	// Known lists some of the members that the sender has recently exchanged heartbeats with.
	Known []Member `cbor:"2,keyasint"`
	// Spent holds what each client account has spent at the sender, by account.
	Spent map[string]int64 `cbor:"3,keyasint"`
	// Load holds the sender's requests in progress at each backend server, by server lifetime.
	Load map[string]figview.ServerLoad `cbor:"4,keyasint,omitempty"`
}

// LoadUpdate carries the load entries that have changed at the sender since its last update.
type LoadUpdate struct {
	From        string                        `cbor:"1,keyasint"`
	Incarnation uint64                        `cbor:"2,keyasint"`
	Load        map[string]figview.ServerLoad `cbor:"3,keyasint"`
}

// Ack is the empty answer to a LoadUpdate.
type Ack struct{}

// Options holds the settings and dependencies of a Discovery. All fields are required.
type Options struct {
	Self  Member
	Clock figtimer.Clock
	// Seeds returns the seed addresses. Those that are not the address of a known member get
	// heartbeats too.
	Seeds func() []string
	// Exchange sends a heartbeat to another instance and returns its answer.
	Exchange func(ctx context.Context, m figview.Member, q *Heartbeat) (*Heartbeat, error)
	// Spent returns what client accounts have spent at this instance; OnSpent receives what they have
	// spent at another one.
	Spent   func(now time.Time) map[string]int64
	OnSpent func(now time.Time, from string, incarnation uint64, spent map[string]int64)
	// LocalLoad returns this instance's requests in progress at backend servers; OnPeerLoad receives
	// those of another instance. The parameter whole is true if they replace all earlier entries and
	// false if they are only the changed ones.
	LocalLoad  func() map[string]figview.ServerLoad
	OnPeerLoad func(now time.Time, from string, incarnation uint64, load map[string]figview.ServerLoad, whole bool)
	// SendUpdate sends a load update to another instance.
	SendUpdate func(ctx context.Context, m figview.Member, n *LoadUpdate) (*Ack, error)
	// InitialMembers is the number of members to assume after a start, this instance included.
	InitialMembers int
}

// Discovery keeps the set of known members. It is safe for concurrent use.
type Discovery struct {
	// FailedExchanges counts heartbeats and load updates that got no answer.
	FailedExchanges atomic.Uint64

	opts Options

	mu      sync.Mutex
	members map[string]*memberRecord
	leaving bool
	// heardAny is true once a heartbeat of another instance was received.
	heardAny       bool
	startedAt      time.Time
	maxMembers     int
	maxMembersAt   time.Time
	pendingLoads   map[string]figview.ServerLoad
	updatesPending chan struct{}
	updateInFlight map[string]bool
}

// memberRecord is a known member and the time of its last heartbeat.
type memberRecord struct {
	Member

	lastHeard time.Time
	// secondHand is true if the member is only known from other members' heartbeats.
	secondHand bool
	// lost is true once markLost has logged that the member does not answer.
	lost bool
}

// New returns a Discovery that knows no other member.
func New(o Options) *Discovery {
	return &Discovery{
		opts: o, members: map[string]*memberRecord{},
		maxMembers: max(1, o.InitialMembers), maxMembersAt: o.Clock.Now(), startedAt: o.Clock.Now(),
		pendingLoads: map[string]figview.ServerLoad{}, updatesPending: make(chan struct{}, 1), updateInFlight: map[string]bool{},
	}
}

// SetLeaving makes later heartbeats announce that this instance is shutting down.
func (d *Discovery) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
}

// MaxMembers returns the number of instances by which shared limits are divided, including this
// one: the largest recent number of members.
func (d *Discovery) MaxMembers(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.recentMaximum(now)
}

// recentMaximum counts the present members, this instance included, and returns the largest count
// within maximumWindow. d.mu must be held.
func (d *Discovery) recentMaximum(now time.Time) int {
	n := 1
	for _, m := range d.members {
		if now.Sub(m.lastHeard) <= presenceTimeout && !m.Leaving && !m.secondHand {
			n++
		}
	}
	if n >= d.maxMembers || now.Sub(d.maxMembersAt) > maximumWindow {
		d.maxMembers, d.maxMembersAt = n, now
	}
	return d.maxMembers
}

// Peers returns the members that sent a heartbeat within recentWindow, in random order, followed by
// the seeds that are not the address of one of them.
func (d *Discovery) Peers() []figview.Member {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	knownAddresses := map[string]bool{d.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range d.members {
		if now.Sub(m.lastHeard) <= recentWindow {
			knownAddresses[m.Address] = true
			all = append(all, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	shuffle(all)
	for _, address := range d.opts.Seeds() {
		if !knownAddresses[address] {
			all = append(all, figview.Member{Name: address, Address: address})
		}
	}
	return all
}

// Isolated reports whether, of the other members that sent a heartbeat within isolationWindow, fewer
// than half sent one within recentWindow. During isolationWindow after the start, it expects at
// least Options.InitialMembers members, this instance included.
func (d *Discovery) Isolated(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	expected, heard := 0, 0
	if now.Sub(d.startedAt) < isolationWindow {
		expected = d.opts.InitialMembers - 1
	}
	recent := 0
	for _, m := range d.members {
		if m.secondHand || m.Leaving || now.Sub(m.lastHeard) > isolationWindow {
			continue
		}
		recent++
		if now.Sub(m.lastHeard) <= recentWindow {
			heard++
		}
	}
	return heard*2 < max(expected, recent)
}

// LimitShare returns the part of a fleet-wide limit that this instance may use: 1 once it has
// received a heartbeat, because heartbeats carry what the other instances use, and also during
// startupGrace; otherwise 1 divided by the number of members.
func (d *Discovery) LimitShare(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heardAny || now.Sub(d.startedAt) < startupGrace {
		return 1
	}
	return 1 / float64(max(1, d.recentMaximum(now)))
}

// HandleHeartbeat records the heartbeat of another instance and returns this one's.
func (d *Discovery) HandleHeartbeat(_ context.Context, q *Heartbeat) (*Heartbeat, error) {
	d.receive(q)
	return d.newHeartbeat(), nil
}

// Run exchanges heartbeats at once and then every Interval until ctx ends. It returns nil.
func (d *Discovery) Run(ctx context.Context, t *figtimer.Timer) error {
	d.exchangeAll(ctx)
	for range t.Subscribe(ctx, Interval) {
		d.exchangeAll(ctx)
	}
	return nil
}

func (d *Discovery) exchangeAll(ctx context.Context) {
	q := d.newHeartbeat()
	for _, m := range d.roundTargets() {
		go d.exchange(ctx, m, q)
	}
}

func (d *Discovery) exchange(ctx context.Context, m figview.Member, q *Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := d.opts.Exchange(ctx, m, q)
	if err != nil {
		d.FailedExchanges.Add(1)
		d.markLost(m.Name, err)
		return
	}
	d.receive(r)
}

// newHeartbeat returns a heartbeat with this instance's state and some of its members.
func (d *Discovery) newHeartbeat() *Heartbeat {
	now := d.opts.Clock.Now()
	q := &Heartbeat{From: d.opts.Self, Spent: d.opts.Spent(now), Load: d.opts.LocalLoad()}
	d.mu.Lock()
	defer d.mu.Unlock()
	q.From.Leaving = d.leaving
	for _, m := range d.members {
		if now.Sub(m.lastHeard) <= presenceTimeout && !m.secondHand {
			q.Known = append(q.Known, m.Member)
		}
	}
	if len(q.Known) > maxKnownPerHeartbeat {
		shuffle(q.Known)
		q.Known = q.Known[:maxKnownPerHeartbeat]
	}
	return q
}

// receive records a heartbeat: it sets the time of the sender's last heartbeat and adds the unknown
// members that the heartbeat lists. It ignores heartbeats without a sender and this instance's own.
func (d *Discovery) receive(q *Heartbeat) {
	now := d.opts.Clock.Now()
	if q.From.Name == d.opts.Self.Name || q.From.Name == "" {
		return
	}
	d.opts.OnSpent(now, q.From.Name, q.From.Incarnation, q.Spent)
	d.opts.OnPeerLoad(now, q.From.Name, q.From.Incarnation, q.Load, true)
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[q.From.Name]
	if !ok || m.secondHand || m.lost || m.Incarnation != q.From.Incarnation || m.Leaving != q.From.Leaving {
		klog.InfoS("member discovered or changed", "member", q.From.Name, "address", q.From.Address,
			"incarnation", q.From.Incarnation, "leaving", q.From.Leaving, "known", ok)
	}
	d.members[q.From.Name] = &memberRecord{Member: q.From, lastHeard: now}
	d.heardAny = true
	for _, k := range q.Known {
		if _, ok := d.members[k.Name]; !ok && k.Name != d.opts.Self.Name {
			d.members[k.Name] = &memberRecord{Member: k, lastHeard: now.Add(-presenceTimeout), secondHand: true}
		}
	}
}

// markLost handles a failed call to a member: if the member has also been silent for longer than
// presenceTimeout, it marks the member as lost and logs that once.
func (d *Discovery) markLost(name string, err error) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.lost || now.Sub(m.lastHeard) <= presenceTimeout {
		return
	}
	m.lost = true
	klog.InfoS("member does not answer heartbeats or load updates", "member", name, "address", m.Address,
		"silentFor", now.Sub(m.lastHeard), "err", err)
}

// roundTargets returns the members to exchange heartbeats with in this round, at most
// maxRoundTargets, and the seeds that are not a known member's address. It removes the members
// that have been silent for longer than removeAfter.
func (d *Discovery) roundTargets() []figview.Member {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recentMaximum(now)
	knownAddresses := map[string]bool{d.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range d.members {
		if now.Sub(m.lastHeard) > removeAfter {
			delete(d.members, name)
			continue
		}
		knownAddresses[m.Address] = true
		if !m.secondHand && now.Sub(m.lastHeard) < Interval/2 {
			continue // it has just sent a heartbeat to this instance or answered one
		}
		all = append(all, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	if len(all) > maxRoundTargets {
		shuffle(all)
		all = all[:maxRoundTargets]
	}
	for _, address := range d.opts.Seeds() {
		if !knownAddresses[address] {
			all = append(all, figview.Member{Name: address, Address: address})
		}
	}
	return all
}

// Status returns the known members for operators, sorted by name.
func (d *Discovery) Status() []MemberStatus {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]MemberStatus, 0, len(d.members))
	for _, m := range d.members {
		all = append(all, MemberStatus{
			Name: m.Name, Address: m.Address, DataCentre: m.DataCentre,
			Leaving: m.Leaving, SilentMillis: now.Sub(m.lastHeard).Milliseconds(),
		})
	}
	slices.SortFunc(all, func(x, y MemberStatus) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// MemberStatus describes one known member at /status.
type MemberStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
	// SilentMillis is the time since the member's last heartbeat, in milliseconds.
	SilentMillis int64 `json:"silentMillis"`
}

func shuffle[T any](all []T) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}
