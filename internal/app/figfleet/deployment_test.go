package figfleet

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/stand/figemulator"
	"figtrail.dev/figtrail/internal/stand/figload"
)

const (
	// phaseDuration is how long each phase of a run sends load.
	phaseDuration = 5 * time.Second
	// maxWastedFraction is the largest allowed fraction of wasted prefills while a data
	// centre goes out of service and returns.
	maxWastedFraction = 0.03
	// maxRefusedFraction is the largest allowed fraction of requests that are refused
	// although their account is within its rate.
	maxRefusedFraction = 0.001
)

// deployment is one of the example deployments, at full size.
type deployment struct {
	name     string
	plan     Plan
	accounts []figload.Account
	// dataCentres is the document that declares the data centres, outOfService the data
	// centre that is taken out of service.
	dataCentres, outOfService string
	firstToken, betweenTokens time.Duration
}

func engines(models string, rate float64, interval time.Duration) figemulator.EngineOptions {
	return figemulator.EngineOptions{
		Models: []string{models}, Pieces: 44, PieceTokens: 2000, Batch: 20, PrefillRate: rate,
		TokenInterval: interval, ResultTTL: 800 * time.Millisecond, ReportLag: 250 * time.Millisecond,
		LinkRate: 2e9, TokenBytes: 1 << 10, ChecksFence: true,
	}
}

func deployments(b *testing.B) []deployment {
	return []deployment{
		{
			name:         "huber",
			dataCentres:  example(b, "huber/dataCentres.yaml"),
			outOfService: "nuremberg",
			plan: Plan{
				DataCentres: []string{"munich", "nuremberg", "augsburg"},
				Dir:         "../../../examples/huber",
				Engines:     []EnginePlan{{Pool: "language", Prefill: 4, Decode: 6, Options: engines("settlement-summary", 20_000, 15*time.Millisecond)}},
				Plains:      []PlainPlan{{Pool: "ledger", Count: 3, Options: figemulator.PlainOptions{ServiceTime: 2 * time.Millisecond, Batch: 64}}},
				Instances:   9,
			},
			accounts: []figload.Account{
				language("finance/treasury", "ft_treasury1_example-bcde744b3b87ab7b1c3e16e3", 24000, 200000, 8),
				language("finance/clerks", "ft_clerks1_example-70072dfb5c1e6ea667fe4a02", 18000, 150000, 6),
				language("finance/disputes", "ft_disputes1_example-019a630f5537a453b76e7631", 4000, 48000, 2),
				ledger("venues/cashiers", "ft_cashiers1_example-815d32e005abec8cbbee5e1b", 10000, 80000, "/ledger/balances", "/ledger/refunds"),
				language("venues/festivals", "ft_festivals1_example-4c6acf93aec811ced958bb18", 3000, 40000, 1),
			},
			firstToken: 1400 * time.Millisecond, betweenTokens: 34 * time.Millisecond,
		},
		{
			name:         "loudhailer",
			dataCentres:  example(b, "loudhailer/dataCentres.yaml"),
			outOfService: "waco",
			plan: Plan{
				DataCentres: []string{"austin", "waco", "temple", "sanMarcos"},
				Dir:         "../../../examples/loudhailer",
				Engines:     []EnginePlan{{Pool: "scripts", Prefill: 5, Decode: 7, Options: engines("script-helper", 20_000, 15*time.Millisecond)}},
				Plains:      []PlainPlan{{Pool: "desk", Count: 4, Options: figemulator.PlainOptions{ServiceTime: 2 * time.Millisecond, Batch: 64}}},
				Instances:   8,
			},
			accounts: []figload.Account{
				language("events/rallies", "ft_rallies1_example-e904326b6b4020276d8fef45", 16000, 160000, 6),
				language("events/rodeos", "ft_rodeos1_example-4f625fae6fb3512379998d69", 12000, 120000, 4),
				language("events/funRuns", "ft_funRuns1_example-9c0d7995ecb599fbea822c08", 3000, 60000, 1),
				language("safety/drills", "ft_drills1_example-21e38a3ac80fe344db55151b", 12000, 120000, 4),
				ledger("safety/shelters", "ft_shelters1_example-173130047bb174f0103c246e", 2000, 50000, "/desk/availability", "/desk/holds"),
			},
			firstToken: 3 * time.Second, betweenTokens: 50 * time.Millisecond,
		},
	}
}

func example(b *testing.B, name string) string {
	text, err := os.ReadFile(filepath.Join("../../../examples", name))
	require.NoError(b, err)
	return string(text)
}

