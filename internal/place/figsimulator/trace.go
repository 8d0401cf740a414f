package figsimulator

import (
	"math"
	"math/rand/v2"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Account is one client account of a deployment.
type Account struct {
	// Name is the account's name, Share its part of the requests.
	Name  string
	Share float64
}

// Deployment is what is placed on and for whom.
type Deployment struct {
	// Name is the deployment's name.
	Name string
	// DataCentres holds the names of the data centres.
	DataCentres []string
	// Instances is the number of instances.
	Instances int
	// PrefillServers and Decodes are the numbers of workers, Plains that of the servers
	// of the plain service beside them.
	PrefillServers, DecodeServers, PlainServers int
	// Spec is what a worker can do.
	Spec Spec
	// Accounts holds the client accounts.
	Accounts []Account
	// PromptMean and OutputMean are the mean sizes, OutputLimit what a caller
	// allows, PrefixShare the part of a prompt that others share.
	PromptMean, OutputMean, OutputLimit int64
	PrefixShare                         float64
	// PlainRate is the calls a second of the plain service at full load.
	PlainRate float64
	// FirstToken, BetweenTokens and PlainTarget are the latency targets.
	FirstTokenTarget, BetweenTokensTarget, PlainTarget time.Duration
	// ClientTimeout is how long a caller waits for the end of an answer.
	ClientTimeout time.Duration
}

// promptSizeLogDeviation is the standard deviation of the logarithm of prompt sizes.
const promptSizeLogDeviation = 0.8

// workerSpec returns what the workers of both deployments have in common.
func workerSpec() Spec {
	return Spec{
		PrefillTokensPerSecond: 20000, Pieces: 56, PieceTokens: 2048,
		StepBase: 14 * time.Millisecond, StepPerRequest: 800 * time.Microsecond,
		LinkBytesPerSecond: 8e9, KVBytesPerToken: 128 << 10, ResultLifetime: 800 * time.Millisecond,
		CachePrefixes: 8, ReportInterval: 500 * time.Millisecond, WarmupPromptTokens: 40000, WarmupOutputTokens: 4000, WarmupCalls: 200,
		CallDuration: 30 * time.Millisecond, MaxConcurrentCalls: 8,
	}
}

// Huber returns the deployment of Huber & Söhne: settlement summaries.
func Huber() *Deployment {
	return &Deployment{
		Name: "huber", DataCentres: []string{"nuremberg", "munich", "augsburg"}, Instances: 6,
		PrefillServers: 4, DecodeServers: 6, Spec: workerSpec(),
		Accounts: []Account{
			{"stadium", 0.40}, {"festival", 0.30}, {"garden", 0.15}, {"treasury", 0.10}, {"clerks", 0.05},
		},
		PromptMean: 3600, OutputMean: 220, OutputLimit: 400, PrefixShare: 0.25,
		FirstTokenTarget: 1400 * time.Millisecond, BetweenTokensTarget: 34 * time.Millisecond,
		ClientTimeout: 30 * time.Second,
	}
}

// Loudhailer returns the deployment of the cooperative: scripts and bookings.
func Loudhailer() *Deployment {
	return &Deployment{
		Name: "loudhailer", DataCentres: []string{"austin", "waco", "temple", "bastrop"}, Instances: 8,
		PrefillServers: 5, DecodeServers: 7, PlainServers: 4, Spec: workerSpec(),
		Accounts: []Account{
			{"rally", 0.35}, {"rodeo", 0.30}, {"funrun", 0.15}, {"shelter", 0.12}, {"office", 0.08},
		},
		PromptMean: 4400, OutputMean: 180, OutputLimit: 300, PrefixShare: 0.25, PlainRate: 60,
		FirstTokenTarget: 1400 * time.Millisecond, BetweenTokensTarget: 34 * time.Millisecond,
		PlainTarget: 150 * time.Millisecond, ClientTimeout: 30 * time.Second,
	}
}

// Servers returns the backend servers, spread over the data centres.
func (d *Deployment) Servers() []figview.Server {
	var all []figview.Server
	add := func(kind, pool string, role figview.Role, n int) {
		for i := range n {
			all = append(all, figview.Server{
				Name: kind + string(rune('a'+i)), Pool: pool, Role: role,
				DataCentre: d.DataCentres[i%len(d.DataCentres)],
			})
		}
	}
	add("decode", chatPool, figview.Decode, d.DecodeServers)
	add("plain", plainPool, figview.Plain, d.PlainServers)
	add("prefill", chatPool, figview.Prefill, d.PrefillServers)
	return all
}

const (
	chatPool  = "chat"
	plainPool = "desk"
)

// pieces returns the engine memory of a request.
func (d *Deployment) pieces(prompt int64) int64 {
	return (prompt + d.OutputLimit + d.Spec.PieceTokens - 1) / d.Spec.PieceTokens
}

// Capacity returns the requests a second that the workers can do: the lower of
// what the prefill servers compute without any cache and what the decode servers
// hold in memory, at the speed of a full batch.
func (d *Deployment) Capacity() float64 {
	rng := rand.New(rand.NewPCG(1, 1))
	const samples = 20000
	prompt, pieces := 0.0, 0.0
	for range samples {
		n := d.prompt(rng)
		prompt += float64(n) / samples
		pieces += float64(d.pieces(n)) / samples
	}
	prefill := float64(d.PrefillServers) * d.Spec.PrefillTokensPerSecond / prompt
	batch := float64(d.Spec.Pieces) / pieces
	step := d.Spec.StepBase.Seconds() + batch*d.Spec.StepPerRequest.Seconds()
	decode := float64(d.DecodeServers) * batch / (step * float64(d.OutputMean))
	return min(prefill, decode)
}

// prompt draws the size of a prompt.
func (d *Deployment) prompt(rng *rand.Rand) int64 {
	mean := math.Log(float64(d.PromptMean)) - promptSizeLogDeviation*promptSizeLogDeviation/2
	n := math.Exp(mean + promptSizeLogDeviation*rng.NormFloat64())
	return int64(min(max(n, 50), 16000))
}

// output draws the size of an answer.
func (d *Deployment) output(rng *rand.Rand) int64 {
	n := float64(d.OutputMean) * (0.4 + 1.2*rng.Float64())
	return int64(min(n, float64(d.OutputLimit)))
}

// Arrival is one request of a trace.
type Arrival struct {
	// At is when it arrives, Entry at which instance, Account for whom.
	At                time.Duration
	Instance, Account int
	// PromptTokens and Output are its sizes; Prefix is the group that it shares the
	// first Shared tokens with.
	PromptTokens, OutputTokens, PrefixGroup, SharedTokens int64
	// Plain says that it is a call of the plain service.
	Plain bool
}

// Trace is a sequence of requests.
type Trace struct {
	// Load is the part of the capacity that it asks for.
	Load float64
	// Length is the time that it covers.
	Length time.Duration
	// Arrivals holds the requests in order of time.
	Arrivals []Arrival
}

const prefixGroups = 40

// NewTrace makes a trace from a seed. The same seed and load give the same trace.
func NewTrace(d *Deployment, load float64, length time.Duration, seed uint64) *Trace {
	t := &Trace{Load: load, Length: length}
	rng := rand.New(rand.NewPCG(seed, 2))
	chat := d.Capacity() * load
	plain := d.PlainRate * load
	for at := 0.0; ; {
		at += rng.ExpFloat64() / (chat + plain)
		if at >= length.Seconds() {
			return t
		}
		a := Arrival{At: time.Duration(at * float64(time.Second)), Instance: rng.IntN(d.Instances)}
		a.Account = d.account(rng.Float64())
		a.Plain = rng.Float64() < plain/(chat+plain)
		if !a.Plain {
			a.PromptTokens, a.OutputTokens = d.prompt(rng), d.output(rng)
			a.PrefixGroup = int64(a.Account*prefixGroups + rng.IntN(prefixGroups))
			a.SharedTokens = int64(d.PrefixShare * float64(a.PromptTokens))
		}
		t.Arrivals = append(t.Arrivals, a)
	}
}

func (d *Deployment) account(x float64) int {
	for i, a := range d.Accounts {
		if x < a.Share {
			return i
		}
		x -= a.Share
	}
	return len(d.Accounts) - 1
}
