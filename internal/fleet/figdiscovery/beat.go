// Package figdiscovery lets instances find each other where no list of them is
// published. Each knows a few seed addresses, any of which may be stale or down;
// it exchanges beats with the instances that it has heard of and learns of others
// from them. A beat also carries what client accounts have spent.
//
// # Usage
//
//	b := figdiscovery.New(figdiscovery.Options{Self: self, Incarnation: started, Seeds: seeds, Ask: ask, …})
//	go b.Run(ctx, timer)
//	n := b.Members(now)
//
// Nothing is agreed: two instances may hold different sets. Members is therefore
// the largest number that was seen lately, so that bounds that are shared by it
// are not exceeded when a part of the fleet is cut off.
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
	// Interval is the time between two beats to a member. It bounds what is spent
	// before the others hear of it; see figlimiter.
	Interval = 400 * time.Millisecond
	// presenceTimeout is how long a member that isn't heard of counts as there.
	presenceTimeout = 3 * time.Second
	// recentWindow is how long a member that isn't heard of is taken to be heard.
	recentWindow = 3 * Interval
	// isolationWindow is how long an instance that hears few others counts as isolated,
	// unless they are heard again: by then, those that are still gone have died.
	isolationWindow = 10 * time.Second
	// startupGrace is how long an instance that starts waits for another's beat before it
	// takes itself for alone: two beats and their answers.
	startupGrace = time.Second
	// removeAfter drops a member that hasn't been heard of.
	removeAfter = 20 * time.Second
	// maximumWindow is how long the largest number of members is remembered: longer than
	// the outages of the two sites' days.
	maximumWindow = 20 * time.Second
	// maxRoundTargets bounds the members that one round goes to, so that the cost of an
	// instance doesn't grow with the fleet.
	maxRoundTargets = 16
	// maxKnownPerBeat bounds the members that one beat names: with each beat naming others, all
	// are known after a few rounds.
	maxKnownPerBeat = 3
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 800 * time.Millisecond
)

// Member is an instance as it describes itself.
type Member struct {
	Name        string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	DataCentre  string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	Leaving     bool   `cbor:"5,keyasint,omitempty"`
}

// Beat is one side of an exchange.
type Beat struct {
	From Member `cbor:"1,keyasint"`
	// Known holds the members that the sender has heard of lately.
	Known []Member `cbor:"2,keyasint"`
	// Spent holds what each client account has spent at the sender.
	Spent map[string]int64 `cbor:"3,keyasint"`
	// Held holds what the sender has in progress at each backend server, by the
	// server's lifetime.
	Held map[string]figview.Held `cbor:"4,keyasint,omitempty"`
}

// News is what has changed at a sender since its last message.
type News struct {
	From        string                  `cbor:"1,keyasint"`
	Incarnation uint64                  `cbor:"2,keyasint"`
	Held        map[string]figview.Held `cbor:"3,keyasint"`
}

// Ack answers News.
type Ack struct{}

// Options holds what a Beats needs. All fields are required.
type Options struct {
	Self  Member
	Clock figtimer.Clock
	// Seeds returns addresses to ask while few members are known.
	Seeds func() []string
	// Ask exchanges beats with another instance.
	Ask func(ctx context.Context, m figview.Member, b *Beat) (*Beat, error)
	// Spent returns what client accounts have spent here, Heard takes what they
	// have spent at another instance.
	Spent func(now time.Time) map[string]int64
	Heard func(now time.Time, from string, incarnation uint64, spent map[string]int64)
	// Held returns what this instance has in progress at backend servers; HeardHeld
	// takes what another one has. whole says that it is all, not just changes.
	Held      func() map[string]figview.Held
	HeardHeld func(now time.Time, from string, incarnation uint64, held map[string]figview.Held, whole bool)
	// Tell sends news to another instance.
	Tell func(ctx context.Context, m figview.Member, n *News) (*Ack, error)
	// Presumed is the number of members to presume after a start.
	Presumed int
}

