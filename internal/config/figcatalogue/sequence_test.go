package figcatalogue

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

var (
	sequences     = flag.Int("sequences", 40, "number of random sequences of restorations")
	firstSequence = flag.Uint64("first-sequence", 1, "seed of the first one")
)

const (
	// sequenceTime is how long a sequence lasts, and calmTime the time after it in which all instances must agree. A
	// watch that hangs over a restoration ends within it.
	sequenceTime = 40 * time.Second
	calmTime     = watchWait + 5*time.Second
	tick         = 50 * time.Millisecond
	// checkIn is the time between two check-ins of a server, expiry the silence after which its entry is removed.
	checkIn = 800 * time.Millisecond
	expiry  = 3 * checkIn
	// drainTime is how long a leaving server stays listed.
	drainTime = 2500 * time.Millisecond
	// rewriteLimit is how long after the store's return the operator writes again what was lost.
	rewriteLimit = 1500 * time.Millisecond
	// maxCallRate limits the calls of one instance to the store per second, averaged over a sequence.
	maxCallRate  = 6
	sequenceSize = 9
	// spreadTime is how long a position takes to reach all by the gossip here, which pairs instances at random.
	spreadTime = 2 * time.Second
)

// trouble is what becomes of calls.
type trouble int

const (
	served trouble = iota
	refused
	unanswered
)

// entries is what a store holds at one revision.
type entries struct {
	version  uint64
	servers  map[string]Server
	drained  map[string]bool
	revision uint64
}

func (e *entries) clone() entries {
	n := *e
	n.servers, n.drained = maps.Clone(e.servers), maps.Clone(e.drained)
	return n
}

// copyStore is a store that keeps copies of what it held, and comes back from them.
type copyStore struct {
	mu    sync.Mutex
	epoch uint64
	entries
	// renewed holds the last check-in of each server.
	renewed map[string]time.Time
	copies  []storeCopy
	history []Change
	// first is the revision before history.
	first   uint64
	changed chan struct{}
	// away is what becomes of all calls, cut that of the calls of some instances.
	away trouble
	cut  map[string]trouble
	// hanging says that watches which wait while the store goes away get no answer, except those of the instance noticing.
	hanging  bool
	noticing string
	calls    map[string]int
}

type storeCopy struct {
	at time.Time
	entries
}

func newCopyStore() *copyStore {
	return &copyStore{
		epoch: 1, entries: entries{servers: map[string]Server{}, drained: map[string]bool{}}, renewed: map[string]time.Time{},
		changed: make(chan struct{}), cut: map[string]trouble{}, calls: map[string]int{},
	}
}

// write applies a change if the store is there.
func (s *copyStore) write(c Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away != served {
		return false
	}
	switch {
	case c.Declarations != nil:
		s.version = c.Declarations.Version
	case c.Server != nil:
		s.servers[c.Server.Name] = *c.Server
		s.renewed[c.Server.Name] = time.Now()
	case c.ServerRemoved != "":
		if _, ok := s.servers[c.ServerRemoved]; !ok {
			return true
		}
		delete(s.servers, c.ServerRemoved)
	case c.DrainedDataCentre != "":
		s.drained[c.DrainedDataCentre] = true
	case c.RestoredDataCentre != "":
		delete(s.drained, c.RestoredDataCentre)
	}
	s.revision++
	s.history = append(s.history, c)
	s.copies = append(s.copies, storeCopy{time.Now(), s.clone()})
	s.wake()
	return true
}

