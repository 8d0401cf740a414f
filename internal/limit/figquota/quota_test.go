package figquota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figassign"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

const (
	rate   = 50000.0
	burst  = 50000.0
	window = 8 * time.Second
	// tolerated is what operators tolerate in any window, in tokens.
	tolerated = (rate*8+burst)*1.25 + 190000
)

var errSilent = errors.New("instance does not answer")

// limits returns the limits that the proxy derives from a rate, with 0.8 of the tolerance.
func limits() figlimiter.Limits {
	half := 0.8 * (tolerated - rate*8 - burst) / 2
	return figlimiter.Limits{Rate: rate, Burst: burst, ToleratedBurst: half, ToleratedRate: half / 8}
}

// fleet is a group of instances that call each other, with lists of members as membership would give
// them.
type fleet struct {
	mu      sync.Mutex
	all     map[string]*Quota
	members map[string][]figdiscovery.Member
	epoch   uint64
	// fraction is the present fraction of members at each instance; settled whether lists are complete.
	fraction map[string]float64
	settled  bool
	// notOwners holds the instances that start or shut down.
	notOwners map[string]bool
	cut       func(a, b string) bool
	names     []string

	spends []spend
	wanted int
}

type spend struct {
	at   time.Time
	cost int64
}

func newFleet(ctx context.Context, size int) *fleet {
	f := &fleet{all: map[string]*Quota{}, members: map[string][]figdiscovery.Member{}, fraction: map[string]float64{}, settled: true}
	f.cut = func(string, string) bool { return false }
	members := make([]figdiscovery.Member, 0, size)
	for i := range size {
		name := fmt.Sprintf("i%03d", i)
		f.names = append(f.names, name)
		members = append(members, figdiscovery.Member{Name: name, MemoryMB: 112})
	}
	for _, name := range f.names {
		f.members[name], f.fraction[name] = members, 1
		f.start(ctx, name)
	}
	return f
}

// start starts an instance, which has no buckets.
func (f *fleet) start(ctx context.Context, name string) {
	q := New(Options{
		Clock: figtimer.System(), Timer: figtimer.New(figtimer.System()),
		Assigner: figassign.New(figassign.Options{
			Self: name, Clock: figtimer.System(),
			Members: func() []figdiscovery.Member { f.mu.Lock(); defer f.mu.Unlock(); return f.members[name] },
			Epoch:   func() uint64 { f.mu.Lock(); defer f.mu.Unlock(); return f.epoch },
		}),
		Call: func(ctx context.Context, to figdiscovery.Member, c *Charge) (*Verdict, error) {
			if q := f.reach(ctx, name, to); q != nil {
				return q.Handle(ctx, c)
			}
			return nil, errSilent
		},
		SendMove: func(ctx context.Context, to figdiscovery.Member, m *Move) (*MoveAnswer, error) {
			if q := f.reach(ctx, name, to); q != nil {
				return q.HandleMove(ctx, m)
			}
			return nil, errSilent
		},
		MayOwn:          func(time.Time) bool { f.mu.Lock(); defer f.mu.Unlock(); return f.settled && !f.notOwners[name] },
		Settled:         func(time.Time) bool { f.mu.Lock(); defer f.mu.Unlock(); return f.settled },
		PresentFraction: func(time.Time) float64 { f.mu.Lock(); defer f.mu.Unlock(); return f.fraction[name] },
		Members:         func(time.Time) int { return len(f.names) },
	})
	f.mu.Lock()
	f.all[name] = q
	f.mu.Unlock()
	go func() { _ = q.Run(ctx) }()
	go func() { _ = q.RunMoves(ctx, q.Timer) }()
}

// reach returns an instance that another one calls, after the time that this takes; nil if it doesn't answer.
func (f *fleet) reach(ctx context.Context, from string, to figdiscovery.Member) *Quota {
	f.mu.Lock()
	q, cut := f.all[to.Name], f.cut(from, to.Name)
	f.mu.Unlock()
	if q == nil || cut {
		<-ctx.Done()
		return nil
	}
	<-time.After(time.Millisecond)
	return q
}

// stopOwners stops the first owners of the account and starts them again, for some time. They leave the lists of members
// at once and come back to them before they own accounts.
func (f *fleet) stopOwners(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		ranked := f.all[f.names[0]].owners("acme")[:2]
		stopping := map[string]bool{ranked[0].Name: true, ranked[1].Name: true}
		f.mu.Lock()
		f.notOwners = stopping
		f.mu.Unlock()
		f.setMembers(slices.DeleteFunc(slices.Clone(f.names), func(name string) bool { return stopping[name] }))
		<-time.After(1500 * time.Millisecond)
		for name := range stopping {
			f.start(ctx, name)
		}
		f.setMembers(f.names)
		f.mu.Lock()
		for name := range stopping {
			f.fraction[name] = 1 / float64(len(f.names))
		}
		f.mu.Unlock()
		<-time.After(time.Second)
		f.mu.Lock()
		f.notOwners = nil
		for name := range stopping {
			f.fraction[name] = 1
		}
		f.mu.Unlock()
		<-time.After(1500 * time.Millisecond)
	}
}

