package figload

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the highest latency that the histograms record; higher ones count as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the number of significant decimal digits in the histograms.
	latencyDigits = 3
)

// Outcome is what the caller can conclude about the execution of a call from its response.
type Outcome string

const (
	// Answered means that the complete answer arrived.
	Answered Outcome = "answered"
	// NotRun means that the response says that the call was refused before it ran.
	NotRun Outcome = "notRun"
	// Unknown means that the call may or may not have run.
	Unknown Outcome = "unknown"
)

// Refund is a call that must not run twice, with its outcome for the caller.
type Refund struct {
	// Body is unique within a run.
	Body    string  `json:"body"`
	Outcome Outcome `json:"outcome"`
}

// AccountReport holds the results of one client account.
type AccountReport struct {
	Name string `json:"name"`
	// Offered counts arrivals; Skipped those not sent because Options.MaxOpen requests were open.
	Offered int `json:"offered"`
	Skipped int `json:"skipped"`
	// Answered counts streams with a complete and correct answer, PlainAnswered such plain calls.
	Answered      int `json:"answered"`
	PlainAnswered int `json:"plainAnswered"`
	// WithinTargets counts answered streams within both latency targets.
	WithinTargets int `json:"good"`
	// Cancelled counts streams that the caller cancelled.
	Cancelled int `json:"left"`
	// Refused counts requests that did not run, by status and reason.
	Refused map[string]int `json:"refused"`
	// RefusedInside counts the refused requests that were inside the account's rate, as the package comment says.
	RefusedInside int `json:"refusedInside"`
	// Failed counts requests that ended in any other way, by reason.
	Failed map[string]int `json:"failed"`
	// Wrong counts complete answers that don't match the request.
	Wrong int `json:"wrong"`
	// Tokens counts generated tokens received.
	Tokens int64 `json:"tokens"`
	// FirstToken and BetweenTokens are the time to the first token and between tokens.
	FirstToken    Percentiles `json:"firstToken"`
	BetweenTokens Percentiles `json:"betweenTokens"`
	// Refunds holds the refund calls, which must not run twice.
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
		first:   hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
		between: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits),
	}
}

// change calls f with r under the lock.
func (r *AccountReport) change(f func(*AccountReport)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *AccountReport) failed(reason string) {
	r.change(func(r *AccountReport) { r.Failed[reason]++ })
}

// answered counts a complete stream, records its latencies and compares them with the targets.
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
			r.WithinTargets++
		}
		r.FirstToken, r.BetweenTokens = percentiles(r.first), percentiles(r.between)
	})
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{
		P50: h.ValueAtQuantile(50),
		P95: h.ValueAtQuantile(95),
		P99: h.ValueAtQuantile(99),
	}
}

// CheckRefunds compares the outcome of each refund with the number of times that it
// ran, as returned by runs. It returns one line for each refund that ran more than
// once, was answered without having run, or ran despite the outcome NotRun.
func (r *Report) CheckRefunds(runs func(body string) int) []string {
	var violations []string
	for _, a := range r.Accounts {
		for _, f := range a.Refunds {
			n := runs(f.Body)
			if n > 1 || (n != 1 && f.Outcome == Answered) || (n != 0 && f.Outcome == NotRun) {
				violations = append(violations, fmt.Sprintf("refund %s: %s, ran %d times", f.Body, f.Outcome, n))
			}
		}
	}
	return violations
}
