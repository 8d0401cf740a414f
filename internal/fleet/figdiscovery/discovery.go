package figdiscovery

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// Interval is the time between two rounds of an instance. Each round probes one member.
	Interval = 400 * time.Millisecond
	// callTimeout is the timeout of one call to another instance.
	callTimeout = 600 * time.Millisecond
	// suspicionTimeout is how long a suspected member may refute that before it is declared dead: some
	// rounds, in which the suspicion reaches it and its answer all others.
	suspicionTimeout = 2 * time.Second
	// removeAfter is how long a dead or leaving member stays on the list, so that older records of it
	// are recognized as outdated, and so that it is found again after a network partition.
	removeAfter = 30 * time.Second
	// maximumWindow is how long the largest number of members stays in use, so that a network outage
	// that is shorter than that does not raise an instance's part of shared limits.
	maximumWindow = 20 * time.Second
	// settleTimeout is how long after its start an instance waits for another list equal to its own
	// before it takes its list for complete.
	settleTimeout = 2 * time.Second
	// isolationProbes is the number of latest probes by which Isolated judges, and isolationWindow how
	// long they count.
	isolationProbes = 6
	isolationWindow = 5 * time.Second
	// maxNews is the maximum number of changed records in one message.
	maxNews = 32
)

// Options holds the settings and dependencies of a Discovery. All fields are required.
type Options struct {
	Self  Member
	Clock figtimer.Clock
	// Seeds returns the configured addresses of other instances, any of which may be outdated.
	Seeds func() []string
	// Probe sends a message to another instance and returns its answer. ProbeThrough asks an instance
	// to probe another one. Sync requests the records that this
	// instance lacks. Push sends a message whose answer is not
	// needed.
	Probe        func(ctx context.Context, to figview.Member, m *Message) (*Message, error)
	ProbeThrough func(ctx context.Context, to figview.Member, q *IndirectProbe) (*IndirectResult, error)
	Sync         func(ctx context.Context, to figview.Member, q *SyncRequest) (*SyncAnswer, error)
	Push         func(ctx context.Context, to figview.Member, m *Message) (*Message, error)
	// Position returns the position of the configuration that this instance uses. OnPosition receives
	// that of another instance.
	Position   func() figview.Position
	OnPosition func(from figview.Member, position figview.Position)
	// Evidence returns the digest of this instance's evidence on prompt parts. OnEvidence receives that of
	// another instance.
	Evidence   func() uint64
	OnEvidence func(from figview.Member, digest uint64)
	// OnGone is called without locks held when a run of a member has ended: when this instance declared
	// it dead or it was replaced by a later incarnation.
	OnGone func(name string, incarnation uint64)
	// InitialMembers is the number of members to assume after a start, this instance included.
	InitialMembers int
}

// Discovery keeps the list of members. It is safe for concurrent use.
type Discovery struct {
	// FailedCalls counts calls to other instances that got no answer, Syncs the synchronizations that
	// this instance started.
	FailedCalls, Syncs atomic.Uint64

	opts Options
	// epoch counts the changes of the list.
	epoch atomic.Uint64

	mu sync.Mutex
	// self is this instance's own record.
	self Record
	// members holds the other members by name, including dead ones until removeAfter.
	members map[string]*memberRecord
	// digest is the sum of the hashes of the records that are not dead, without self.
	digest uint64
	// presentMembers is the list that Present returns; nil if it has to be built.
	presentMembers []Member
	// news holds the changed records to send with the next messages, by name, with the number of
	// messages left.
	news map[string]int
	// urgent holds the names of the members whose change is to be pushed.
	urgent  map[string]bool
	pending chan struct{}
	// order is the rest of the current random order of probes.
	order []string
	// extraLeft is the number of additional probes that failed ones may still cause in this round.
	extraLeft int
	// results holds the outcomes of the latest probes, latest last.
	results   []probeResult
	startedAt time.Time
	settled   bool
	// differsSince is since when the lists of others have differed from this one, or when the last
	// synchronization began; zero while they are equal.
	differsSince time.Time
	maxMembers   int
	maxMembersAt time.Time
	// met says that another instance has been heard since the start, expectsOthers that seeds name some.
	met, expectsOthers bool
}

// probeResult is the outcome of a probe.
type probeResult struct {
	at       time.Time
	answered bool
}

// New returns a Discovery that knows no other member.
func New(o Options) *Discovery {
	now := o.Clock.Now()
	return &Discovery{
		opts: o, self: Record{Member: o.Self}, members: map[string]*memberRecord{}, news: map[string]int{},
		urgent: map[string]bool{}, pending: make(chan struct{}, 1), startedAt: now,
		maxMembers: max(1, o.InitialMembers), maxMembersAt: now,
	}
}

