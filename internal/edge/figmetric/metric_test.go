package figmetric

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var accountLabel = regexp.MustCompile(`account="([^"]*)"`)

// accountLabels returns the values of the account label in the exported metrics.
func accountLabels(m *Metrics) map[string]bool {
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	named := map[string]bool{}
	for _, label := range accountLabel.FindAllStringSubmatch(w.Body.String(), -1) {
		named[label[1]] = true
	}
	return named
}

// Only busy accounts get a scope of their own, and only up to the limit, for any
// number of accounts.
func TestOwnScopesAreCapped(t *testing.T) {
	m := New(Options{MaxOwnScopes: 2})
	for n := range 3 * maxCountedAccounts {
		m.RecordRequest(Request{Account: fmt.Sprint("idle", n), Class: "small", Outcome: "answered"})
	}
	for _, name := range []string{"busy1", "busy2", "busy3"} {
		for range ownScopeMinRequests {
			m.RecordRequest(Request{Account: name, Class: "large", Outcome: "answered", FirstToken: time.Second, Duration: time.Second})
		}
	}
	m.RecordRequest(Request{Outcome: "answered"})
	require.NoError(t, m.Close())
	require.Equal(t, map[string]bool{"busy1": true, "busy2": true, sharedAccount: true}, accountLabels(m))
	require.LessOrEqual(t, len(m.requestCounts), maxCountedAccounts)
}

// The outcome and its reason are exported as labels, and times as histograms.
func TestRequestLabelsAndHistograms(t *testing.T) {
	m := New(Options{})
	m.RecordRequest(Request{Class: "large", Outcome: "notRun", Reason: "overBudget", Duration: time.Millisecond})
	m.Count("keys_refused", "reason", "unknown", 2)
	require.NoError(t, m.Close())
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for _, want := range []string{
		`figtrail_requests{account="other",class="large",outcome="notRun",reason="overBudget"} 1`,
		`figtrail_keys_refused{reason="unknown"} 2`,
		`figtrail_request_seconds_count{account="other",class="large"} 1`,
	} {
		require.Contains(t, w.Body.String(), want)
	}
}