// language returns an account that sends model requests at about half of its rate.
func language(name, key string, rate, burst int64, streams float64) figload.Account {
	a := ledger(name, key, rate, burst, "", "")
	a.StreamsPerSecond = streams
	a.Model = "settlement-summary"
	if strings.HasPrefix(name, "events/") || strings.HasPrefix(name, "safety/") {
		a.Model = "script-helper"
	}
	a.PromptTokens = figload.Range{Min: 100, Max: 1500}
	a.OutputTokens = figload.Range{Min: 20, Max: 120}
	return a
}

// ledger returns an account that sends reads and refunds to a plain service.
func ledger(name, key string, rate, burst int64, read, refund string) figload.Account {
	a := figload.Account{
		Name: name, Key: key, Rate: rate, Burst: burst, CallCost: 20, ReadPath: read, RefundPath: refund,
	}
	if read != "" {
		a.ReadsPerSecond, a.RefundsPerSecond = 30, 10
	}
	return a
}

// BenchmarkDeployments sends load to each deployment while it is healthy, while a data
// centre is out of service, and after it returns.
func BenchmarkDeployments(b *testing.B) {
	for _, d := range deployments(b) {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				d.run(b)
			}
		})
	}
}

func (d *deployment) run(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	f, err := Start(ctx, d.plan)
	require.NoError(b, err)
	defer func() { require.NoError(b, f.Close()) }()
	d.send(ctx, b, f, "warm-up", time.Second*5)
	d.report(b, f, "healthy", d.send(ctx, b, f, "healthy", phaseDuration))
	f.Platform.Publish("dataCentres", strings.Replace(d.dataCentres, "name: "+d.outOfService, "name: "+d.outOfService+"\n    out: true", 1))
	d.report(b, f, "out", d.send(ctx, b, f, "out", phaseDuration))
	f.Platform.Publish("dataCentres", d.dataCentres)
	d.report(b, f, "back", d.send(ctx, b, f, "back", phaseDuration))
	wasted := wastedPrefills(f)
	b.ReportMetric(wasted, "wastedPrefill")
	require.LessOrEqual(b, wasted, maxWastedFraction)
	require.Eventually(b, func() bool { return f.ReservedPieces() == 0 }, 10*time.Second, 50*time.Millisecond)
	for _, a := range d.accounts {
		require.False(b, f.ReceivedText(a.Key))
	}
}

// wastedPrefills returns the fraction of prefills without a decode.
func wastedPrefills(f *Fleet) float64 {
	prefills, decodes := 0, 0
	for _, e := range f.Engines {
		for _, r := range e.Runs() {
			prefills += r.Prefills
			decodes += r.Decodes
		}
	}
	return float64(prefills-decodes) / float64(max(1, prefills))
}

func (d *deployment) send(ctx context.Context, b *testing.B, f *Fleet, phase string, duration time.Duration) *figload.Report {
	r, err := figload.Run(ctx, figload.Options{
		Targets:       f.Callers(),
		Accounts:      d.accounts,
		Duration:      duration,
		FirstToken:    d.firstToken,
		BetweenTokens: d.betweenTokens,
		Seed:          figview.Key(d.name, phase),
		Charge: func(prompt string, output int) int64 {
			return figbudget.EstimateTokens([]byte(prompt)) + int64(output)
		},
	})
	require.NoError(b, err)
	return r
}

// report checks the results of a phase and reports its metrics.
func (d *deployment) report(b *testing.B, f *Fleet, phase string, r *figload.Report) {
	offered, refused, good, streams := 0, 0, 0, 0
	worst := 1.0
	for _, a := range r.Accounts {
		require.Zero(b, a.Wrong, "%s: %s: wrong answers", phase, a.Name)
		require.Empty(b, a.Failed, "%s: %s", phase, a.Name)
		offered += a.Offered
		refused += a.RefusedInside
		asked := a.Offered
		got := a.PlainAnswered
		if a.Answered > 0 || a.PlainAnswered == 0 {
			streams += asked
			good += a.WithinTargets
			got = a.WithinTargets
		}
		worst = min(worst, float64(got)/float64(max(1, asked)))
	}
	require.Empty(b, r.CheckRefunds(f.PlainRuns))
	b.ReportMetric(float64(good)/float64(streams), phase+"-goodput")
	b.ReportMetric(worst, phase+"-worst")
	b.ReportMetric(float64(refused)/float64(offered), phase+"-refusedInside")
	require.LessOrEqual(b, float64(refused), maxRefusedFraction*float64(offered)+0.5, phase)
}