// setMembers gives the instances called names a list of just each other, and that list to those that shut down.
func (f *fleet) setMembers(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	members := make([]figdiscovery.Member, 0, len(names))
	for _, name := range names {
		members = append(members, figdiscovery.Member{Name: name, MemoryMB: 112})
	}
	for _, name := range names {
		f.members[name], f.fraction[name] = members, float64(len(names))/float64(len(f.names))
	}
	for name := range f.notOwners {
		f.members[name] = members
	}
}

func (f *fleet) take(ctx context.Context, name string, cost int64) figlimiter.Decision {
	f.mu.Lock()
	q := f.all[name]
	f.wanted++
	f.mu.Unlock()
	g := q.Take(ctx, "acme", limits(), cost)
	if g.Decision != figlimiter.Refused {
		f.mu.Lock()
		f.spends = append(f.spends, spend{time.Now(), cost})
		f.mu.Unlock()
	}
	return g.Decision
}

// load sends a load of a multiple of the rate for some time from random ones of the names.
func (f *fleet) load(ctx context.Context, r *rand.Rand, names []string, times float64, d time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		cost := int64(500 + r.IntN(10000))
		name := names[r.IntN(len(names))]
		all.Go(func() { f.take(ctx, name, cost) })
		<-time.After(time.Duration(r.ExpFloat64() * float64(cost) / (rate * times) * float64(time.Second)))
	}
	all.Wait()
}

// maxSpent returns the largest sum that was granted in any window.
func (f *fleet) maxSpent() float64 {
	var most, sum int64
	begin := 0
	for _, s := range f.spends {
		sum += s.cost
		for s.at.Sub(f.spends[begin].at) >= window {
			sum -= f.spends[begin].cost
			begin++
		}
		most = max(most, sum)
	}
	return float64(most)
}

func run(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		test(ctx, t)
		cancel()
		<-time.After(5 * time.Second)
	})
}

// An account that keeps to its rate, with bursts of up to 2.2 times its usual 0.55 of it, has no more
// than 1 in 1,000 requests refused, however many instances there are.
func TestAccountWithinItsRateIsNotRefused(t *testing.T) {
	for _, size := range []int{1, 9, 195, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T) {
				f := newFleet(ctx, size)
				r := rand.New(rand.NewPCG(uint64(size), 1))
				f.load(ctx, r, f.names, 0.1, 20*time.Second) // the bucket of a new owner fills up
				f.spends, f.wanted = nil, 0
				for _, times := range []float64{1, 1.7, 1, 2.2, 1, 1.8, 1} {
					f.load(ctx, r, f.names, 0.55*times, 5*time.Second)
				}
				refused := f.wanted - len(f.spends)
				t.Logf("%d of %d refused", refused, f.wanted)
				require.LessOrEqual(t, refused*1000, f.wanted)
			})
		})
	}
}

// At many times its rate, an account gets no more than operators tolerate in any window, and no less
// than its rate: while nothing happens, while a third of the fleet is cut off before and after that is
// noticed, and when half of the fleet has died.
func TestBound(t *testing.T) {
	for _, size := range []int{9, 195} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(size, seed), func(t *testing.T) {
				run(t, func(ctx context.Context, t *testing.T) {
					f := newFleet(ctx, size)
					r := rand.New(rand.NewPCG(seed, 2))
					f.load(ctx, r, f.names, 8, 20*time.Second)
					served := 0.0
					for _, s := range f.spends {
						served += float64(s.cost)
					}
					require.GreaterOrEqual(t, served, 19*rate)
					small, large := f.names[:size/3], f.names[size/3:]
					f.mu.Lock()
					f.cut = func(a, b string) bool { return (a < large[0]) != (b < large[0]) }
					f.mu.Unlock()
					f.load(ctx, r, f.names, 8, 6*time.Second) // not noticed yet
					f.setMembers(small)
					f.setMembers(large)
					f.load(ctx, r, f.names, 8, 12*time.Second)
					f.mu.Lock()
					f.cut = func(string, string) bool { return false }
					f.mu.Unlock()
					f.setMembers(f.names)
					f.load(ctx, r, f.names, 8, 10*time.Second)
					f.setMembers(f.names[:size/2])
					f.load(ctx, r, f.names[:size/2], 8, 10*time.Second)
					t.Logf("%.0f of %.0f", f.maxSpent(), float64(tolerated))
					require.LessOrEqual(t, f.maxSpent(), float64(tolerated))
				})
			})
		}
	}
}

