package figscript

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/stand/figload"
)

// loadRun is a load in the background.
type loadRun struct {
	fleet   *fleet
	cancel  context.CancelFunc
	done    chan struct{}
	started time.Time
	account figload.Account

	// These are set when done is closed.
	report  *figload.Report
	err     error
	elapsed time.Duration
}

// cmdLoad starts a load of one client account in the background:
// load l1 via=a1,b1 key=huber refunds=200 reads=0 streams=0 duration=4s
func (f *fleet) cmdLoad(words []string, opts options) error {
	duration, err := time.ParseDuration(opts.or("duration", "3s"))
	if err != nil {
		return err
	}
	number := func(name, standard string) int64 { n, _ := strconv.ParseInt(opts.or(name, standard), 10, 64); return n }
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

// cmdLoaded waits until loads have ended: loaded l1
func (f *fleet) cmdLoaded(words []string, _ options) error {
	for _, name := range words {
		r, ok := f.loads[name]
		if !ok {
			return errors.Newf("no load %s", name)
		}
		<-r.done
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// afterLoad measures the load in the first word, when it has ended.
func afterLoad(m func(*loadRun) int) measure {
	return func(f *fleet, words []string) (int, error) {
		if err := f.cmdLoaded(words, nil); err != nil {
			return 0, err
		}
		return m(f.loads[words[0]]), nil
	}
}

// loadDetail describes the load called name, if there is one that has ended.
func (f *fleet) loadDetail(name string) string {
	r, ok := f.loads[name]
	if !ok || r.report == nil {
		return ""
	}
	var b strings.Builder
	_ = r.report.Table(&b)
	return "\n" + b.String()
}

// refundRuns counts the refunds of the load that refundRuns.
func (r *loadRun) refundRuns() int {
	n := 0
	for _, q := range r.report.Accounts[0].Refunds {
		n += r.fleet.callRuns(q.Body)
	}
	return n
}

// callRuns counts the callRuns of a plain call with that body.
func (f *fleet) callRuns(body string) int {
	n := 0
	for _, s := range f.servers {
		if s.plain != nil {
			n += s.plain.Run(body).Calls
		}
	}
	return n
}

// allowedTokens is the most that the account may spend in the time of the load.
func (r *loadRun) allowedTokens() float64 {
	return float64(r.account.Rate)*r.elapsed.Seconds() + float64(r.account.Burst)
}

// overspentTokens returns the tokens that ran beyond rate and burst.
func (r *loadRun) overspentTokens() int {
	return max(0, int(float64(r.refundRuns())*float64(r.account.CallCost)-r.allowedTokens()))
}

// spentPercent returns the percentage of the allowance that ran.
func (r *loadRun) spentPercent() int {
	return int(100 * float64(r.refundRuns()) * float64(r.account.CallCost) / r.allowedTokens())
}

func (r *loadRun) refundViolations() int   { return len(r.report.CheckRefunds(r.fleet.callRuns)) }
func (r *loadRun) wrongfulRefusals() int { return r.report.Accounts[0].RefusedInside }
func (r *loadRun) wrongAnswers() int    { return r.report.Accounts[0].Wrong }
func (r *loadRun) offered() int  { return r.report.Accounts[0].Offered }
func (r *loadRun) answered() int {
	return r.report.Accounts[0].Answered + r.report.Accounts[0].PlainAnswered
}
