package figload

import (
	"cmp"
	"math/rand/v2"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// Range is an inclusive range of a token count.
type Range struct {
	Low, High int
}

func (r Range) pick(random *rand.Rand) int {
	if r.High <= r.Low {
		return r.Low
	}
	return r.Low + random.IntN(r.High-r.Low+1)
}

// Account is the load of one client account.
type Account struct {
	// Name labels the account in the report.
	Name string
	// Key goes into the Authorization header; empty sends none.
	Key string
	// Rate and Burst are the account's declared limits, in tokens a second and tokens.
	Rate, Burst int64
	// StartFull lets the caller's own bucket start with the whole burst. It
	// starts empty otherwise, as that of a fleet that has just started.
	StartFull bool
	// Model is the model name of the streams.
	Model string
	// StreamsPerSecond, ReadsPerSecond and RefundsPerSecond are mean arrivals.
	StreamsPerSecond, ReadsPerSecond, RefundsPerSecond float64
	// PromptTokens and OutputTokens bound the streams' sizes.
	PromptTokens, OutputTokens Range
	// PrefixTokens is the length of the start that all its prompts share.
	PrefixTokens int
	// CancelShare is the share of streams that the caller leaves half way.
	CancelShare float64
	// ReadPath and RefundPath are the paths of the plain calls.
	ReadPath, RefundPath string
	// CallCost is the declared charge of a plain call, in tokens.
	CallCost int64
}

// Options configures a run.
type Options struct {
	// Targets holds the caller addresses of the instances, used in turn.
	Targets []string
	// Accounts holds the load of each client account.
	Accounts []Account
	// Duration is how long requests are started.
	Duration time.Duration
	// Requests bounds the number of requests; 100,000 by default.
	Requests int
	// Open bounds the requests that are open at once; 1,000 by default. Arrivals
	// above it are not sent and are reported as skipped.
	Open int
	// Timeout bounds one request; 30 s by default.
	Timeout time.Duration
	// FirstToken and BetweenTokens are the latency targets for goodput.
	FirstToken, BetweenTokens time.Duration
	// Seed makes arrivals and sizes repeatable.
	Seed uint64
	// Charge returns what a stream is charged on admission, in tokens; by
	// default the prompt's tokens plus the output limit.
	Charge func(prompt string, output int) int64
	// Clock is the source of time.
	Clock figtimer.Clock
}

func (o Options) withDefaults() Options {
	o.Requests = cmp.Or(o.Requests, 100_000)
	o.Open = cmp.Or(o.Open, 1000)
	o.Timeout = cmp.Or(o.Timeout, 30*time.Second)
	o.FirstToken = cmp.Or(o.FirstToken, 1400*time.Millisecond)
	o.BetweenTokens = cmp.Or(o.BetweenTokens, 34*time.Millisecond)
	if o.Charge == nil {
		o.Charge = func(prompt string, output int) int64 {
			return int64(figemulator.CountTokens(prompt) + output)
		}
	}
	if o.Clock.Now == nil {
		o.Clock = figtimer.System()
	}
	return o
}
