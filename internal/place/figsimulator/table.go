package figsimulator

import (
	"fmt"
	"slices"
	"time"
)

// Result is what came of one run.
type Result struct {
	// Deployment, Policy and Scenario name the run, Load its trace.
	Deployment, Policy string
	Scenario           Scenario
	Load               float64
	// Offered and Good are requests a second: those that came and those that
	// were answered in full within all latency targets.
	Offered, Good float64
	// PlainGood is the part of the calls of the plain service that was answered
	// in time; Offered and Good are without them.
	PlainGood float64
	// Wasted is the part of the computed prefill tokens whose result was lost.
	Wasted float64
	// FirstToken and BetweenTokens are the 95th percentiles of answered requests.
	FirstToken, BetweenTokens time.Duration
	// Worst is the lowest part of an account's requests that was good.
	Worst float64
	// Breakdowns counts the cold starts that too much work has caused.
	Breakdowns int
	// Asks is the number of messages to owners for each request.
	Asks float64
}

// Header is the first line of the table.
const Header = "deployment  scenario     load  policy        offered/s   good/s  good  wasted  " +
	"first p95  between p95  worst  breakdowns  plain"

// String returns one line of the table.
func (r Result) String() string {
	return fmt.Sprintf("%-10s  %-11s  %4.1f  %-12s  %9.1f  %7.1f  %3.0f%%  %5.1f%%  %9s  %11s  %4.0f%%  %10d  %4.0f%%",
		r.Deployment, r.Scenario, r.Load, r.Policy, r.Offered, r.Good, 100*r.Good/r.Offered, 100*r.Wasted,
		r.FirstToken.Round(time.Millisecond), r.BetweenTokens.Round(100*time.Microsecond),
		100*r.Worst, r.Breakdowns, 100*r.PlainGood)
}

// tally collects the outcomes of a run.
type tally struct {
	arrived  int
	offered  int
	good     int
	plain    accountTally
	accounts map[int]*accountTally
	first    []time.Duration
	between  []time.Duration
}

type accountTally struct{ offered, good int }

func (t *tally) arrive(c *call) {
	t.arrived++
	if !c.counted {
		return
	}
	if t.accounts == nil {
		t.accounts = map[int]*accountTally{}
	}
	if t.accounts[c.Account] == nil {
		t.accounts[c.Account] = &accountTally{}
	}
	t.accounts[c.Account].offered++
	if c.Plain {
		t.plain.offered++
		return
	}
	t.offered++
}

func (t *tally) settle(c *call, good bool) {
	if !c.counted || !good {
		return
	}
	t.accounts[c.Account].good++
	if c.Plain {
		t.plain.good++
		return
	}
	t.good++
}

func (t *tally) latencies(c *call, between time.Duration) {
	if c.counted {
		t.first = append(t.first, c.first-c.At)
		t.between = append(t.between, between)
	}
}

// result sums up a run.
func (r *runner) result(p Policy, s Scenario) Result {
	span := (r.trace.Length - settleTime).Seconds()
	x := Result{
		Deployment: r.Name, Policy: p.Name, Scenario: s, Load: r.trace.Load,
		Offered: float64(r.tally.offered) / span, Good: float64(r.tally.good) / span,
		FirstToken: percentile(r.tally.first), BetweenTokens: percentile(r.tally.between),
		Worst: 1,
	}
	x.PlainGood = 1
	if r.tally.plain.offered > 0 {
		x.PlainGood = float64(r.tally.plain.good) / float64(r.tally.plain.offered)
	}
	computed, wasted := int64(0), int64(0)
	for _, e := range r.engines {
		computed += e.Computed
		wasted += e.Wasted
		x.Breakdowns += e.Breakdowns
	}
	x.Wasted = float64(wasted) / float64(max(1, computed))
	for _, a := range r.tally.accounts {
		x.Worst = min(x.Worst, float64(a.good)/float64(a.offered))
	}
	return x
}

// percentile returns the 95th percentile.
func percentile(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}
