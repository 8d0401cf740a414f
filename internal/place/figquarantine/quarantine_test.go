package figquarantine

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// probeInterval is the time between two probes of an instance, which carry its digest.
const probeInterval = 400 * time.Millisecond

// fleet is a group of instances that exchange evidence by function calls.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*node
	cut   func(from, to string) bool
	ended map[string]bool
	sent  int
}

// node is one instance of a fleet.
type node struct {
	*Quarantine

	name string
	stop func()
}

var errCut = errors.New("no path")

func newFleet(size int) *fleet {
	f := &fleet{nodes: map[string]*node{}, cut: func(string, string) bool { return false }, ended: map[string]bool{}}
	for i := range size {
		f.start(fmt.Sprintf("n%03d", i))
	}
	return f
}

// start starts an instance, which probes a random other one at each probeInterval.
func (f *fleet) start(name string) *node {
	clock := figtimer.System()
	timer := figtimer.New(clock)
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{name: name, stop: cancel}
	n.Quarantine = New(Options{
		Clock: clock, Timer: timer, Peers: func() []figview.Member { return f.peers(name) },
		MayTry: func(string) bool { return false },
		HasEnded: func(_ context.Context, s *figcatalogue.Server) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.ended[s.Name]
		},
		Exchange: func(ctx context.Context, to figview.Member, u *Update) (*Update, error) {
			other, err := f.reach(name, to.Name)
			if err != nil {
				return nil, err
			}
			return other.HandleExchange(ctx, u)
		},
	})
	f.mu.Lock()
	f.nodes[name] = n
	f.mu.Unlock()
	go func() { _ = n.Run(ctx) }()
	go func() {
		time.Sleep(time.Duration(rand.Float64() * float64(probeInterval)))
		for range timer.Subscribe(ctx, probeInterval) {
			peers := f.peers(name)
			if len(peers) == 0 {
				continue
			}
			go func() {
				if other, err := f.reach(name, peers[0].Name); err == nil {
					other.OnDigest(figview.Member{Name: name}, n.Digest())
					n.OnDigest(peers[0], other.Digest())
				}
			}()
		}
	}()
	return n
}

// reach returns another instance after a network delay, or errCut after the timeout of a call.
func (f *fleet) reach(from, to string) (*node, error) {
	time.Sleep(time.Millisecond)
	f.mu.Lock()
	f.sent++
	other, ok := f.nodes[to]
	cut := f.cut(from, to)
	f.mu.Unlock()
	if !ok || cut {
		time.Sleep(exchangeTimeout)
		return nil, errCut
	}
	return other, nil
}

func (f *fleet) peers(name string) []figview.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := make([]figview.Member, 0, len(f.nodes))
	for other := range f.nodes {
		if other != name {
			all = append(all, figview.Member{Name: other})
		}
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func (f *fleet) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// stopAll stops all instances and waits for what they have begun.
func (f *fleet) stopAll() {
	f.mu.Lock()
	for _, n := range f.nodes {
		n.stop()
	}
	f.mu.Unlock()
	time.Sleep(investigationTime + exchangeTimeout)
}

// crash ends a server on a prompt that the instance called name sent to it, while others began to answer
// harmless prompts there.
func (f *fleet) crash(server, name string, bystanders ...string) {
	s := f.end(server)
	f.nodes[name].Suspect(s, []string{common, harmful}, 0)
	for _, other := range bystanders {
		f.nodes[other].Suspect(s, []string{common, document}, 0)
	}
}

// end ends a server and returns it.
func (f *fleet) end(name string) *figcatalogue.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended[name] = true
	return &figcatalogue.Server{Server: figview.Server{Name: name, Pool: pool}}
}

// calls returns the number of calls between instances.
func (f *fleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sent
}

// knowing returns how many of the instances quarantine exactly the harmful part.
func (f *fleet) knowing() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, node := range f.nodes {
		if slices.Equal(node.Quarantined(), []string{harmful}) {
			n++
		}
	}
	return n
}

// Crashes that single instances saw must lead to a quarantine at all instances within the propagation time.
func TestAllInstancesQuarantine(t *testing.T) {
	for size, propagation := range map[int]time.Duration{1: 3 * time.Second, 9: 3 * time.Second, 195: 5 * time.Second, 480: 8 * time.Second} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(size)
				defer f.stopAll()
				for i := range crashThreshold {
					other := fmt.Sprintf("n%03d", (i+1)%size)
					f.crash(fmt.Sprint("s", i), fmt.Sprintf("n%03d", i%size), other)
					time.Sleep(100 * time.Millisecond)
				}
				before := f.calls()
				time.Sleep(propagation)
				require.Equal(t, size, f.knowing())
				require.LessOrEqual(t, f.calls()-before, size*(3*pushTargets+2*int(propagation/probeInterval)+2))
			})
		})
	}
}

