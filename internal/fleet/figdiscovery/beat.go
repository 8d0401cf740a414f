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
	// silence is how long a member that isn't heard of counts as there.
	silence = 3 * time.Second
	// late is how long a member that isn't heard of is taken to be heard.
	late = 3 * Interval
	// isolation is how long an instance that hears few others counts as isolated,
	// unless they are heard again: by then, those that are still gone have died.
	isolation = 10 * time.Second
	// shareAfter is how long an instance that starts waits for another's beat before it
	// takes itself for alone: two beats and their answers.
	shareAfter = time.Second
	// forget drops a member that hasn't been heard of.
	forget = 20 * time.Second
	// memory is how long the largest number of members is remembered: longer than
	// the outages of the two sites' days.
	memory = 20 * time.Second
	// targets bounds the members that one round goes to, so that the cost of an
	// instance doesn't grow with the fleet.
	targets = 16
	// named bounds the members that one beat names: with each beat naming others, all
	// are known after a few rounds.
	named = 3
	// answerLimit bounds one exchange.
	answerLimit = 800 * time.Millisecond
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
	members map[string]*heard
	leaving bool
	// heardAny says that another instance was heard since the start.
	heardAny  bool
	startedAt time.Time
	most      int
	mostAt    time.Time
	news      map[string]figview.Held
	told      chan struct{}
	telling   map[string]bool
}

// heard is a member and when it was last heard of.
type heard struct {
	Member

	at time.Time
	// named says that only others have spoken of it.
	named bool
	lost  bool
}

// New returns the members of an instance that has heard of nobody.
func New(o Options) *Beats {
	return &Beats{
		opts: o, members: map[string]*heard{}, most: max(1, o.Presumed), mostAt: o.Clock.Now(), startedAt: o.Clock.Now(),
		news: map[string]figview.Held{}, told: make(chan struct{}, 1), telling: map[string]bool{},
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
	return b.count(now)
}

// count notes how many members there are, and returns the most of late.
func (b *Beats) count(now time.Time) int {
	n := 1
	for _, m := range b.members {
		if now.Sub(m.at) <= silence && !m.Leaving && !m.named {
			n++
		}
	}
	if n >= b.most || now.Sub(b.mostAt) > memory {
		b.most, b.mostAt = n, now
	}
	return b.most
}

// Others returns the members that were heard lately, in random order, then the seeds.
func (b *Beats) Others() []figview.Member {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]bool{b.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range b.members {
		if now.Sub(m.at) <= late {
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
	if now.Sub(b.startedAt) < isolation {
		known = b.opts.Presumed - 1
	}
	recent := 0
	for _, m := range b.members {
		if m.named || m.Leaving || now.Sub(m.at) > isolation {
			continue
		}
		recent++
		if now.Sub(m.at) <= late {
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
	if b.heardAny || now.Sub(b.startedAt) < shareAfter {
		return 1
	}
	return 1 / float64(max(1, b.count(now)))
}

// Answer takes the beat of another instance and returns this one's.
func (b *Beats) Answer(_ context.Context, q *Beat) (*Beat, error) {
	b.hear(q)
	return b.beat(), nil
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
	q := b.beat()
	for _, m := range b.round() {
		go b.exchange(ctx, m, q)
	}
}

func (b *Beats) exchange(ctx context.Context, m figview.Member, q *Beat) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	r, err := b.opts.Ask(ctx, m, q)
	if err != nil {
		b.Lost.Add(1)
		b.lose(m.Name, err)
		return
	}
	b.hear(r)
}

// beat describes this instance and what it knows.
func (b *Beats) beat() *Beat {
	now := b.opts.Clock.Now()
	q := &Beat{From: b.opts.Self, Spent: b.opts.Spent(now), Held: b.opts.Held()}
	b.mu.Lock()
	defer b.mu.Unlock()
	q.From.Leaving = b.leaving
	for _, m := range b.members {
		if now.Sub(m.at) <= silence && !m.named {
			q.Known = append(q.Known, m.Member)
		}
	}
	if len(q.Known) > named {
		shuffle(q.Known)
		q.Known = q.Known[:named]
	}
	return q
}

// hear takes a beat: its sender was heard, the members that it names become known.
func (b *Beats) hear(q *Beat) {
	now := b.opts.Clock.Now()
	if q.From.Name == b.opts.Self.Name || q.From.Name == "" {
		return
	}
	b.opts.Heard(now, q.From.Name, q.From.Incarnation, q.Spent)
	b.opts.HeardHeld(now, q.From.Name, q.From.Incarnation, q.Held, true)
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[q.From.Name]
	if !ok || m.named || m.lost || m.Incarnation != q.From.Incarnation || m.Leaving != q.From.Leaving {
		klog.InfoS("member heard", "member", q.From.Name, "address", q.From.Address, "incarnation", q.From.Incarnation,
			"leaving", q.From.Leaving, "known", ok)
	}
	b.members[q.From.Name] = &heard{Member: q.From, at: now}
	b.heardAny = true
	for _, k := range q.Known {
		if _, ok := b.members[k.Name]; !ok && k.Name != b.opts.Self.Name {
			b.members[k.Name] = &heard{Member: k, at: now.Add(-silence), named: true}
		}
	}
}

// lose notes that a member gave no answer.
func (b *Beats) lose(name string, err error) {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	m, ok := b.members[name]
	if !ok || m.lost || now.Sub(m.at) <= silence {
		return
	}
	m.lost = true
	klog.InfoS("member lost", "member", name, "address", m.Address, "silentFor", now.Sub(m.at), "err", err)
}

// round returns the members to exchange beats with, and the seeds that are no
// member's address.
func (b *Beats) round() []figview.Member {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.count(now)
	known := map[string]bool{b.opts.Self.Address: true}
	var all []figview.Member
	for name, m := range b.members {
		if now.Sub(m.at) > forget {
			delete(b.members, name)
			continue
		}
		known[m.Address] = true
		if !m.named && now.Sub(m.at) < Interval/2 {
			continue // it has just exchanged beats with this instance
		}
		all = append(all, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	if len(all) > targets {
		shuffle(all)
		all = all[:targets]
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
			Leaving: m.Leaving, SilentMillis: now.Sub(m.at).Milliseconds(),
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