// wake lets waiting calls look again. s.mu must be held.
func (s *copyStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the entries that weren't renewed.
func (s *copyStore) expire() {
	s.mu.Lock()
	var silent []string
	for name := range s.servers {
		if time.Since(s.renewed[name]) > expiry {
			silent = append(silent, name)
		}
	}
	s.mu.Unlock()
	for _, name := range silent {
		s.write(Change{ServerRemoved: name})
	}
}

func (s *copyStore) goAway(how trouble, hanging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.hanging = how, hanging
	s.wake()
}

// restore lets the store come back with what it held at a time.
func (s *copyStore) restore(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.away = served
	e := entries{servers: map[string]Server{}, drained: map[string]bool{}}
	for _, c := range s.copies {
		if !c.at.After(at) {
			e = c.clone()
		}
	}
	s.entries = e
	s.copies = append(s.copies, storeCopy{time.Now(), s.clone()})
	for name := range s.servers {
		s.renewed[name] = time.Now()
	}
	s.history, s.first = nil, s.revision
	s.wake()
}

func (s *copyStore) setCut(name string, how trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[name] = how
	s.wake()
}

// troubleOf returns what becomes of the calls of an instance. s.mu must be held.
func (s *copyStore) troubleOf(name string) trouble { return max(s.away, s.cut[name]) }

// call counts a call of an instance and waits until its answer is there.
func (s *copyStore) call(ctx context.Context, name string, limit time.Duration) error {
	s.mu.Lock()
	s.calls[name]++
	t := s.troubleOf(name)
	if name == s.noticing {
		limit = 0
	}
	s.mu.Unlock()
	switch t {
	case served:
		<-time.After(4 * time.Millisecond)
		return ctx.Err()
	case unanswered:
		select {
		case <-ctx.Done():
		case <-time.After(limit + time.Second):
		}
	case refused:
		<-time.After(time.Millisecond)
	}
	return errDown
}

func (s *copyStore) source(name string) Source {
	return Source{
		Name: name,
		Read: func(ctx context.Context) (*Contents, error) {
			if err := s.call(ctx, name, 0); err != nil {
				return nil, err
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.troubleOf(name) != served {
				return nil, errDown
			}
			n := &Contents{Declarations: version(s.version), Position: in(s.epoch, s.revision)}
			for _, v := range s.servers {
				n.Servers = append(n.Servers, v)
			}
			n.DrainedDataCentres = slices.Collect(maps.Keys(s.drained))
			return n, nil
		},
		Watch: func(ctx context.Context, after figview.Position, wait time.Duration) ([]Change, figview.Position, error) {
			if err := s.call(ctx, name, wait); err != nil {
				return nil, at(0), err
			}
			return s.wait(ctx, name, after, wait)
		},
	}
}

// wait waits for changes after a position. It fails or gets no answer once the store has been away.
func (s *copyStore) wait(ctx context.Context, name string, after figview.Position, wait time.Duration) ([]Change, figview.Position, error) {
	end, late := time.After(wait), time.After(wait+time.Second)
	s.mu.Lock()
	begun := s.epoch
	s.mu.Unlock()
	stuck := false
	for {
		s.mu.Lock()
		now, changed := in(s.epoch, s.revision), s.changed
		lost := after.Revision < s.first || after.Revision > s.revision
		var changes []Change
		if !lost {
			changes = slices.Clone(s.history[after.Revision-s.first:])
		}
		broken := s.troubleOf(name) != served || s.epoch != begun
		gone := s.away != served || s.epoch != begun
		hanging := s.hanging && s.noticing != name || s.cut[name] == unanswered
		s.mu.Unlock()
		switch {
		case broken && !hanging && !stuck:
			return nil, at(0), errDown
		case broken || stuck:
			stuck = stuck || gone
		case lost:
			return nil, at(0), ErrHistoryLost
		case len(changes) > 0:
			return changes, now, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, at(0), ctx.Err()
		case <-end:
			if !broken && !stuck {
				return nil, now, nil
			}
		case <-late:
			return nil, at(0), errDown
		}
	}
}

// playedServer is a server's present process as it is in truth.
type playedServer struct {
	entry Server
	// running says that it checks in, listed that the store has ever taken that. next is when it checks in or starts again.
	running, listed bool
	next            time.Time
	// leftAt is when the store took that it leaves, ends when it is to be removed.
	leftAt, ends time.Time
}

// playedInstance is an instance and what its view has shown.
type playedInstance struct {
	name string
	*Catalogue
	stop context.CancelFunc
	// disturbedAt is when it was last started, cut off or apart.
	disturbedAt time.Time
	version     uint64
	position    figview.Position
	// gone holds the processes that it has ceased to use since they left, usable says which it listed and used last.
	gone, usable map[string]bool
	// drained holds the data centres that it has shown as drained since they were.
	drained map[string]time.Time
}

// sequence plays restorations and checks what the instances show.
type sequence struct {
	t       *testing.T
	random  *rand.Rand
	store   *copyStore
	servers []*playedServer
	started int64
	// version is the operator's newest, confirmedAt when the store took it last, rewriteAt when the operator looks
	// next at what the store holds.
	version     uint64
	confirmedAt time.Time
	rewriteAt   time.Time
	// drainedAt holds since when data centres are to be drained.
	drainedAt map[string]time.Time
	// awayUntil is when the store returns from a copy of copiedAt, disturbedAt when it was last away.
	awayUntil, copiedAt, disturbedAt time.Time
	// left holds when processes had announced that they leave or were removed, listedAt when the store held them last as
	// live, which may come from a copy.
	left, listedAt map[string]time.Time

	mu  sync.Mutex
	all []*playedInstance
	// apart holds until when instances are cut off from all others and the store, cut from the store only.
	apart, cut map[string]time.Time
}

func newSequence(ctx context.Context, t *testing.T, seed uint64) *sequence {
	q := &sequence{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), store: newCopyStore(), version: 1, drainedAt: map[string]time.Time{},
		left: map[string]time.Time{}, listedAt: map[string]time.Time{}, apart: map[string]time.Time{}, cut: map[string]time.Time{},
	}
	q.store.noticing = fmt.Sprintf("i%d", q.random.IntN(groupReaders))
	q.store.write(Change{Declarations: version(1)})
	q.confirmedAt = time.Now()
	for n := range 6 {
		s := &playedServer{}
		q.servers = append(q.servers, s)
		q.startServer(s, fmt.Sprintf("s%d", n), []string{"east", "west"}[n%2])
	}
	for n := range sequenceSize {
		q.all = append(q.all, &playedInstance{name: fmt.Sprintf("i%d", n)})
	}
	for n := range sequenceSize {
		q.start(ctx, n)
	}
	return q
}

// between returns a random duration.
func (q *sequence) between(low, high time.Duration) time.Duration {
	return low + time.Duration(q.random.Int64N(int64(high-low)))
}

// chance says yes about once in a time.
func (q *sequence) chance(every time.Duration) bool {
	return q.random.Int64N(int64(every)) < int64(tick)
}

func (q *sequence) startServer(s *playedServer, name, dataCentre string) {
	q.started++
	e := server(name, q.started)
	e.DataCentre = dataCentre
	*s = playedServer{entry: e, running: true}
}

// instance returns an instance if it can be reached.
func (q *sequence) instance(n int) *playedInstance {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := q.all[n]; q.apart[i.name].IsZero() {
		return i
	}
	return nil
}

func (q *sequence) isApart(n int) bool { return q.instance(n) == nil }

// start starts an instance, in the place of the one before.
func (q *sequence) start(ctx context.Context, n int) {
	running, stop := context.WithCancel(ctx)
	i := &playedInstance{
		name: q.all[n].name, stop: stop, disturbedAt: time.Now(), gone: map[string]bool{}, drained: map[string]time.Time{},
	}
	ask := func(ctx context.Context, o int, query *FollowRequest) (*FollowAnswer, error) {
		other := q.instance(o)
		if other == nil || q.isApart(n) {
			return nil, errDown
		}
		a, err := other.HandleFollow(ctx, query)
		if q.isApart(o) || q.isApart(n) {
			return nil, errDown
		}
		return a, err
	}
	i.Catalogue = New(Options{
		Source: q.store.source(i.name), Clock: figtimer.System(), IsReader: func() bool { return n < groupReaders },
		QueryPeer: func(ctx context.Context, s *SnapshotRequest) (*Snapshot, string, error) {
			for o := range 3 {
				if other := q.instance((n + 2*o + 1) % sequenceSize); other != nil && !q.isApart(n) {
					answer, err := other.Answer(ctx, s)
					return answer, other.name, err
				}
			}
			return nil, "", errDown
		},
		Follow: func(ctx context.Context, query *FollowRequest) (last *FollowAnswer, err error) {
			err = errDown
			for o := range groupReaders {
				a, askErr := ask(ctx, (n+o)%groupReaders, query)
				if askErr != nil {
					continue
				}
				if last, err = a, nil; a.Serves(query) {
					break
				}
			}
			return last, err
		},
		FetchFrom: func(ctx context.Context, from figview.Member, query *FollowRequest) (*FollowAnswer, error) {
			return ask(ctx, int(from.Name[1]-'0'), query)
		},
	})
	q.mu.Lock()
	q.all[n] = i
	q.mu.Unlock()
	timer := figtimer.New(figtimer.System())
	go func() { _ = i.Run(running, timer) }()
	go func() { _ = i.RunCatchUp(running, timer) }()
}

// gossip makes each instance hear the position of a random other one.
func (q *sequence) gossip() {
	for n := range sequenceSize {
		o := q.random.IntN(sequenceSize)
		a, b := q.instance(n), q.instance(o)
		if a == nil || b == nil || a == b {
			continue
		}
		a.NotePosition(figview.Member{Name: b.name}, b.Position())
		b.NotePosition(figview.Member{Name: a.name}, a.Position())
	}
}

// operate lets the operator change things now and then, and write again what the store has lost.
func (q *sequence) operate(calm bool) {
	now := time.Now()
	if !calm && q.chance(1500*time.Millisecond) && q.store.write(Change{Declarations: version(q.version + 1)}) {
		q.version++
		q.confirmedAt = now
	}
	for _, dataCentre := range []string{"east", "west"} {
		switch _, drained := q.drainedAt[dataCentre]; {
		case calm || !q.chance(8*time.Second):
		case drained && q.store.write(Change{RestoredDataCentre: dataCentre}):
			delete(q.drainedAt, dataCentre)
		case !drained && q.store.write(Change{DrainedDataCentre: dataCentre}):
			q.drainedAt[dataCentre] = now
		}
	}
	if q.rewriteAt.IsZero() || now.Before(q.rewriteAt) {
		return
	}
	q.store.mu.Lock()
	held := q.store.clone()
	q.store.mu.Unlock()
	done := held.version == q.version || q.store.write(Change{Declarations: version(q.version)})
	for _, dataCentre := range []string{"east", "west"} {
		switch _, drained := q.drainedAt[dataCentre]; {
		case drained && !held.drained[dataCentre]:
			done = q.store.write(Change{DrainedDataCentre: dataCentre}) && done
		case !drained && held.drained[dataCentre]:
			done = q.store.write(Change{RestoredDataCentre: dataCentre}) && done
		}
	}
	if done {
		q.rewriteAt = time.Time{}
		q.confirmedAt = now
	}
}

// run lets the servers check in, leave, crash and start again.
func (q *sequence) run(calm bool) {
	now := time.Now()
	for _, s := range q.servers {
		if !s.running {
			if now.After(s.next) {
				q.startServer(s, s.entry.Name, s.entry.DataCentre)
			}
			continue
		}
		if !s.ends.IsZero() && now.After(s.ends) {
			if q.store.write(Change{ServerRemoved: s.entry.Name}) {
				s.running, s.next = false, now.Add(q.between(500*time.Millisecond, 6*time.Second))
			}
			continue
		}
		if !calm && s.leftAt.IsZero() && q.chance(12*time.Second) && s.listed {
			switch q.random.IntN(3) {
			case 0: // announces that it leaves
				s.entry.State = figview.Leaving
				s.next = time.Time{}
			case 1: // its entry is removed
				if q.store.write(Change{ServerRemoved: s.entry.Name}) {
					q.left[s.entry.Lifetime()] = now
					s.running, s.next = false, now.Add(q.between(500*time.Millisecond, 6*time.Second))
					continue
				}
			case 2: // crashes
				s.running, s.next = false, now.Add(q.between(500*time.Millisecond, 6*time.Second))
				continue
			}
		}
		entry := s.entry
		if !now.Before(s.next) && q.store.write(Change{Server: &entry}) {
			s.listed = true
			s.next = now.Add(checkIn)
			if s.entry.State == figview.Leaving && s.leftAt.IsZero() {
				s.leftAt, s.ends = now, now.Add(drainTime)
				q.left[s.entry.Lifetime()] = now
			}
		}
	}
	q.store.expire()
	q.store.mu.Lock()
	defer q.store.mu.Unlock()
	for _, s := range q.store.servers {
		if s.State == figview.Live {
			q.listedAt[s.Lifetime()] = now
		}
	}
}

// disturb lets the store go away and come back from a copy, cuts instances off and restarts them.
func (q *sequence) disturb(ctx context.Context, calm bool) {
	now := time.Now()
	q.store.mu.Lock()
	away := q.store.away != served
	q.store.mu.Unlock()
	if away {
		q.disturbedAt = now
		if now.After(q.awayUntil) {
			q.store.restore(q.copiedAt)
			q.rewriteAt = now.Add(q.between(tick, rewriteLimit))
		}
	} else if !calm && q.chance(4*time.Second) {
		q.store.goAway(trouble(1+q.random.IntN(2)), q.random.IntN(2) == 0)
		q.awayUntil = now.Add(q.between(tick, 2*time.Second))
		q.copiedAt = now.Add(-q.between(tick, 12*time.Second))
		q.disturbedAt = now
	}
	for n, i := range q.all {
		if !calm && q.chance(20*time.Second) {
			i.stop()
			q.start(ctx, n)
			i = q.all[n]
		}
		// One reader is never cut off: if all were without noticing, their followers would wait for the end of their watches.
		reachable := i.name != q.store.noticing
		if !calm && reachable && q.chance(20*time.Second) {
			q.mu.Lock()
			q.apart[i.name] = now.Add(q.between(500*time.Millisecond, 9*time.Second))
			q.mu.Unlock()
			q.store.setCut(i.name, unanswered)
		}
		if !calm && reachable && q.chance(20*time.Second) && q.cut[i.name].IsZero() && !q.isApart(n) {
			q.cut[i.name] = now.Add(q.between(500*time.Millisecond, 9*time.Second))
			q.store.setCut(i.name, trouble(1+q.random.IntN(2)))
		}
		q.mu.Lock()
		disturbed := false
		for _, until := range []map[string]time.Time{q.apart, q.cut} {
			if t, ok := until[i.name]; ok {
				disturbed = true
				i.disturbedAt = now
				if calm || now.After(t) {
					delete(until, i.name)
				}
			}
		}
		ended := disturbed && q.apart[i.name].IsZero() && q.cut[i.name].IsZero()
		q.mu.Unlock()
		if ended {
			q.store.setCut(i.name, served)
		}
	}
}

// check checks what the instances show.
func (q *sequence) check() {
	now := time.Now()
	for n, i := range q.all {
		v := i.View()
		if v.Table == nil || q.isApart(n) {
			continue
		}
		calm := contactLimit + spreadTime
		steady := now.Sub(i.disturbedAt) > calm && now.Sub(q.disturbedAt) > calm
		require.GreaterOrEqual(q.t, v.Table.Version, i.version, "%s: the version goes back", i.name)
		require.False(q.t, v.Before(i.position), "%s: from %v to %v", i.name, i.position, v.Position)
		i.version, i.position = v.Table.Version, v.Position
		if steady && now.Sub(q.confirmedAt) > applyLimit {
			require.Equal(q.t, q.version, v.Table.Version, "%s: version not in force", i.name)
		}
		for dataCentre, at := range q.drainedAt {
			known := i.drained[dataCentre].Equal(at)
			if v.DrainedDataCentres[dataCentre] {
				if steady && now.Sub(at) > applyLimit {
					i.drained[dataCentre] = at
				}
			} else if known || steady && now.Sub(at) > applyLimit {
				require.Failf(q.t, "not drained", "%s: %s, drained for %s, known: %v", i.name, dataCentre, now.Sub(at), known)
			}
		}
		shown := map[string]bool{}
		for k := range v.Servers["p"] {
			s := &v.Servers["p"][k]
			lifetime := s.Lifetime()
			at, left := q.left[lifetime]
			usable := s.State == figview.Live && s.RemovedAt.IsZero()
			shown[lifetime] = usable
			if usable && left && (i.gone[lifetime] || steady && now.Sub(q.listedAt[lifetime]) > applyLimit) {
				require.Failf(q.t, "server in use again", "%s: %s of start %d left %s before, known: %v", i.name, s.Name, s.StartedAt.UnixMilli(),
					now.Sub(at), i.gone[lifetime])
			}
		}
		for lifetime, usable := range i.usable {
			if _, left := q.left[lifetime]; left && usable && !shown[lifetime] {
				i.gone[lifetime] = true
			}
		}
		i.usable = shown
	}
}

// requireAgreement checks that all instances show what the store holds.
func (q *sequence) requireAgreement() {
	q.store.mu.Lock()
	defer q.store.mu.Unlock()
	for _, i := range q.all {
		v := i.View()
		require.Equal(q.t, q.version, v.Table.Version, i.name)
		require.Equal(q.t, q.store.drained, v.DrainedDataCentres, i.name)
		states := map[string]figview.State{}
		for _, s := range v.Servers["p"] {
			if s.RemovedAt.IsZero() {
				states[s.Lifetime()] = s.State
			}
		}
		want := map[string]figview.State{}
		for _, s := range q.store.servers {
			want[s.Lifetime()] = s.State
		}
		require.Equal(q.t, want, states, i.name)
	}
}

// Whatever the order of restorations, changes, cuts and restarts: versions never go back, what has left or is drained gets no
// work from instances that know or must know it, all instances agree in the end, and calls to the store stay few.
func TestSequencesOfRestorations(t *testing.T) {
	for n := range uint64(*sequences) {
		seed := *firstSequence + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					<-time.After(20 * time.Second)
				}()
				q := newSequence(ctx, t, seed)
				began := time.Now()
				for k := 0; time.Since(began) < sequenceTime+calmTime; k++ {
					calm := time.Since(began) >= sequenceTime
					q.disturb(ctx, calm)
					q.operate(calm)
					q.run(calm)
					if k%4 == 0 {
						q.gossip()
					}
					<-time.After(tick)
					q.check()
				}
				q.requireAgreement()
				q.store.mu.Lock()
				defer q.store.mu.Unlock()
				for name, calls := range q.store.calls {
					require.LessOrEqual(t, calls, maxCallRate*int((sequenceTime+calmTime)/time.Second), name)
				}
			})
		})
	}
}
