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
	Offered, Goodput float64
	// PlainGoodShare is the part of the calls of the plain service that was answered
	// in time; Offered and Good are without them.
	PlainGoodShare float64
	// WastedShare is the part of the computed prefill tokens whose result was lost.
	WastedShare float64
	// FirstTokenP95 and BetweenTokens are the 95th percentiles of answered requests.
	FirstTokenP95, BetweenTokensP95 time.Duration
	// LowestAccountGoodShare is the lowest part of an account's requests that was good.
	LowestAccountGoodShare float64
	// Breakdowns counts the cold starts that too much work has caused.
	Breakdowns int
	// OwnerMessages is the number of messages to owners for each request.
	OwnerMessages float64
}

// Header is the first line of the table.
const Header = "deployment  scenario     load  policy        offered/s   good/s  good  wasted  " +
	"first p95  between p95  worst  breakdowns  plain"

// String returns one line of the table.
func (r Result) String() string {
	return fmt.Sprintf("%-10s  %-11s  %4.1f  %-12s  %9.1f  %7.1f  %3.0f%%  %5.1f%%  %9s  %11s  %4.0f%%  %10d  %4.0f%%",
		r.Deployment, r.Scenario, r.Load, r.Policy, r.Offered, r.Goodput, 100*r.Goodput/r.Offered, 100*r.WastedShare,
		r.FirstTokenP95.Round(time.Millisecond), r.BetweenTokensP95.Round(100*time.Microsecond),
		100*r.LowestAccountGoodShare, r.Breakdowns, 100*r.PlainGoodShare)
}

// statistics collects the outcomes of a run.
type statistics struct {
	arrived           int
	offered           int
	good              int
	plain             requestCounts
	accounts          map[int]*requestCounts
	firstTokenTimes   []time.Duration
	betweenTokenTimes []time.Duration
}

type requestCounts struct{ offered, good int }

func (t *statistics) recordArrival(c *call) {
	t.arrived++
	if !c.measured {
		return
	}
	if t.accounts == nil {
		t.accounts = map[int]*requestCounts{}
	}
	if t.accounts[c.Account] == nil {
		t.accounts[c.Account] = &requestCounts{}
	}
	t.accounts[c.Account].offered++
	if c.Plain {
		t.plain.offered++
		return
	}
	t.offered++
}

func (t *statistics) recordEnd(c *call, good bool) {
	if !c.measured || !good {
		return
	}
	t.accounts[c.Account].good++
	if c.Plain {
		t.plain.good++
		return
	}
	t.good++
}

func (t *statistics) recordLatencies(c *call, between time.Duration) {
	if c.measured {
		t.firstTokenTimes = append(t.firstTokenTimes, c.firstTokenAt-c.At)
		t.betweenTokenTimes = append(t.betweenTokenTimes, between)
	}
}

// summarize sums up a run.
func (r *runner) summarize(p Policy, s Scenario) Result {
	span := (r.trace.Length - warmupTime).Seconds()
	x := Result{
		Deployment: r.Name, Policy: p.Name, Scenario: s, Load: r.trace.Load,
		Offered: float64(r.stats.offered) / span, Goodput: float64(r.stats.good) / span,
		FirstTokenP95: percentile95(r.stats.firstTokenTimes), BetweenTokensP95: percentile95(r.stats.betweenTokenTimes),
		LowestAccountGoodShare: 1,
	}
	x.PlainGoodShare = 1
	if r.stats.plain.offered > 0 {
		x.PlainGoodShare = float64(r.stats.plain.good) / float64(r.stats.plain.offered)
	}
	computed, wasted := int64(0), int64(0)
	for _, e := range r.engines {
		computed += e.ComputedTokens
		wasted += e.WastedTokens
		x.Breakdowns += e.Breakdowns
	}
	x.WastedShare = float64(wasted) / float64(max(1, computed))
	for _, a := range r.stats.accounts {
		x.LowestAccountGoodShare = min(x.LowestAccountGoodShare, float64(a.good)/float64(a.offered))
	}
	return x
}

// percentile95 returns the 95th percentile.
func percentile95(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}
