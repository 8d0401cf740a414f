package figsimulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	traceLength = 120 * time.Second
	traceSeed   = 11
)

var loads = []float64{0.5, 0.8, 1.0, 1.3, 2.0}

func deployments() []*Deployment { return []*Deployment{Huber(), Loudhailer()} }

// BenchmarkCompare prints the table of all policies on the same traces.
func BenchmarkCompare(b *testing.B) {
	for b.Loop() {
		fmt.Println(Header)
		for _, d := range deployments() {
			for _, s := range Scenarios {
				for _, load := range loads {
					t := NewTrace(d, load, traceLength, traceSeed)
					for _, p := range Policies {
						fmt.Println(Run(d, t, p, s))
					}
				}
			}
		}
	}
}

func run(t *testing.T, d *Deployment, load float64, p Policy, s Scenario) Result {
	t.Helper()
	r := Run(d, NewTrace(d, load, traceLength, traceSeed), p, s)
	t.Log("\n" + Header + "\n" + r.String())
	return r
}

// Within the capacity, nearly all that comes is answered in time, for every
// account, and hardly any prefill is wasted.
func TestGoodputWithinCapacity(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.Name, func(t *testing.T) {
			r := run(t, d, 0.8, Figtrail, Healthy)
			require.GreaterOrEqual(t, r.Goodput, 0.95*r.Offered)
			require.GreaterOrEqual(t, r.LowestAccountGoodShare, 0.95)
			require.GreaterOrEqual(t, r.PlainGoodShare, 0.95)
			require.Less(t, r.WastedShare, 0.01)
			require.Less(t, r.FirstTokenP95, d.FirstTokenTarget)
			require.Less(t, r.BetweenTokensP95, d.BetweenTokensTarget)
		})
	}
}

// Beyond the capacity the absolute goodput stays, and refusals come before any
// prefill. It is the mean of several traces: one trace at the full load differs
// from the next by a hundredth or two.
func TestGoodputDoesNotDeclineUnderOverload(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.Name, func(t *testing.T) {
			full, double := 0.0, 0.0
			for _, seed := range []uint64{1, 2, 3, traceSeed} {
				full += Run(d, NewTrace(d, 1.0, traceLength, seed), Figtrail, Healthy).Goodput
				r := Run(d, NewTrace(d, 2.0, traceLength, seed), Figtrail, Healthy)
				double += r.Goodput
				require.Less(t, r.WastedShare, 0.01)
			}
			t.Logf("sums of goodput: %.1f at full load, %.1f at double", full, double)
			require.GreaterOrEqual(t, double, full)
		})
	}
}

// A data centre that leaves and returns, or workers that start cold again and
// again, waste little prefill and never get more work than a cold start bears.
func TestChangesWasteLittleAndBreakNothing(t *testing.T) {
	for _, d := range deployments() {
		for _, s := range []Scenario{DataCentreOut, ColdStarts} {
			for _, load := range []float64{0.8, 2.0} {
				t.Run(fmt.Sprint(d.Name, " ", s, " ", load), func(t *testing.T) {
					r := run(t, d, load, Figtrail, s)
					require.Less(t, r.WastedShare, 0.03)
					require.Zero(t, r.Breakdowns)
				})
			}
		}
	}
}

// The same seed gives the same figures, for every policy.
func TestRunsRepeat(t *testing.T) {
	d := Huber()
	for _, p := range Policies {
		trace := NewTrace(d, 0.8, 40*time.Second, traceSeed)
		first := Run(d, trace, p, DataCentreOut)
		second := Run(d, trace, p, DataCentreOut)
		require.Equal(t, first, second, p.Name)
	}
}

// The fakes must be able to show the failures that the others are compared by.
func TestFakesShowOverload(t *testing.T) {
	r := run(t, Huber(), 1.3, Random, Healthy)
	require.Less(t, r.Goodput, 0.5*r.Offered)
	require.Greater(t, r.WastedShare, 0.03)
	require.Positive(t, run(t, Huber(), 0.8, Random, ColdStarts).Breakdowns)
}