// Beats keeps the members. It is safe for concurrent use.
type Beats struct {
	// Lost counts exchanges without an answer.
	Lost atomic.Uint64

	opts Options

	mu      sync.Mutex
	members map[string]*memberRecord
	leaving bool
	// heardAny says that another instance was heard since the start.
	heardAny  bool
	startedAt time.Time
	maxMembers      int
	maxMembersAt    time.Time
	pendingLoads      map[string]figview.Held
	updatesPending      chan struct{}
	updateInFlight   map[string]bool
}

// memberRecord is a member and when it was last memberRecord of.
type memberRecord struct {
	Member

	lastHeard time.Time
	// secondHand says that only others have spoken of it.
	secondHand bool
	lost  bool
}

// New returns the members of an instance that has heard of nobody.
func New(o Options) *Beats {
	return &Beats{
		opts: o, members: map[string]*memberRecord{}, maxMembers: max(1, o.Presumed), maxMembersAt: o.Clock.Now(), startedAt: o.Clock.Now(),
		pendingLoads: map[string]figview.Held{}, updatesPending: make(chan struct{}, 1), updateInFlight: map[string]bool{},
	}
}

// SetLeaving tells the others that this instance ends.
func (b *Beats) SetLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// Members returns the number of instances that share a bound, this one included.
func (b *Beats) Members(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recentMaximum(now)
}

// recentMaximum notes how many members there are, and returns the most of late.
func (b *Beats) recentMaximum(now time.Time) int {
	n := 1
	for _, m := range b.members {
		if now.Sub(m.lastHeard) <= presenceTimeout && !m.Leaving && !m.secondHand {
			n++
		}
	}
	if n >= b.maxMembers || now.Sub(b.maxMembersAt) > maximumWindow {
		b.maxMembers, b.maxMembersAt = n, now
	}
	return b.maxMembers
}

// Others returns the members that were heard lately, in random order, then the seeds.
func (b *Beats) Others() []figview.Member {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]bool{b.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range b.members {
		if now.Sub(m.lastHeard) <= recentWindow {
			known[m.Address] = true
			all = append(all, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
		}
	}
	shuffle(all)
	for _, address := range b.opts.Seeds() {
		if !known[address] {
			all = append(all, figview.Member{Name: address, Address: address})
		}
	}
	return all
}

// Isolated says that fewer than half of the members of late are heard.
func (b *Beats) Isolated(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, heard := 0, 0
	if now.Sub(b.startedAt) < isolationWindow {
		known = b.opts.Presumed - 1
	}
	recent := 0
	for _, m := range b.members {
		if m.secondHand || m.Leaving || now.Sub(m.lastHeard) > isolationWindow {
			continue
		}
		recent++
		if now.Sub(m.lastHeard) <= recentWindow {
			heard++
		}
	}
	return heard*2 < max(known, recent)
}

// Share returns the part of a bound of all instances that this one may use: all of
// it, because it hears of what the others use, or its own part if it has heard nobody
// since its start, for longer than it takes to find one.
func (b *Beats) Share(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heardAny || now.Sub(b.startedAt) < startupGrace {
		return 1
	}
	return 1 / float64(max(1, b.recentMaximum(now)))
}

// Answer takes the beat of another instance and returns this one's.
func (b *Beats) Answer(_ context.Context, q *Beat) (*Beat, error) {
	b.receive(q)
	return b.newBeat(), nil
}

// Run exchanges beats until ctx ends.
func (b *Beats) Run(ctx context.Context, t *figtimer.Timer) error {
	b.exchangeAll(ctx)
	for range t.Subscribe(ctx, Interval) {
		b.exchangeAll(ctx)
	}
	return nil
}

func (b *Beats) exchangeAll(ctx context.Context) {
	q := b.newBeat()
	for _, m := range b.roundTargets() {
		go b.exchange(ctx, m, q)
	}
}

func (b *Beats) exchange(ctx context.Context, m figview.Member, q *Beat) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := b.opts.Ask(ctx, m, q)
	if err != nil {
		b.Lost.Add(1)
		b.markLost(m.Name, err)
		return
	}
	b.receive(r)
}

