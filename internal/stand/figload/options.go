package figload

import (
	"cmp"
	"math/rand/v2"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// Range is a range of token counts, both ends included.
type Range struct {
	Min, Max int
}

// pick returns a uniformly random number in the range.
func (r Range) pick(random *rand.Rand) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + random.IntN(r.Max-r.Min+1)
}

// Account describes the load of one client account.
type Account struct {
	// Name identifies the account in the report and in request texts.
	Name string
	// Key is sent in the Authorization header; if empty, the header is omitted.
	Key string
	// Rate and Burst are the account's declared limits, in tokens per second and in tokens.
	Rate, Burst int64
	// StartFull makes the load generator's own token bucket start with the whole burst.
	// Otherwise it starts empty, like the buckets of a fleet that has just started.
	StartFull bool
	// Model is the model name of the streams.
	Model string
	// StreamsPerSecond, ReadsPerSecond and RefundsPerSecond are mean arrival rates.
	StreamsPerSecond, ReadsPerSecond, RefundsPerSecond float64
	// PromptTokens and OutputTokens are the ranges of prompt and output sizes of streams.
	PromptTokens, OutputTokens Range
	// PrefixTokens is the length of the prefix that all prompts of the account share.
	PrefixTokens int
	// CancelShare is the share of streams, from 0 to 1, that the caller cancels after half of the output.
	CancelShare float64
	// ReadPath and RefundPath are the paths of the plain calls.
	ReadPath, RefundPath string
	// CallCost is the charge of a plain call, in tokens.
	CallCost int64
}

// Options configures a run.
type Options struct {
	// Targets holds the addresses of the instances for callers, used round robin.
	Targets []string
	// Accounts holds the load of each client account.
	Accounts []Account
	// Duration is how long Run starts new requests.
	Duration time.Duration
	// MaxRequests is the maximum number of requests; 100,000 by default.
	MaxRequests int
	// MaxOpen is the maximum number of concurrent requests; 1,000 by default. Further
	// arrivals are not sent and are reported as skipped.
	MaxOpen int
	// Timeout is the timeout of one request; 30 s by default.
	Timeout time.Duration
	// FirstToken and BetweenTokens are the latency targets for goodput: the time to the
	// first token and the mean time between tokens; 1.4 s and 34 ms by default.
	FirstToken, BetweenTokens time.Duration
	// Seed makes arrivals and sizes repeatable.
	Seed uint64
	// Charge returns the charge of a stream on admission, in tokens; by default the
	// prompt's tokens plus the maximum number of output tokens.
	Charge func(prompt string, output int) int64
	// Clock is the source of time; the system clock by default.
	Clock figtimer.Clock
}

func (o Options) withDefaults() Options {
	o.MaxRequests = cmp.Or(o.MaxRequests, 100_000)
	o.MaxOpen = cmp.Or(o.MaxOpen, 1000)
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
