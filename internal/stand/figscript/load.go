package figscript

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/stand/figload"
)

// loadRun is a run of the load generator in the background.
type loadRun struct {
	fleet   *fleet
	cancel  context.CancelFunc
	done    chan struct{}
	started time.Time
	account figload.Account

	// These are valid once done is closed.
	report  *figload.Report
	err     error
	elapsed time.Duration
}

// cmdLoad starts load of one client account in the background. refunds, reads and streams are requests
// per second, cost is in tokens per call, size in prompt tokens:
// load l1 via=a1,b1 key=huber refunds=200 reads=0 streams=0 duration=4s
func (f *fleet) cmdLoad(words []string, opts options) error {
	duration, err := time.ParseDuration(opts.or("duration", "3s"))
	if err != nil {
		return err
	}
	number := func(name, defaultValue string) int64 {
		n, _ := strconv.ParseInt(opts.or(name, defaultValue), 10, 64)
		return n
	}
	key := opts.or("key", "huber")
	vars := map[string]string{"huber": "HUBER", "coop": "COOP"}[key]
	rate, _ := strconv.ParseInt(f.vars["RATE_"+vars], 10, 64)
	burst, _ := strconv.ParseInt(f.vars["BURST_"+vars], 10, 64)
	r := &loadRun{fleet: f, done: make(chan struct{}), started: time.Now()}
	r.account = figload.Account{
		Name: words[0], Key: f.keys[key].Text, Rate: rate, Burst: burst, Model: "summary",
		StreamsPerSecond: float64(number("streams", "0")), ReadsPerSecond: float64(number("reads", "0")),
		RefundsPerSecond: float64(number("refunds", "0")), ReadPath: "/balance", RefundPath: "/refund",
		CallCost: number("cost", "100"), PromptTokens: figload.Range{Min: int(number("size", "40")), Max: int(number("size", "40"))},
		OutputTokens: figload.Range{Min: 4, Max: 16},
	}
	o := figload.Options{Duration: duration, Timeout: waitLimit, Seed: 1, Accounts: []figload.Account{r.account}}
	for _, via := range opts.list("via") {
		o.Targets = append(o.Targets, f.instances[via].caller)
	}
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	f.loads[words[0]] = r
	go func() {
		defer close(r.done)
		r.report, r.err = figload.Run(ctx, o)
		r.elapsed = time.Since(r.started)
	}()
	return nil
}

// cmdLoaded waits until loads have ended and returns the first error: loaded l1
func (f *fleet) cmdLoaded(words []string, _ options) error {
	for _, name := range words {
		r, ok := f.loads[name]
		if !ok {
			return errors.Newf("no load named %s", name)
		}
		<-r.done
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// afterLoad returns a measure that waits for the load named by the first word to end and applies m to it.
func afterLoad(m func(*loadRun) int) measure {
	return func(f *fleet, words []string) (int, error) {
		if err := f.cmdLoaded(words, nil); err != nil {
			return 0, err
		}
		return m(f.loads[words[0]]), nil
	}
}

// loadDetail returns the report table of the load name, or "" if there is no such load or no report yet.
func (f *fleet) loadDetail(name string) string {
	r, ok := f.loads[name]
	if !ok || r.report == nil {
		return ""
	}
	var b strings.Builder
	_ = r.report.Table(&b)
	return "\n" + b.String()
}

// refundRuns returns how often servers ran the load's refunds. Each run of a repeated refund counts.
func (r *loadRun) refundRuns() int {
	n := 0
	for _, q := range r.report.Accounts[0].Refunds {
		n += r.fleet.callRuns(q.Body)
	}
	return n
}

// callRuns returns how often the plain servers ran a call with that body.
func (f *fleet) callRuns(body string) int {
	n := 0
	for _, s := range f.servers {
		if s.plain != nil {
			n += s.plain.Run(body).Calls
		}
	}
	return n
}

// allowedTokens returns the most tokens that the account may spend while the load runs: rate × time + burst.
func (r *loadRun) allowedTokens() float64 {
	return float64(r.account.Rate)*r.elapsed.Seconds() + float64(r.account.Burst)
}

// overspentTokens returns by how many tokens the cost of the refunds that ran exceeds allowedTokens, or 0.
func (r *loadRun) overspentTokens() int {
	return max(0, int(float64(r.refundRuns())*float64(r.account.CallCost)-r.allowedTokens()))
}

// spentPercent returns the cost of the refunds that ran as a percentage of allowedTokens.
func (r *loadRun) spentPercent() int {
	return int(100 * float64(r.refundRuns()) * float64(r.account.CallCost) / r.allowedTokens())
}

func (r *loadRun) refundViolations() int { return len(r.report.CheckRefunds(r.fleet.callRuns)) }
func (r *loadRun) wrongfulRefusals() int { return r.report.Accounts[0].RefusedInside }
func (r *loadRun) wrongAnswers() int     { return r.report.Accounts[0].Wrong }
func (r *loadRun) offered() int          { return r.report.Accounts[0].Offered }
func (r *loadRun) answered() int {
	return r.report.Accounts[0].Answered + r.report.Accounts[0].PlainAnswered
}