// newBeat describes this instance and what it knows.
func (b *Beats) newBeat() *Beat {
	now := b.opts.Clock.Now()
	q := &Beat{From: b.opts.Self, Spent: b.opts.Spent(now), Held: b.opts.Held()}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.From.Leaving = b.leaving
	for _, m := range b.members {
		if now.Sub(m.lastHeard) <= presenceTimeout && !m.secondHand {
			q.Known = append(q.Known, m.Member)
		}
	}
	if len(q.Known) > maxKnownPerBeat {
		shuffle(q.Known)
		q.Known = q.Known[:maxKnownPerBeat]
	}
	return q
}

// receive takes a beat: its sender was heard, the members that it names become known.
func (b *Beats) receive(q *Beat) {
	now := b.opts.Clock.Now()
	if q.From.Name == b.opts.Self.Name || q.From.Name == "" {
		return
	}
	b.opts.Heard(now, q.From.Name, q.From.Incarnation, q.Spent)
	b.opts.HeardHeld(now, q.From.Name, q.From.Incarnation, q.Held, true)
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[q.From.Name]
	if !ok || m.secondHand || m.lost || m.Incarnation != q.From.Incarnation || m.Leaving != q.From.Leaving {
		klog.InfoS("member heard", "member", q.From.Name, "address", q.From.Address, "incarnation", q.From.Incarnation,
			"leaving", q.From.Leaving, "known", ok)
	}
	b.members[q.From.Name] = &memberRecord{Member: q.From, lastHeard: now}
	b.heardAny = true
	for _, k := range q.Known {
		if _, ok := b.members[k.Name]; !ok && k.Name != b.opts.Self.Name {
			b.members[k.Name] = &memberRecord{Member: k, lastHeard: now.Add(-presenceTimeout), secondHand: true}
		}
	}
}

// markLost notes that a member gave no answer.
func (b *Beats) markLost(name string, err error) {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[name]
	if !ok || m.lost || now.Sub(m.lastHeard) <= presenceTimeout {
		return
	}
	m.lost = true
	klog.InfoS("member lost", "member", name, "address", m.Address, "silentFor", now.Sub(m.lastHeard), "err", err)
}

// roundTargets returns the members to exchange beats with, and the seeds that are no
// member's address.
func (b *Beats) roundTargets() []figview.Member {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recentMaximum(now)
	known := map[string]bool{b.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range b.members {
		if now.Sub(m.lastHeard) > removeAfter {
			delete(b.members, name)
			continue
		}
		known[m.Address] = true
		if !m.secondHand && now.Sub(m.lastHeard) < Interval/2 {
			continue // it has just exchanged beats with this instance
		}
		all = append(all, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	if len(all) > maxRoundTargets {
		shuffle(all)
		all = all[:maxRoundTargets]
	}
	for _, address := range b.opts.Seeds() {
		if !known[address] {
			all = append(all, figview.Member{Name: address, Address: address})
		}
	}
	return all
}

// Status describes the members for operators, sorted by name.
func (b *Beats) Status() []MemberStatus {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]MemberStatus, 0, len(b.members))
	for _, m := range b.members {
		all = append(all, MemberStatus{
			Name: m.Name, Address: m.Address, DataCentre: m.DataCentre,
			Leaving: m.Leaving, SilentMillis: now.Sub(m.lastHeard).Milliseconds(),
		})
	}
	slices.SortFunc(all, func(x, y MemberStatus) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// MemberStatus is what /status shows of a member.
type MemberStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	Leaving    bool   `json:"leaving"`
	// SilentMillis is the time since it was heard of, in milliseconds.
	SilentMillis int64 `json:"silentMillis"`
}

func shuffle[T any](all []T) {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
}
