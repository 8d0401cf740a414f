package figload

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highestLatency is the largest latency that the histograms hold.
	highestLatency = time.Minute
	// latencyDigits is their number of significant digits.
	latencyDigits = 3
)

// Outcome is what a caller knows of a call that may not be repeated.
type Outcome string

const (
	// Answered means that the whole answer came.
	Answered Outcome = "answered"
	// NotRun means that the router said so.
	NotRun Outcome = "notRun"
	// Unknown means that it may have run or not.
	Unknown Outcome = "unknown"
)

// Refund is one call that may not be repeated, as its caller saw it.
type Refund struct {
	// Body is unique in a run.
	Body    string  `json:"body"`
	Outcome Outcome `json:"outcome"`
}

// AccountReport is what the callers of one client account met.
type AccountReport struct {
	Name string `json:"name"`
	// Offered counts arrivals; Skipped those that the load's own bound kept back.
	Offered int `json:"offered"`
	Skipped int `json:"skipped"`
	// Answered counts whole streams of its own, PlainAnswered such plain calls.
	Answered      int `json:"answered"`
	PlainAnswered int `json:"plainAnswered"`
	// Good counts answered streams within both latency targets.
	Good int `json:"good"`
	// Left counts streams that the caller itself left.
	Left int `json:"left"`
	// Refused counts requests that did not run, by status and reason.
	Refused map[string]int `json:"refused"`
	// RefusedInside counts those of them that were inside the account's rate.
	RefusedInside int `json:"refusedInside"`
	// Failed counts requests that ended otherwise, by reason.
	Failed map[string]int `json:"failed"`
	// Wrong counts answers that looked whole and were not the caller's own.
	Wrong int `json:"wrong"`
	// Tokens counts generated tokens received.
	Tokens int64 `json:"tokens"`
	// FirstToken and BetweenTokens are in microseconds.
	FirstToken    Percentiles `json:"firstToken"`
	BetweenTokens Percentiles `json:"betweenTokens"`
	// Refunds holds the calls that may not be repeated.
	Refunds []Refund `json:"refunds,omitempty"`

	mu             sync.Mutex
	first, between *hdrhistogram.Histogram
}

// Percentiles are latencies in microseconds.
type Percentiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64           `json:"seed"`
	Duration time.Duration    `json:"durationNanos"`
	Accounts []*AccountReport `json:"accounts"`
}

func newAccountReport(name string) *AccountReport {
	return &AccountReport{
		Name:    name,
		Refused: map[string]int{},
		Failed:  map[string]int{},
		first:   hdrhistogram.New(1, highestLatency.Microseconds(), latencyDigits),
		between: hdrhistogram.New(1, highestLatency.Microseconds(), latencyDigits),
	}
}

func (r *AccountReport) change(f func(*AccountReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *AccountReport) failed(reason string) {
	r.change(func(r *AccountReport) { r.Failed[reason]++ })
}

// answered counts a whole stream with its latencies.
func (r *AccountReport) answered(first time.Duration, gaps []time.Duration, firstTarget, betweenTarget time.Duration) {
	r.change(func(r *AccountReport) {
		r.Answered++
		record(r.first, first)
		var sum time.Duration
		for _, g := range gaps {
			record(r.between, g)
			sum += g
		}
		mean := sum / time.Duration(max(len(gaps), 1))
		if first <= firstTarget && mean <= betweenTarget {
			r.Good++
		}
		r.FirstToken, r.BetweenTokens = percentiles(r.first), percentiles(r.between)
	})
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestLatency.Microseconds()))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: h.ValueAtQuantile(50),
		P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99),
	}
}

// CheckRefunds compares what callers know with how often each call ran. It
// returns one line for each broken promise.
func (r *Report) CheckRefunds(runs func(body string) int) []string {
	var broken []string
	for _, a := range r.Accounts {
		for _, f := range a.Refunds {
			n := runs(f.Body)
			if n > 1 || (n != 1 && f.Outcome == Answered) || (n != 0 && f.Outcome == NotRun) {
				broken = append(broken, fmt.Sprintf("refund %s: %s, ran %d times", f.Body, f.Outcome, n))
			}
		}
	}
	return broken
}