// An instance that was cut off, or that has just started, must learn of a quarantine from any other one,
// even after those that saw the crashes have ended.
func TestLateInstancesLearn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9)
		defer f.stopAll()
		f.setCut(func(from, to string) bool { return (from < "n003") != (to < "n003") })
		for i := range crashThreshold {
			f.crash(fmt.Sprint("s", i), "n000", "n001")
		}
		time.Sleep(3 * time.Second)
		require.Equal(t, 3, f.knowing())
		f.setCut(func(string, string) bool { return false })
		time.Sleep(3 * time.Second)
		require.Equal(t, 9, f.knowing())
		for _, name := range []string{"n000", "n001", "n002"} {
			f.mu.Lock()
			f.nodes[name].stop()
			delete(f.nodes, name)
			f.mu.Unlock()
		}
		f.start("new")
		time.Sleep(3 * time.Second)
		require.Equal(t, 7, f.knowing())
	})
}

// Crashes that are seen on both sides of a partition must add up when it ends.
func TestEvidenceOfBothSidesAddsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9)
		defer f.stopAll()
		f.setCut(func(from, to string) bool { return (from < "n004") != (to < "n004") })
		f.crash("s0", "n000")
		f.crash("s1", "n008")
		f.crash("s2", "n007")
		time.Sleep(3 * time.Second)
		require.Zero(t, f.knowing())
		f.setCut(func(string, string) bool { return false })
		time.Sleep(3 * time.Second)
		require.Equal(t, 9, f.knowing())
	})
}

// Servers that end together for another reason must not quarantine a part that is answered elsewhere.
func TestMassCrashQuarantinesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(9)
		defer f.stopAll()
		f.nodes["n004"].RecordAnswer(pool, []string{common}, time.Second)
		for i := range 40 {
			f.nodes[fmt.Sprintf("n%03d", i%9)].Suspect(f.end(fmt.Sprint("s", i)), []string{common}, 0)
		}
		for range 400 {
			time.Sleep(5 * time.Millisecond)
			for _, n := range f.nodes {
				require.Empty(t, n.Quarantined())
			}
		}
	})
}

// A broken connection counts only if the server turns out to have ended, and then also for prompts whose
// connections break later.
func TestOnlyEndedServersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.stopAll()
		n := f.nodes["n000"]
		s := &figcatalogue.Server{Server: figview.Server{Name: "s0"}}
		n.Suspect(s, []string{harmful}, 0)
		time.Sleep(investigationTime + checkInterval)
		require.Zero(t, n.Len())

		n.Suspect(s, []string{harmful}, 0)
		time.Sleep(investigationTime / 2)
		f.end("s0")
		time.Sleep(2 * checkInterval)
		require.Equal(t, 1, n.Len())
		n.Suspect(s, []string{document}, 0)
		require.Equal(t, 2, n.Len())
		time.Sleep(investigationTime)
	})
}

// A flood of broken connections must not start a check for each.
func TestInvestigationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := figtimer.System()
		timer := figtimer.New(clock)
		var running, most atomic.Int64
		q := New(Options{
			Clock: clock, Timer: timer, Peers: func() []figview.Member { return nil },
			HasEnded: func(ctx context.Context, _ *figcatalogue.Server) bool {
				most.Store(max(most.Load(), running.Add(1)))
				defer running.Add(-1)
				<-ctx.Done()
				return false
			},
		})
		for i := range 100 * maxInvestigations {
			q.Suspect(&figcatalogue.Server{Server: figview.Server{Name: fmt.Sprint("s", i%200), Pool: pool}}, []string{harmful}, 0)
		}
		synctest.Wait()
		require.EqualValues(t, maxInvestigations, most.Load())
		q.mu.Lock()
		for _, i := range q.investigations {
			require.LessOrEqual(t, len(i.prompts), maxPrompts)
		}
		q.mu.Unlock()
		time.Sleep(investigationTime + checkInterval)
		q.mu.Lock()
		defer q.mu.Unlock()
		require.Empty(t, q.investigations)
	})
}
