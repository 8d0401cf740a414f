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

// BenchmarkCompare prints a table of all policies on the same traces, for each deployment, scenario and load.
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

// At a load of 0.8, at least 95 % of the requests of every account are answered within the latency targets, and
// less than 1 % of the prefill work is wasted.
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

// Goodput at twice the capacity is not lower than at the capacity, and requests are refused before their prefill
// (hardly any prefill is wasted). The goodput is summed over several traces, because at full load it differs by
// one or two per cent from trace to trace.
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

// While a data centre is stopped and started again, or servers restart repeatedly, little prefill is wasted and no
// server gets so much work in its cold start that it breaks down.
func TestFaultsWasteLittlePrefillAndCauseNoBreakdown(t *testing.T) {
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

// Two runs of the same trace give the same result, for every policy.
func TestRunsAreDeterministic(t *testing.T) {
	d := Huber()
	for _, p := range Policies {
		trace := NewTrace(d, 0.8, 40*time.Second, traceSeed)
		first := Run(d, trace, p, DataCentreOut)
		second := Run(d, trace, p, DataCentreOut)
		require.Equal(t, first, second, p.Name)
	}
}

// The simulated engines must show the effects of overload (lost goodput, wasted prefills, breakdowns in a cold
// start) under a policy without admission control; otherwise the other tests prove nothing.
func TestSimulationShowsOverload(t *testing.T) {
	r := run(t, Huber(), 1.3, Random, Healthy)
	require.Less(t, r.Goodput, 0.5*r.Offered)
	require.Greater(t, r.WastedShare, 0.03)
	require.Positive(t, run(t, Huber(), 0.8, Random, ColdStarts).Breakdowns)
}
