package figlimiter

import (
	"math"
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
)

var strict = Limits{Rate: rate, Burst: burst}

// A bucket must allow at most the bound of the package comment in any window, whatever the demand, and an account that
// keeps to its rate must not be refused.
func TestBound(t *testing.T) {
	const window = 8 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := strict
		if rapid.Bool().Draw(t, "tolerance") {
			limits.ToleratedBurst = rapid.Float64Range(0, 4*burst).Draw(t, "tolerated")
			limits.ToleratedRate = limits.ToleratedBurst / window.Seconds()
		}
		bound := (limits.Rate+limits.ToleratedRate)*window.Seconds() + limits.Burst + limits.ToleratedBurst
		l := New()
		var at []time.Time
		var costs []int64
		now := start
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			c := rapid.Int64Range(1, 2*cost).Draw(t, "cost")
			if decision, _ := l.Take(now, "acme", limits, c); decision != Refused {
				at, costs = append(at, now), append(costs, c)
			}
		}
		for i := range at {
			sum := 0.0
			for j := i; j < len(at) && at[j].Sub(at[i]) < window; j++ {
				sum += float64(costs[j])
			}
			require.LessOrEqual(t, sum, bound+1)
		}
	})
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
	decision, _ = l.Take(start, "free", Limits{}, 1<<40)
	require.Equal(t, WithinLimits, decision, "a zero rate must be unlimited")
	decision, _ = l.Take(start.Add(time.Minute), "acme", strict, 3*int64(burst))
	require.Equal(t, WithinLimits, decision, "a cost above the burst must be allowed from a full bucket")
	lower := Limits{Rate: 10, Burst: 10}
	decision, _ = l.Take(start.Add(time.Minute), "acme", lower, cost)
	require.Equal(t, Refused, decision, "a lower limit must apply at once")
	l.Take(start.Add(time.Hour), "other", strict, 1)
	require.Equal(t, 1, l.Len(), "idle accounts must be deleted")
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

// A bucket that moves must keep its level, less what both limiters charged meanwhile, and change no older bucket.
func TestMove(t *testing.T) {
	limits := Limits{Rate: 100, Burst: 100}
	now := time.Unix(1000, 0)
	from, to := New(), New()
	from.Take(now, "acme", limits, 0)
	now = now.Add(time.Second)
	_, _ = from.Take(now, "acme", limits, 10)
	d, _ := to.Take(now, "acme", limits, 20)
	require.Equal(t, WithinLimits, d)
	states := from.States(now)
	require.Equal(t, []State{{Account: "acme", Limits: limits, Level: 90, spent: 10}}, states)
	to.MoveIn(now, &states[0])
	from.MoveOut(now, &states[0])
	require.Empty(t, from.States(now))
	d, wait := to.Take(now, "acme", limits, 71)
	require.Equal(t, Refused, d)
	require.Equal(t, 10*time.Millisecond, wait)
	d, _ = to.Take(now, "acme", limits, 70)
	require.Equal(t, WithinLimits, d)
	d, _ = from.Take(now, "acme", limits, 1)
	require.Equal(t, Refused, d)

	to.MoveIn(now, &states[0])
	d, _ = to.Take(now, "acme", limits, 1)
	require.Equal(t, Refused, d, "moved before")
	later := New()
	later.Take(now, "acme", limits, 25)
	now = now.Add(maxNewAge + time.Second)
	later.MoveIn(now, &State{Account: "acme", Limits: limits, Level: -50})
	d, _ = later.Take(now, "acme", limits, 100)
	require.Equal(t, WithinLimits, d, "older than a new bucket")
}

// A state that no limiter has had must change nothing.
func TestInvalidMove(t *testing.T) {
	l := New()
	limits := Limits{Rate: 100, Burst: 100}
	for _, s := range []State{
		{},
		{Account: "a"},
		{Account: "a", Limits: limits, Level: 101},
		{Account: "a", Limits: limits, Level: math.NaN()},
		{Account: "a", Limits: limits, Tolerated: -1},
		{Account: "a", Limits: limits, Tolerated: 1},
	} {
		l.MoveIn(time.Unix(1000, 0), &s)
		require.Zero(t, l.Len())
	}
}
