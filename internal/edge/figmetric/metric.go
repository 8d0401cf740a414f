// Package figmetric records request metrics with tally and exports them in the
// Prometheus text format. Busy client accounts get counters and histograms of their
// own, up to a limit; all other accounts share one scope for each class. This bounds
// memory: tally never removes a scope, and an instance has tens of thousands of
// accounts.
//
// # Usage
//
//	m := figmetric.New(figmetric.Options{})
//	defer m.Close()
//	m.RecordRequest(figmetric.Request{Account: "huber/treasury", Class: "large", Outcome: "answered"})
//	http := m.Handler()
//
// Times are in seconds, sizes in tokens.
package figmetric

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

const (
	// reportInterval is how often tally hands its counts to the reporter.
	reportInterval = time.Second
	// defaultMaxOwnScopes is the default of Options.MaxOwnScopes.
	defaultMaxOwnScopes = 200
	// ownScopeMinRequests is the number of requests at which an account counts as busy.
	ownScopeMinRequests = 20
	// maxCountedAccounts bounds the accounts without a scope whose requests are counted.
	// When the limit is reached, all counts start again at zero.
	maxCountedAccounts = 4096
	// sharedAccount is the account label of all accounts without a scope of their own.
	sharedAccount = "other"
)

// Options holds the settings of Metrics.
type Options struct {
	// MaxOwnScopes bounds the accounts with counters and histograms of their own; 0
	// means 200.
	MaxOwnScopes int
}

// Request holds the result and measurements of a finished request.
type Request struct {
	// Account is the ID of the client account; empty on open routes.
	Account string
	// Class is the account's class.
	Class string
	// Outcome is the outcome from figlifecycle's closed set.
	Outcome string
	// Reason says why the request was refused or its answer cut; empty if it was answered.
	Reason string
	// PromptTokens and OutputTokens are the numbers of tokens charged.
	PromptTokens, OutputTokens int64
	// PrefillTokens is the number of prompt tokens that engines processed for the
	// request; WastedTokens is the part of them that contributed to no answer.
	PrefillTokens, WastedTokens int64
	// Duration is the time from arrival to the end of the request.
	Duration time.Duration
	// FirstToken is the time from arrival to the first token; 0 if there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens; 0 for fewer than two.
	BetweenTokens time.Duration
}

// Metrics holds the scopes of one instance. It is safe for concurrent use.
type Metrics struct {
	// Root is the root scope of the instance, for metrics of other packages.
	Root tally.Scope

	closer        io.Closer
	handler       http.Handler
	ownScopesLeft int

	mu            sync.Mutex
	requestCounts map[string]int
	scopes        map[string]*accountScope
}

type accountScope struct {
	scope                               tally.Scope
	firstToken, betweenTokens, duration tally.Histogram
	promptTokens, outputTokens          tally.Counter
	prefillTokens, wastedTokens         tally.Counter
}

// New returns metrics with a separate Prometheus registry. Call Close to stop the
// reporting goroutine.
func New(o Options) *Metrics {
	if o.MaxOwnScopes == 0 {
		o.MaxOwnScopes = defaultMaxOwnScopes
	}
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(error) {},
	})
	root, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "figtrail",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{
		Root:          root,
		closer:        closer,
		handler:       reporter.HTTPHandler(),
		ownScopesLeft: o.MaxOwnScopes,
		requestCounts: map[string]int{},
		scopes:        map[string]*accountScope{},
	}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports the remaining values and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }

// RecordRequest records a finished request in the scope of its account or class.
func (m *Metrics) RecordRequest(r Request) {
	s := m.scopeOf(r.Account, r.Class)
	s.scope.Tagged(map[string]string{"outcome": r.Outcome, "reason": r.Reason}).Counter("requests").Inc(1)
	s.promptTokens.Inc(r.PromptTokens)
	s.outputTokens.Inc(r.OutputTokens)
	s.prefillTokens.Inc(r.PrefillTokens)
	s.wastedTokens.Inc(r.WastedTokens)
	s.duration.RecordDuration(r.Duration)
	if r.FirstToken > 0 {
		s.firstToken.RecordDuration(r.FirstToken)
	}
	if r.BetweenTokens > 0 {
		s.betweenTokens.RecordDuration(r.BetweenTokens)
	}
}

// Count adds n to a counter of the instance, with one label.
func (m *Metrics) Count(name, label, value string, n int64) {
	m.Root.Tagged(map[string]string{label: value}).Counter(name).Inc(n)
}

// scopeOf returns the account's own scope, which is created when the account becomes
// busy and the limit allows, or else the shared scope of the class.
func (m *Metrics) scopeOf(account, class string) *accountScope {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.scopes[account]; ok {
		return s
	}
	if m.countTowardsScope(account) {
		delete(m.requestCounts, account)
		return m.addScope(account, account, class)
	}
	key := "class\x00" + class
	if s, ok := m.scopes[key]; ok {
		return s
	}
	return m.addScope(key, sharedAccount, class)
}

// countTowardsScope counts a request of an account without a scope. It returns true,
// and reserves a scope, if the account is busy now and the limit isn't reached.
func (m *Metrics) countTowardsScope(account string) bool {
	if account == "" || m.ownScopesLeft == 0 {
		return false
	}
	if len(m.requestCounts) >= maxCountedAccounts {
		clear(m.requestCounts)
	}
	m.requestCounts[account]++
	if m.requestCounts[account] < ownScopeMinRequests {
		return false
	}
	m.ownScopesLeft--
	return true
}

func (m *Metrics) addScope(key, account, class string) *accountScope {
	s := m.Root.Tagged(map[string]string{"account": account, "class": class})
	a := &accountScope{
		scope:         s,
		firstToken:    s.Histogram("first_token_seconds", firstTokenBuckets()),
		betweenTokens: s.Histogram("between_tokens_seconds", betweenTokensBuckets()),
		duration:      s.Histogram("request_seconds", durationBuckets()),
		promptTokens:  s.Counter("prompt_tokens"),
		outputTokens:  s.Counter("output_tokens"),
		prefillTokens: s.Counter("prefill_tokens"),
		wastedTokens:  s.Counter("wasted_prefill_tokens"),
	}
	m.scopes[key] = a
	return a
}

// firstTokenBuckets cover 5 ms to 10 s around the target of 1.4 s.
func firstTokenBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)
}

// betweenTokensBuckets cover 1 ms to 1 s around the target of 34 ms.
func betweenTokensBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 1.6, 15)
}

// durationBuckets cover 1 ms to 5 minutes.
func durationBuckets() tally.Buckets {
	return tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 19)
}
