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
	// beat is the time between two reports, as between real instances.
	beat = 400 * time.Millisecond
)

var strict = Limits{Rate: rate, Burst: burst}

// fleet is some ledgers that report to each other.
type fleet struct {
	ledgers []*Ledger
	// cut says that two ledgers can't hear each other.
	cut func(a, b int) bool
	// spends are the moments at which cost was allowed.
	spends []time.Time
	asked  int
}

func newFleet(n int) *fleet {
	f := &fleet{cut: func(int, int) bool { return false }}
	for range n {
		f.ledgers = append(f.ledgers, New())
	}
	return f
}

func (f *fleet) report(now time.Time) {
	for i, from := range f.ledgers {
		r := from.Report(now)
		for j, to := range f.ledgers {
			if i != j && !f.cut(i, j) {
				to.Heard(now, fmt.Sprint(i), 1, r)
			}
		}
	}
}

func (f *fleet) ask(now time.Time, i int, limits Limits) {
	f.asked++
	if grade, _ := f.ledgers[i].Take(now, "acme", limits, cost); grade != Refused {
		f.spends = append(f.spends, now)
	}
}

// isolated says that an instance hears fewer than half of the others, which then gives
// out nothing of the tolerance.
func (f *fleet) isolated(i int) bool {
	heard := 0
	for j := range f.ledgers {
		if j != i && !f.cut(i, j) {
			heard++
		}
	}
	return heard*2 < len(f.ledgers)-1
}

// most returns the largest sum of any window.
func (f *fleet) most(window time.Duration) float64 {
	most, begin := 0, 0
	for end := range f.spends {
		for f.spends[end].Sub(f.spends[begin]) >= window {
			begin++
		}
		most = max(most, end-begin+1)
	}
	return float64(most * cost)
}

// constellation is a load on one account and a time for which the fleet is parted.
type constellation struct {
	instances int
	// side is how many instances are on the one side from cutAt on, in seconds, for
	// cutFor seconds.
	side, cutAt, cutFor int
	// times is the demand in multiples of the rate.
	times  int
	limits Limits
}

// tolerated returns the strict limits with the part of the tolerance that the product
// gives out.
func tolerated() Limits {
	l := strict
	l.SpareBurst = 0.8 * (0.25*(rate*8+burst) + 190000) / 2
	l.SpareRate = l.SpareBurst / 8
	return l
}

// bound is what operators tolerate in any window.
const (
	window = 8 * time.Second
	bound  = (rate*8+burst)*1.25 + 190000
)

// play sends 24 s of the load to instances that pick chooses.
func (c constellation) play(pick func() int) *fleet {
	f := newFleet(c.instances)
	pause := time.Duration(float64(cost) / (rate * float64(c.times)) * float64(time.Second))
	nextBeat := start
	for now := start; now.Before(start.Add(24 * time.Second)); now = now.Add(pause) {
		second := int(now.Sub(start) / time.Second)
		parted := second >= c.cutAt && second < c.cutAt+c.cutFor
		f.cut = func(a, b int) bool { return parted && (a < c.side) != (b < c.side) }
		if !now.Before(nextBeat) {
			f.report(now)
			nextBeat = nextBeat.Add(beat)
		}
		i := pick()
		limits := c.limits
		if parted && f.isolated(i) {
			limits = strict
		}
		f.ask(now, i, limits)
	}
	return f
}

// What all instances together let through in any 8 s must stay within what operators
// tolerate, whatever the demand, and also while the fleet is parted.
func TestBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := constellation{limits: strict}
		c.instances = rapid.IntRange(2, 9).Draw(t, "instances")
		c.side = rapid.IntRange(0, c.instances).Draw(t, "side")
		// Sides that never heard each other are another matter; see the package comment.
		c.cutAt = rapid.IntRange(3, 20).Draw(t, "cutAt")
		c.cutFor = rapid.IntRange(0, 12).Draw(t, "cutFor")
		c.times = rapid.IntRange(1, 8).Draw(t, "times its rate")
		if rapid.Bool().Draw(t, "tolerance") {
			c.limits = tolerated()
		}
		f := c.play(func() int { return rapid.IntRange(0, c.instances-1).Draw(t, "instance") })
		require.LessOrEqual(t, f.most(window), bound)
	})
}

// Loads far above the rate, found by drawing 3,000 of them: all instances used to find
// room at the same moment, spent it together and stopped together.
func TestBoundFarAboveRate(t *testing.T) {
	for _, c := range []struct {
		seed uint64
		constellation
	}{
		{1649, constellation{instances: 8, side: 5, cutAt: 11, cutFor: 12, times: 8}},
		{505, constellation{instances: 9, side: 1, cutAt: 4, cutFor: 5, times: 8}},
		{588, constellation{instances: 6, side: 1, cutAt: 10, cutFor: 10, times: 7}},
		{1884, constellation{instances: 9, cutAt: 4, cutFor: 11, times: 8}},
		{1211, constellation{instances: 9, side: 7, cutAt: 17, times: 8}},
		{2637, constellation{instances: 9, side: 7, cutAt: 14, cutFor: 10, times: 7}},
		{2137, constellation{instances: 5, side: 2, cutAt: 3, times: 8}},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			c.limits = tolerated()
			random := rand.New(rand.NewPCG(c.seed, 1))
			for range 8 {
				f := c.play(func() int { return random.IntN(c.instances) })
				require.LessOrEqual(t, f.most(window), bound)
				served := float64(len(f.spends)*cost) / 24
				require.GreaterOrEqual(t, served, rate, "what the account has a right to is given out")
			}
		})
	}
}

