package figlimiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

const (
	rate  = 50000.0
	burst = 50000.0
	cost  = 5000
	// reportInterval is the time between two reports, the same as between real instances.
	reportInterval = 400 * time.Millisecond
)

var strict = Limits{Rate: rate, Burst: burst}

// fleet is a group of limiters that report to each other and the costs that they allowed.
type fleet struct {
	limiters []*Limiter
	// partitioned returns whether limiters a and b receive no reports from each other.
	partitioned func(a, b int) bool
	// spends are the times at which a request was allowed, each for the same cost.
	spends   []time.Time
	requests int
}

func newFleet(n int) *fleet {
	f := &fleet{partitioned: func(int, int) bool { return false }}
	for range n {
		f.limiters = append(f.limiters, New())
	}
	return f
}

// report sends each limiter's report to all limiters that can receive it.
func (f *fleet) report(now time.Time) {
	for i, from := range f.limiters {
		r := from.Report(now)
		for j, to := range f.limiters {
			if i != j && !f.partitioned(i, j) {
				to.ApplyReport(now, fmt.Sprint(i), 1, r)
			}
		}
	}
}

// take asks limiter i to allow one request.
func (f *fleet) take(now time.Time, i int, limits Limits) {
	f.requests++
	if decision, _ := f.limiters[i].Take(now, "acme", limits, cost); decision != Refused {
		f.spends = append(f.spends, now)
	}
}

// isolated returns whether instance i receives reports from fewer than half of the other instances. Such an instance
// grants no tolerance.
func (f *fleet) isolated(i int) bool {
	reporting := 0
	for j := range f.limiters {
		if j != i && !f.partitioned(i, j) {
			reporting++
		}
	}
	return reporting*2 < len(f.limiters)-1
}

// maxSpent returns the largest sum that was allowed in any window of the given length.
func (f *fleet) maxSpent(window time.Duration) float64 {
	maxCount, begin := 0, 0
	for end := range f.spends {
		for f.spends[end].Sub(f.spends[begin]) >= window {
			begin++
		}
		maxCount = max(maxCount, end-begin+1)
	}
	return float64(maxCount * cost)
}

// scenario is a load on one account and the time for which a partition splits the fleet.
type scenario struct {
	instances int
	// The first sideSize instances are one side of the partition, which begins partitionAt seconds after the start and
	// lasts partitionFor seconds.
	sideSize, partitionAt, partitionFor int
	// demand is the load in multiples of the rate.
	demand int
	limits Limits
}

// tolerated returns the strict limits plus the part of the tolerance that instances grant.
func tolerated() Limits {
	l := strict
	l.ToleratedBurst = 0.8 * (0.25*(rate*8+burst) + 190000) / 2
	l.ToleratedRate = l.ToleratedBurst / 8
	return l
}

// bound is the largest sum that operators tolerate in any window.
const (
	window = 8 * time.Second
	bound  = (rate*8+burst)*1.25 + 190000
)

// run sends the load for 24 s, each request to the instance that pick returns.
func (c scenario) run(pick func() int) *fleet {
	f := newFleet(c.instances)
	pause := time.Duration(float64(cost) / (rate * float64(c.demand)) * float64(time.Second))
	nextReport := start
	for now := start; now.Before(start.Add(24 * time.Second)); now = now.Add(pause) {
		second := int(now.Sub(start) / time.Second)
		isPartitioned := second >= c.partitionAt && second < c.partitionAt+c.partitionFor
		f.partitioned = func(a, b int) bool { return isPartitioned && (a < c.sideSize) != (b < c.sideSize) }
		if !now.Before(nextReport) {
			f.report(now)
			nextReport = nextReport.Add(reportInterval)
		}
		i := pick()
		limits := c.limits
		if isPartitioned && f.isolated(i) {
			limits = strict
		}
		f.take(now, i, limits)
	}
	return f
}

// All instances together must allow at most what operators tolerate in any 8 s, for any demand and also during a
// partition.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := scenario{limits: strict}
		c.instances = rapid.IntRange(2, 9).Draw(t, "instances")
		c.sideSize = rapid.IntRange(0, c.instances).Draw(t, "side")
		// The partition begins after the first reports. The bound doesn't hold for sides that have never received each
		// other's reports; see the package comment.
		c.partitionAt = rapid.IntRange(3, 20).Draw(t, "cutAt")
		c.partitionFor = rapid.IntRange(0, 12).Draw(t, "cutFor")
		c.demand = rapid.IntRange(1, 8).Draw(t, "times its rate")
		if rapid.Bool().Draw(t, "tolerance") {
			c.limits = tolerated()
		}
		f := c.run(func() int { return rapid.IntRange(0, c.instances-1).Draw(t, "instance") })
		require.LessOrEqual(t, f.maxSpent(window), bound)
	})
}

// These loads far above the rate exceeded the bound: all instances saw a refilled bucket at the same time, spent it
// together and stopped together.
func TestBoundFarAboveRate(t *testing.T) {
	for _, c := range []struct {
		seed uint64
		scenario
	}{
		{1649, scenario{instances: 8, sideSize: 5, partitionAt: 11, partitionFor: 12, demand: 8}},
		{505, scenario{instances: 9, sideSize: 1, partitionAt: 4, partitionFor: 5, demand: 8}},
		{588, scenario{instances: 6, sideSize: 1, partitionAt: 10, partitionFor: 10, demand: 7}},
		{1884, scenario{instances: 9, partitionAt: 4, partitionFor: 11, demand: 8}},
		{1211, scenario{instances: 9, sideSize: 7, partitionAt: 17, demand: 8}},
		{2637, scenario{instances: 9, sideSize: 7, partitionAt: 14, partitionFor: 10, demand: 7}},
		{2137, scenario{instances: 5, sideSize: 2, partitionAt: 3, demand: 8}},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			c.limits = tolerated()
			random := rand.New(rand.NewPCG(c.seed, 1))
			for range 8 {
				f := c.run(func() int { return random.IntN(c.instances) })
				require.LessOrEqual(t, f.maxSpent(window), bound)
				served := float64(len(f.spends)*cost) / 24
				require.GreaterOrEqual(t, served, rate, "the account must get at least its rate")
			}
		})
	}
}

