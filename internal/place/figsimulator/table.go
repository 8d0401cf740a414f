package figsimulator

import (
	"fmt"
	"slices"
	"time"
)

// Result holds the measurements of one run.
type Result struct {
	// Deployment, Policy, Scenario and Load identify the run. Load is a fraction of the deployment's capacity.
	Deployment, Policy string
	Scenario           Scenario
	Load               float64
	// Offered is the rate of model requests that arrived, per second. Goodput is the rate of those that were
	// answered in full within all latency targets.
	Offered, Goodput float64
	// PlainGoodShare is the fraction of plain requests that were answered within their latency target, or 1 if
	// there were none. Offered and Goodput don't include plain requests.
	PlainGoodShare float64
	// WastedShare is the fraction of the computed prefill tokens whose result was discarded before a decode
	// server fetched it.
	WastedShare float64
	// FirstTokenP95 and BetweenTokensP95 are the 95th percentiles of the time to the first token and of the mean
	// time between tokens, of the model requests that were answered in full.
	FirstTokenP95, BetweenTokensP95 time.Duration
	// LowestAccountGoodShare is the lowest fraction, over the client accounts, of requests that were answered
	// within all latency targets. It includes plain requests.
	LowestAccountGoodShare float64
	// Breakdowns counts the restarts that were caused by too much work in a cold start.
	Breakdowns int
	// OwnerMessages is meant for the number of messages to owners per request. Run doesn't set it.
	OwnerMessages float64
}

// Header is the header line of the table.
const Header = "deployment  scenario     load  policy        offered/s   good/s  good  wasted  " +
	"first p95  between p95  worst  breakdowns  plain"

// String returns the result as one line of the table.
func (r Result) String() string {
	return fmt.Sprintf("%-10s  %-11s  %4.1f  %-12s  %9.1f  %7.1f  %3.0f%%  %5.1f%%  %9s  %11s  %4.0f%%  %10d  %4.0f%%",
		r.Deployment, r.Scenario, r.Load, r.Policy, r.Offered, r.Goodput, 100*r.Goodput/r.Offered, 100*r.WastedShare,
		r.FirstTokenP95.Round(time.Millisecond), r.BetweenTokensP95.Round(100*time.Microsecond),
		100*r.LowestAccountGoodShare, r.Breakdowns, 100*r.PlainGoodShare)
}

// statistics counts the measured requests of a run, and collects their latencies. The fields offered and good
// count model requests; arrived counts all requests, including those that aren't measured.
type statistics struct {
	arrived           int
	offered           int
	good              int
	plain             requestCounts
	accounts          map[int]*requestCounts
	firstTokenTimes   []time.Duration
	betweenTokenTimes []time.Duration
}

// requestCounts counts the measured requests of a group, and those that were answered within all latency targets.
type requestCounts struct{ offered, good int }

// recordArrival counts a request that arrived.
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

// recordEnd counts a request that ended, if it was answered within all latency targets.
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

// recordLatencies adds the latencies of a model request that was answered in full.
func (t *statistics) recordLatencies(c *call, between time.Duration) {
	if c.measured {
		t.firstTokenTimes = append(t.firstTokenTimes, c.firstTokenAt-c.At)
		t.betweenTokenTimes = append(t.betweenTokenTimes, between)
	}
}

// summarize returns the measurements of a finished run.
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

// percentile95 sorts the durations in place and returns their 95th percentile, or 0 if there are none.
func percentile95(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)*95/100]
}