// An account that sends less than its rate is refused next to nothing, in every
// constellation of instances.
func TestWithinItsRate(t *testing.T) {
	for name, pick := range map[string]func(n int) int{
		"even":   func(n int) int { return n % 9 },
		"skewed": func(n int) int { return n % 10 / 9 },
		"one":    func(int) int { return 0 },
	} {
		f := newFleet(9)
		nextBeat := start
		pause := time.Duration(float64(cost) / (0.8 * rate) * float64(time.Second))
		n := 0
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(pause) {
			if !now.Before(nextBeat) {
				f.report(now)
				nextBeat = nextBeat.Add(beat)
			}
			f.ask(now, pick(n), strict)
			n++
		}
		require.LessOrEqual(t, (f.asked-len(f.spends))*100, f.asked, name)
	}
}

// An instance that can't hear the others leaves them what they used to spend.
func TestSilentPeers(t *testing.T) {
	l := New()
	now := start
	l.Take(now, "acme", strict, 0)
	for i := range 10 {
		now = now.Add(beat)
		l.Heard(now, "other", 1, map[string]int64{"acme": int64(float64(i+1) * rate * 0.9 * beat.Seconds())})
	}
	spent := 0.0
	for end := now.Add(5 * time.Second); now.Before(end); now = now.Add(20 * time.Millisecond) {
		if grade, _ := l.Take(now, "acme", strict, 1000); grade == Within {
			spent += 1000
		}
	}
	require.Less(t, spent, burst+0.2*rate*5)
	now = now.Add(Presume)
	grade, _ := l.Take(now, "acme", strict, cost)
	require.Equal(t, Within, grade, "a peer that stays away is forgotten")
}

func TestTakeAndRefund(t *testing.T) {
	l := New()
	_, wait := l.Take(start, "acme", strict, int64(burst))
	require.Positive(t, wait, "a quarter of the burst at first")
	require.LessOrEqual(t, wait, time.Second)
	grade, _ := l.Take(start.Add(wait+time.Millisecond), "acme", strict, int64(burst))
	require.Equal(t, Within, grade)
	l.Refund(start.Add(wait+time.Millisecond), "acme", int64(burst))
	grade, _ = l.Take(start.Add(wait+time.Millisecond), "acme", strict, int64(burst))
	require.Equal(t, Within, grade, "what did not run is given back")
	require.Equal(t, map[string]int64{"acme": int64(burst)}, l.Report(start.Add(time.Second)))
	grade, _ = l.Take(start, "free", Limits{}, 1<<40)
	require.Equal(t, Within, grade, "no rate is no bound")
	grade, _ = l.Take(start.Add(time.Minute), "acme", strict, 3*int64(burst))
	require.Equal(t, Within, grade, "a request above the burst passes a full bucket")
	lower := Limits{Rate: 10, Burst: 10}
	grade, _ = l.Take(start.Add(time.Minute), "acme", lower, cost)
	require.Equal(t, Refused, grade, "a lower limit binds at once")
	require.Empty(t, l.Report(start.Add(time.Hour)), "unused accounts are forgotten")
	l.Refund(start, "nobody", 1)
}

// The tolerance pays only for what is beyond the rate, and comes back.
func TestSpare(t *testing.T) {
	l := New()
	limits := Limits{Rate: 1000, Burst: 1000, SpareRate: 500, SpareBurst: 4000}
	now := start
	l.Take(now, "acme", limits, 0)
	now = now.Add(time.Minute)
	grades := map[Grade]int{}
	for range 6 {
		grade, _ := l.Take(now, "acme", limits, 1000)
		grades[grade]++
	}
	require.Equal(t, map[Grade]int{Within: 1, Spare: 4, Refused: 1}, grades)
	now = now.Add(time.Second)
	grade, _ := l.Take(now, "acme", limits, 1000)
	require.Equal(t, Within, grade)
	now = now.Add(time.Second)
	l.Take(now, "acme", limits, 1000)
	grade, _ = l.Take(now, "acme", limits, 1000)
	require.Equal(t, Spare, grade)
}

// What another instance reports is charged to the token, whatever was presumed before.
func TestHeardIsCharged(t *testing.T) {
	l := New()
	now := start.Add(time.Minute)
	l.Take(start, "acme", strict, 0)
	l.Heard(now, "other", 1, map[string]int64{"acme": 0})
	l.Heard(now, "other", 1, map[string]int64{"acme": 40000})
	grade, wait := l.Take(now, "acme", strict, 20000)
	require.Equal(t, Refused, grade)
	require.InDelta(t, 0.2, wait.Seconds(), 0.001, "10,000 of 20,000 are left")
	grade, _ = l.Take(now, "acme", strict, 10000)
	require.Equal(t, Within, grade)
}