// SetLeaving announces that this instance is shutting down.
func (d *Discovery) SetLeaving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self.State = Leaving
	d.self.Version++
	d.changed()
	d.announceLocked(d.self.Name)
}

// Epoch returns a number that grows with each change of the list.
func (d *Discovery) Epoch() uint64 { return d.epoch.Load() }

// Present returns the members that are alive or suspected, sorted by name. It includes this instance
// unless it is shutting down. Suspected members are included, so that a wrong suspicion moves no
// work. The caller must not modify the list.
func (d *Discovery) Present() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.presentMembers != nil {
		return d.presentMembers
	}
	d.presentMembers = make([]Member, 0, len(d.members)+1)
	if d.self.State == Alive {
		d.presentMembers = append(d.presentMembers, d.self.Member)
	}
	for _, m := range d.members {
		if m.present() {
			d.presentMembers = append(d.presentMembers, m.Member)
		}
	}
	slices.SortFunc(d.presentMembers, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	return d.presentMembers
}

// MaxMembers returns the number of instances by which shared limits are divided, including this
// one: the largest number of members within maximumWindow.
func (d *Discovery) MaxMembers(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	most, _ := d.countMembers(now)
	return most
}

// PresentFraction returns the number of present members, this instance included, as a fraction of
// MaxMembers. While the list of a starting instance is incomplete, it counts as the only member.
func (d *Discovery) PresentFraction(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	most, present := d.countMembers(now)
	if !d.settledAt(now) {
		present = 1
	}
	return float64(present) / float64(most)
}

// countMembers counts the present members, this instance included, and returns the largest count
// within maximumWindow and the current one. An instance that has heard nobody since its start although
// seeds are named keeps the assumed number: the others may use all of each shared limit meanwhile.
// d.mu must be held.
func (d *Discovery) countMembers(now time.Time) (most, present int) {
	present = 1
	for _, m := range d.members {
		if m.present() {
			present++
		}
	}
	expired := now.Sub(d.maxMembersAt) > maximumWindow && (d.met || !d.expectsOthers)
	if present >= d.maxMembers || expired {
		d.maxMembers, d.maxMembersAt = present, now
	}
	return d.maxMembers, present
}

// Settled reports whether the list of members can be taken for complete: another instance had the
// same list, or settleTimeout has passed since the start.
func (d *Discovery) Settled(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.settledAt(now)
}

func (d *Discovery) settledAt(now time.Time) bool {
	return d.settled || now.Sub(d.startedAt) > settleTimeout
}

// Isolated reports whether more than half of the latest probes failed. Members that are declared
// dead are not probed any more, so the loss of most of a fleet isolates its rest only until then.
// Without recent probes it reports whether the other members have been lost, or not been found yet.
func (d *Discovery) Isolated(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent, answered := 0, 0
	for _, r := range d.results {
		if now.Sub(r.at) > isolationWindow {
			continue
		}
		recent++
		if r.answered {
			answered++
		}
	}
	if recent == 0 {
		most, present := d.countMembers(now)
		return present == 1 && most > 1
	}
	return answered*2 < recent
}

// Peers returns the other present members in random order, followed by the seeds that are not the
// address of one of them.
func (d *Discovery) Peers() []figview.Member {
	present := d.Present()
	all := make([]figview.Member, 0, len(present))
	known := map[string]bool{d.opts.Self.Address: true}
	for i := range present {
		known[present[i].Address] = true
		if present[i].Name != d.opts.Self.Name {
			all = append(all, present[i].Target())
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, address := range d.opts.Seeds() {
		if !known[address] {
			all = append(all, figview.Member{Name: address, Address: address})
		}
	}
	return all
}

// Target returns the member as the target of a call.
func (m *Member) Target() figview.Member {
	return figview.Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}
}

// MemberStatus describes one known member at /status.
type MemberStatus struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	State      string `json:"state"`
	// SilentMillis is the time since the member's last message to this instance, in milliseconds; -1 if
	// it sent none.
	SilentMillis int64 `json:"silentMillis"`
}

// Status returns the known members for operators, sorted by name.
func (d *Discovery) Status() []MemberStatus {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]MemberStatus, 0, len(d.members))
	for _, m := range d.members {
		silent := time.Duration(-1)
		if !m.heardAt.IsZero() {
			silent = now.Sub(m.heardAt)
		}
		all = append(all, MemberStatus{
			Name: m.Name, Address: m.Address, DataCentre: m.DataCentre, State: m.State.String(),
			SilentMillis: figtimer.Millis(silent),
		})
	}
	slices.SortFunc(all, func(x, y MemberStatus) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// CountByState returns the number of known members in each state, this instance included.
func (d *Discovery) CountByState() map[State]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := map[State]int{Alive: 0, Suspect: 0, Leaving: 0, Dead: 0}
	counts[d.self.State] = 1
	for _, m := range d.members {
		counts[m.State]++
	}
	return counts
}
