package figsimulator

import (
	"math"
	"math/rand/v2"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Account is a client account of a deployment.
type Account struct {
	// Name is the account's name. Share is its fraction of the requests.
	Name  string
	Share float64
}

// Deployment describes the instances and backend servers of a simulation, and the requests of its clients.
type Deployment struct {
	// Name is the deployment's name in the table.
	Name string
	// DataCentres holds the names of the data centres.
	DataCentres []string
	// Instances is the number of instances, which are spread over the data centres in turn.
	Instances int
	// PrefillServers, DecodeServers and PlainServers are the numbers of servers of each role.
	PrefillServers, DecodeServers, PlainServers int
	// Spec holds the capacity and the timing of each engine.
	Spec Spec
	// Accounts holds the client accounts; their shares add up to 1.
	Accounts []Account
	// PromptMean and OutputMean are the mean sizes of prompts and answers in tokens, and OutputLimit is the
	// requested limit of the answer. PrefixShare is the fraction of a prompt that it has in common with the
	// other prompts of its prefix group.
	PromptMean, OutputMean, OutputLimit int64
	PrefixShare                         float64
	// PlainRate is the number of plain requests per second at a load of 1.
	PlainRate float64
	// FirstTokenTarget, BetweenTokensTarget and PlainTarget are the latency targets for the first token, for the
	// mean time between tokens and for plain requests.
	FirstTokenTarget, BetweenTokensTarget, PlainTarget time.Duration
	// ClientTimeout is the time after which a caller cancels its request.
	ClientTimeout time.Duration
}

// promptSizeLogDeviation is the standard deviation of the logarithm of prompt sizes, which are log-normal.
const promptSizeLogDeviation = 0.8

// workerSpec returns the engine spec that both deployments use.
func workerSpec() Spec {
	return Spec{
		PrefillTokensPerSecond: 20000, Pieces: 56, PieceTokens: 2048,
		StepBase: 14 * time.Millisecond, StepPerRequest: 800 * time.Microsecond,
		LinkBytesPerSecond: 8e9, KVBytesPerToken: 128 << 10, ResultLifetime: 800 * time.Millisecond,
		CachePrefixes: 8, ReportInterval: 500 * time.Millisecond,
		WarmupPromptTokens: 40000, WarmupOutputTokens: 4000, WarmupCalls: 200,
		CallDuration: 30 * time.Millisecond, MaxConcurrentCalls: 8,
	}
}

// Huber returns the deployment of Huber & Söhne, which generates settlement summaries.
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

// Loudhailer returns the deployment of the cooperative, which generates scripts and has a plain booking service.
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

// Servers returns the backend servers. The servers of each role are spread over the data centres in turn.
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

// The pools of the model requests and of the plain requests.
const (
	chatPool  = "chat"
	plainPool = "desk"
)

// pieces returns the memory that a decode engine allocates for a request: the pieces for the prompt and for
// OutputLimit tokens.
func (d *Deployment) pieces(prompt int64) int64 {
	return (prompt + d.OutputLimit + d.Spec.PieceTokens - 1) / d.Spec.PieceTokens
}

// Capacity returns the number of model requests per second that the servers can process: the lower of the
// prefill rate without prefix caching and the decode rate with memory-limited full batches.
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

// prompt draws a random prompt size in tokens, between 50 and 16000.
func (d *Deployment) prompt(rng *rand.Rand) int64 {
	mean := math.Log(float64(d.PromptMean)) - promptSizeLogDeviation*promptSizeLogDeviation/2
	n := math.Exp(mean + promptSizeLogDeviation*rng.NormFloat64())
	return int64(min(max(n, 50), 16000))
}

// output draws a random answer size in tokens, up to OutputLimit.
func (d *Deployment) output(rng *rand.Rand) int64 {
	n := float64(d.OutputMean) * (0.4 + 1.2*rng.Float64())
	return int64(min(n, float64(d.OutputLimit)))
}

// Arrival is one request of a trace.
type Arrival struct {
	// At is the arrival time since the start of the trace. Instance and Account are the indexes of the instance
	// that receives the request and of its client account.
	At                time.Duration
	Instance, Account int
	// PromptTokens and OutputTokens are the sizes of the prompt and of the answer. The first SharedTokens of the
	// prompt are the same in all prompts of the PrefixGroup.
	PromptTokens, OutputTokens, PrefixGroup, SharedTokens int64
	// Plain is set for requests to the plain service, which have no prompt.
	Plain bool
}

// Trace is a generated sequence of requests.
type Trace struct {
	// Load is the offered load as a fraction of the deployment's capacity.
	Load float64
	// Length is the time that the trace covers.
	Length time.Duration
	// Arrivals holds the requests in order of arrival.
	Arrivals []Arrival
}

// prefixGroups is the number of prefix groups of each client account.
const prefixGroups = 40

// NewTrace generates a trace with Poisson arrivals. The same arguments give the same trace.
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

// account maps x, a number from 0 to 1, to the index of an account in proportion to the accounts' shares.
func (d *Deployment) account(x float64) int {
	for i, a := range d.Accounts {
		if x < a.Share {
			return i
		}
		x -= a.Share
	}
	return len(d.Accounts) - 1
}