// An account that sends 80% of its rate has at most 1% of its requests refused, however they are spread over instances.
func TestAccountWithinItsRateIsNotRefused(t *testing.T) {
	for name, pick := range map[string]func(n int) int{
		"even":   func(n int) int { return n % 9 },
		"skewed": func(n int) int { return n % 10 / 9 },
		"one":    func(int) int { return 0 },
	} {
		f := newFleet(9)
		nextReport := start
		pause := time.Duration(float64(cost) / (0.8 * rate) * float64(time.Second))
		n := 0
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(pause) {
			if !now.Before(nextReport) {
				f.report(now)
				nextReport = nextReport.Add(reportInterval)
			}
			f.take(now, pick(n), strict)
			n++
		}
		require.LessOrEqual(t, (f.requests-len(f.spends))*100, f.requests, name)
	}
}

// An instance that no longer receives a peer's reports still leaves the peer's last rate unspent for MaxExtrapolation.
func TestUnreachablePeerKeepsItsRate(t *testing.T) {
	l := New()
	now := start
	l.Take(now, "acme", strict, 0)
	for i := range 10 {
		now = now.Add(reportInterval)
		l.ApplyReport(now, "other", 1, map[string]int64{"acme": int64(float64(i+1) * rate * 0.9 * reportInterval.Seconds())})
	}
	spent := 0.0
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if decision, _ := l.Take(now, "acme", strict, 1000); decision == WithinLimits {
			spent += 1000
		}
	}
	require.Less(t, spent, burst+0.2*rate*5)
	now = now.Add(MaxExtrapolation)
	decision, _ := l.Take(now, "acme", strict, cost)
	require.Equal(t, WithinLimits, decision, "a peer without reports must be forgotten")
}

func TestTakeAndRefund(t *testing.T) {
	l := New()
	_, wait := l.Take(start, "acme", strict, int64(burst))
	require.Positive(t, wait, "a new bucket must hold only a quarter of the burst")
	require.LessOrEqual(t, wait, time.Second)
	decision, _ := l.Take(start.Add(wait+time.Millisecond), "acme", strict, int64(burst))
	require.Equal(t, WithinLimits, decision)
	l.Refund(start.Add(wait+time.Millisecond), "acme", int64(burst))
	decision, _ = l.Take(start.Add(wait+time.Millisecond), "acme", strict, int64(burst))
	require.Equal(t, WithinLimits, decision, "the refund must restore the level")
	require.Equal(t, map[string]int64{"acme": int64(burst)}, l.Report(start.Add(time.Second)))
	decision, _ = l.Take(start, "free", Limits{}, 1<<40)
	require.Equal(t, WithinLimits, decision, "a zero rate must be unlimited")
	decision, _ = l.Take(start.Add(time.Minute), "acme", strict, 3*int64(burst))
	require.Equal(t, WithinLimits, decision, "a cost above the burst must be allowed from a full bucket")
	lower := Limits{Rate: 10, Burst: 10}
	decision, _ = l.Take(start.Add(time.Minute), "acme", lower, cost)
	require.Equal(t, Refused, decision, "a lower limit must apply at once")
	require.Empty(t, l.Report(start.Add(time.Hour)), "idle accounts must be deleted")
	l.Refund(start, "nobody", 1)
}

// The tolerance pays only for spending beyond rate and burst, and refills.
func TestTolerance(t *testing.T) {
	l := New()
	limits := Limits{Rate: 1000, Burst: 1000, ToleratedRate: 500, ToleratedBurst: 4000}
	now := start
	l.Take(now, "acme", limits, 0)
	now = now.Add(time.Minute)
	decisions := map[Decision]int{}
	for range 6 {
		decision, _ := l.Take(now, "acme", limits, 1000)
		decisions[decision]++
	}
	require.Equal(t, map[Decision]int{WithinLimits: 1, Tolerated: 4, Refused: 1}, decisions)
	now = now.Add(time.Second)
	decision, _ := l.Take(now, "acme", limits, 1000)
	require.Equal(t, WithinLimits, decision)
	now = now.Add(time.Second)
	l.Take(now, "acme", limits, 1000)
	decision, _ = l.Take(now, "acme", limits, 1000)
	require.Equal(t, Tolerated, decision)
}

// The spending that another instance reports is charged exactly, whatever was extrapolated before.
func TestReportIsCharged(t *testing.T) {
	l := New()
	now := start.Add(time.Minute)
	l.Take(start, "acme", strict, 0)
	l.ApplyReport(now, "other", 1, map[string]int64{"acme": 0})
	l.ApplyReport(now, "other", 1, map[string]int64{"acme": 40000})
	decision, wait := l.Take(now, "acme", strict, 20000)
	require.Equal(t, Refused, decision)
	require.InDelta(t, 0.2, wait.Seconds(), 0.001, "the bucket must have 10,000 left of the cost of 20,000")
	decision, _ = l.Take(now, "acme", strict, 10000)
	require.Equal(t, WithinLimits, decision)
}
