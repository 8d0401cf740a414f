package figload

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

func startEngine(t *testing.T) *figemulator.Engine {
	t.Helper()
	e, err := figemulator.StartEngine(figemulator.EngineOptions{Name: "d", Batch: 200, TokenInterval: time.Microsecond})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	return e
}

// streams returns options for a load of 40 streams, which ends at its maximum number of requests.
func streams(address string) Options {
	return Options{
		Targets:     []string{address},
		Duration:    time.Minute,
		MaxRequests: 40,
		Seed:        7,
		Accounts: []Account{{
			Name: "huber", Rate: 1, Burst: 1_000_000, StartFull: true, StreamsPerSecond: 2000,
			PromptTokens: Range{Min: 20, Max: 60}, OutputTokens: Range{Min: 4, Max: 8}, PrefixTokens: 10,
		}},
	}
}

func TestRunAnswered(t *testing.T) {
	e := startEngine(t)
	opts := streams(e.Address())
	r, err := Run(t.Context(), opts)
	require.NoError(t, err)
	a := r.Accounts[0]
	require.Equal(t, 40, a.Offered)
	require.Equal(t, 40, a.Answered)
	require.Positive(t, a.FirstToken.P50)
	require.Zero(t, a.Wrong)
	var table bytes.Buffer
	require.NoError(t, r.Table(&table))
	require.Contains(t, table.String(), "huber")
	_, err = json.Marshal(r)
	require.NoError(t, err)
}

func TestRunSeesWrongAndCut(t *testing.T) {
	e := startEngine(t)
	e.Faults.Set(figemulator.Fault{Kind: figemulator.Crossed, Count: 3})
	e.Faults.Set(figemulator.Fault{Kind: figemulator.Cut, Count: 1})
	r, err := Run(t.Context(), streams(e.Address()))
	require.NoError(t, err)
	a := r.Accounts[0]
	// Both faults may affect the same request, which then counts as failed only.
	require.Contains(t, []int{2, 3}, a.Wrong)
	require.Equal(t, 1, sum(a.Failed))
	require.Equal(t, 40, a.Answered+a.Wrong+sum(a.Failed))
}

func TestRunLeaves(t *testing.T) {
	e := startEngine(t)
	opts := streams(e.Address())
	opts.Accounts[0].CancelShare = 1
	r, err := Run(t.Context(), opts)
	require.NoError(t, err)
	require.Equal(t, 40, r.Accounts[0].Cancelled)
}

// refuse answers every request like a router whose token bucket for the account is empty.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusTooManyRequests)
	_, _ = w.Write([]byte(`{"error":{"outcome":"notRun","reason":"rate"}}`))
}

func TestRunCountsWrongfulRefusals(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(refuse))
	t.Cleanup(s.Close)
	for _, c := range []struct {
		full   bool
		inside int
	}{{true, 40}, {false, 0}} {
		opts := streams(s.Listener.Addr().String())
		opts.Accounts[0].StartFull = c.full
		r, err := Run(t.Context(), opts)
		require.NoError(t, err)
		require.Equal(t, map[string]int{"429 rate": 40}, r.Accounts[0].Refused)
		require.Equal(t, c.inside, r.Accounts[0].RefusedInside)
	}
}

func TestRunRefunds(t *testing.T) {
	p, err := figemulator.StartPlainService(figemulator.PlainOptions{Name: "ledger"})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	p.Faults.Set(figemulator.Fault{Kind: figemulator.ReadAndClose, Count: 2})
	r, err := Run(t.Context(), Options{
		Targets:     []string{p.Address()},
		Duration:    time.Minute,
		MaxRequests: 30,
		Accounts: []Account{{
			Name: "desk", RefundsPerSecond: 1000, ReadsPerSecond: 1000,
			ReadPath: "/balance", RefundPath: "/refund",
		}},
	})
	require.NoError(t, err)
	a := r.Accounts[0]
	require.Equal(t, 30, a.PlainAnswered+sum(a.Failed))
	require.NotEmpty(t, a.Refunds)
	runs := func(body string) int { return p.Run(body).Calls }
	require.Empty(t, r.CheckRefunds(runs))
	require.Len(t, r.CheckRefunds(func(body string) int { return runs(body) + 1 }), len(a.Refunds))
}

func TestBucket(t *testing.T) {
	start := time.Unix(0, 0)
	b := newBucket(Account{Rate: 10, Burst: 20}, start)
	require.False(t, b.debit(start, 1))
	require.True(t, b.debit(start.Add(time.Second), 9))
	require.False(t, b.debit(start.Add(time.Second), 1))
	b.credit(start.Add(time.Second), 100)
	require.InDelta(t, 20, b.balance, 0)
}