// An account that keeps to its rate, with bursts, must be served while its owners stop and start again, and one that asks
// for many times its rate must get no more than operators tolerate in any window.
func TestOwnersStopAndStart(t *testing.T) {
	const runTime = 40 * time.Second
	for _, size := range []int{9, 195} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(size, seed), func(t *testing.T) {
				run(t, func(ctx context.Context, t *testing.T) {
					f := newFleet(ctx, size)
					r := rand.New(rand.NewPCG(seed, 3))
					f.load(ctx, r, f.names, 0.1, 20*time.Second)
					f.spends, f.wanted = nil, 0
					var stops sync.WaitGroup
					stops.Go(func() { f.stopOwners(ctx, runTime) })
					for range 4 {
						for _, times := range []float64{0.4, 0.85} {
							f.load(ctx, r, f.names, times, 5*time.Second)
						}
					}
					stops.Wait()
					refused := f.wanted - len(f.spends)
					t.Logf("%d of %d refused", refused, f.wanted)
					require.LessOrEqual(t, refused*1000, 5*f.wanted)
					stops.Go(func() { f.stopOwners(ctx, runTime) })
					f.load(ctx, r, f.names, 8, runTime)
					stops.Wait()
					t.Logf("%.0f of %.0f", f.maxSpent(), float64(tolerated))
					require.LessOrEqual(t, f.maxSpent(), float64(tolerated))
				})
			})
		}
	}
}

// An owner that doesn't answer delays a request by callTimeout at most, and for the other requests of
// the instance the second owner decides at once. With no owner left, the instance grants its own part.
func TestSilentOwners(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleet(ctx, 9)
		owners := f.all["i000"].owners("acme")
		asker := "i000"
		for _, name := range f.names {
			if name != owners[0].Name && name != owners[1].Name {
				asker = name
			}
		}
		for n, silent := range []map[string]bool{{owners[0].Name: true}, {owners[0].Name: true, owners[1].Name: true}} {
			<-time.After(2 * time.Second)
			f.mu.Lock()
			f.cut = func(_, b string) bool { return silent[b] }
			f.mu.Unlock()
			begun := time.Now()
			for range 4 {
				require.Equal(t, figlimiter.WithinLimits, f.take(ctx, asker, 100))
			}
			require.LessOrEqual(t, time.Since(begun), time.Duration(n+1)*callTimeout+20*time.Millisecond)
		}
		require.Equal(t, uint64(4), f.all[asker].Alone.Load())
		require.Equal(t, figlimiter.Refused, f.take(ctx, asker, int64(burst/2)), "no more than its own part")
	})
}

// A refund reaches the bucket that was charged, and a request waits at a starting instance until the
// list of members is complete.
func TestRefundAndStart(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleet(ctx, 9)
		<-time.After(time.Second)
		for _, name := range f.names {
			f.take(ctx, name, 1)
		}
		<-time.After(time.Minute)
		full := int64(burst + limits().ToleratedBurst)
		for _, name := range f.names {
			g := f.all[name].Take(ctx, "acme", limits(), full)
			require.NotEqual(t, figlimiter.Refused, g.Decision, name)
			require.Equal(t, figlimiter.Refused, f.all[name].Take(ctx, "acme", limits(), full/2).Decision)
			f.all[name].Refund(g)
			<-time.After(20 * time.Second)
		}
		f.mu.Lock()
		f.settled = false
		f.mu.Unlock()
		go func() {
			<-time.After(300 * time.Millisecond)
			f.mu.Lock()
			f.settled = true
			f.mu.Unlock()
		}()
		begun := time.Now()
		f.take(ctx, "i003", 10)
		require.InDelta(t, 0.3, time.Since(begun).Seconds(), 0.1)
	})
}

// A charge that names no account, or less than nothing, changes nothing.
func TestInvalidCharge(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		q := newFleet(ctx, 1).all["i000"]
		for _, c := range []*Charge{{}, {Account: "acme", Cost: -1, Limits: limits()}, {Account: "acme", Cost: -1, Refund: true}} {
			v, err := q.Handle(ctx, c)
			require.NoError(t, err)
			require.Equal(t, figlimiter.Refused, v.Decision)
		}
		require.Zero(t, q.buckets.Len())
	})
}
