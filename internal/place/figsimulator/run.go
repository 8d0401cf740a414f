package figsimulator

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Scenario is what goes wrong during a run.
type Scenario uint8

const (
	// Healthy means that nothing goes wrong.
	Healthy Scenario = iota
	// DataCentreOut takes a data centre out, ends its processes and brings it back.
	DataCentreOut
	// ColdStarts ends two workers again and again, without a word on any list.
	ColdStarts
)

// String returns the name that the table uses.
func (s Scenario) String() string {
	return [...]string{"healthy", "data centre", "cold starts"}[s]
}

// Scenarios holds all scenarios.
var Scenarios = []Scenario{Healthy, DataCentreOut, ColdStarts}

const (
	// warmupTime is left out of the figures: instances and ramps start in it.
	warmupTime = 20 * time.Second
	// maxAttempts bounds the tries of one request.
	maxAttempts = 3
	// roundTripTime is the time of one message between instances or to a server, and back.
	roundTripTime = time.Millisecond
	// failedServerAvoidance is how long a policy without owners leaves a dead server alone.
	failedServerAvoidance = 2 * time.Second
)

// runner is one run of one policy over one trace.
type runner struct {
	*Deployment
	*Sim
	trace      *Trace
	rng        *rand.Rand
	engines    map[string]*Engine
	servers    []figview.Server
	drained    string
	stopped    string
	active     map[*call]struct{}
	avoidUntil map[string]time.Duration
	roundRobin map[figview.Role]int
	// queueLengths holds the queue lengths that answers carried, entry the instance
	// that places now.
	queueLengths    map[queueLengthKey]int
	placingInstance int
	place           func(c *call)
	stats           statistics
}

// Run places a trace on fresh engines by a policy and returns what came of it.
func Run(d *Deployment, t *Trace, p Policy, s Scenario) Result {
	r := &runner{
		Deployment: d, Sim: &Sim{}, trace: t,
		rng:          rand.New(rand.NewPCG(3, 4)),
		engines:      map[string]*Engine{},
		servers:      d.Servers(),
		active:       map[*call]struct{}{},
		avoidUntil:   map[string]time.Duration{},
		roundRobin:   map[figview.Role]int{},
		queueLengths: map[queueLengthKey]int{},
	}
	for _, x := range r.servers {
		r.engines[x.Name] = NewEngine(r.Sim, x, d.Spec)
	}
	r.place = p.prepare(r)
	r.scheduleFaults(s)
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		r.After(a.At, func() { r.arrive(a) })
	}
	r.Run(t.Length + d.ClientTimeout)
	return r.summarize(p, s)
}

// scheduleFaults plans what goes wrong.
func (r *runner) scheduleFaults(s Scenario) {
	third := r.trace.Length / 3
	switch s {
	case DataCentreOut:
		name := r.DataCentres[1]
		r.After(third, func() { r.drained = name })
		r.After(third*3/2, func() { r.stopDataCentre(name) })
		r.After(third*2, r.restoreDataCentre)
	case ColdStarts:
		for at := 20 * time.Second; at < r.trace.Length; at += 30 * time.Second {
			r.After(at, r.engines["decodea"].Restart)
			r.After(at+15*time.Second, r.engines["prefilla"].Restart)
		}
	}
}

// stopDataCentre ends all processes of a data centre.
func (r *runner) stopDataCentre(name string) {
	r.stopped = name
	for _, s := range r.servers {
		if s.DataCentre == name {
			r.engines[s.Name].Stop()
		}
	}
	for _, c := range slices.SortedFunc(maps.Keys(r.active), func(a, b *call) int { return cmp.Compare(a.number, b.number) }) {
		if r.dataCentreOf(c.instance) == name {
			r.abort(c)
		}
	}
}

func (r *runner) restoreDataCentre() {
	for _, s := range r.servers {
		if s.DataCentre == r.stopped {
			r.engines[s.Name].Start()
		}
	}
	r.stopped, r.drained = "", ""
}

func (r *runner) dataCentreOf(entry int) string { return r.DataCentres[entry%len(r.DataCentres)] }

// call is one request on its way.
type call struct {
	*Arrival
	number             int
	id                 string
	instance           int
	measured           bool
	attempts           int
	excludedServers    []string
	prefill            *Engine
	decode             *Engine
	firstTokenAt       time.Duration
	ended              bool
	release            func()
	prefillDone        func(tokens int64, took time.Duration)
	transferDone       func(bytes int64, took time.Duration)
	reportFailure      func(server string, o Outcome)
	setGeneratedTokens func(tokens int64)
}

// arrive starts a request at its instance, or at another one if that has left.
func (r *runner) arrive(a *Arrival) {
	c := &call{Arrival: a, instance: a.Instance, measured: a.At >= warmupTime, firstTokenAt: -1}
	for r.drained != "" && r.dataCentreOf(c.instance) == r.drained {
		c.instance = r.rng.IntN(r.Instances)
	}
	c.number = r.stats.arrived
	c.id = requestID(c.number)
	r.stats.recordArrival(c)
	r.active[c] = struct{}{}
	r.After(r.ClientTimeout, func() {
		if !c.ended {
			r.abort(c)
		}
	})
	r.place(c)
}

// abort ends a request whose caller or instance is gone.
func (r *runner) abort(c *call) {
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.running {
			e.Cancel(c.id)
		}
	}
	r.end(c, false)
}

// end settles a request.
func (r *runner) end(c *call, good bool) {
	if c.ended {
		return
	}
	c.ended = true
	delete(r.active, c)
	if c.release != nil {
		c.release()
		c.release = nil
	}
	r.stats.recordEnd(c, good)
}

// start runs a request on the servers that were chosen for it.
func (r *runner) start(c *call) {
	if c.Plain {
		r.startDecode(c)
		return
	}
	began := r.now
	c.prefill.Submit(&Work{
		ID: c.id, PromptTokens: c.PromptTokens, PrefixGroup: c.PrefixGroup, SharedTokens: c.SharedTokens,
		OnEnd: func(o Outcome, tokens int64) {
			if c.ended {
				return
			}
			if o != Completed {
				r.retry(c, c.prefill, o)
				return
			}
			r.recordQueueLength(c, c.prefill)
			if c.prefillDone != nil {
				c.prefillDone(tokens, r.now-began)
			}
			r.After(roundTripTime, func() { r.startDecode(c) })
		},
	}, nil)
}

func (r *runner) startDecode(c *call) {
	if c.ended {
		return
	}
	c.decode.Submit(&Work{
		ID: c.id, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Pieces: r.pieces(c.PromptTokens),
		OnTransferDone: func(bytes int64, took time.Duration) {
			if c.transferDone != nil {
				c.transferDone(bytes, took)
			}
		},
		OnFirstToken: func() { c.firstTokenAt = r.now },
		OnEnd: func(o Outcome, tokens int64) {
			if c.ended {
				return
			}
			if o != Completed {
				r.retry(c, c.decode, o)
				return
			}
			r.complete(c, tokens)
		},
	}, c.prefill)
}

func (r *runner) complete(c *call, tokens int64) {
	r.recordQueueLength(c, c.decode)
	if c.setGeneratedTokens != nil {
		c.setGeneratedTokens(tokens)
	}
	if c.Plain {
		c.firstTokenAt = r.now
		r.end(c, c.firstTokenAt-c.At <= r.PlainTarget)
		return
	}
	between := (r.now - c.firstTokenAt) / time.Duration(max(1, tokens-1))
	r.stats.recordLatencies(c, between)
	r.end(c, c.firstTokenAt-c.At <= r.FirstTokenTarget && between <= r.BetweenTokensTarget)
}

// retry tries a request once more that failed before its first token.
func (r *runner) retry(c *call, at *Engine, o Outcome) {
	if c.reportFailure != nil {
		c.reportFailure(at.Name, o)
	}
	if c.release != nil {
		c.release()
		c.release = nil
	}
	if o == ProcessEnded {
		r.avoidUntil[at.Name] = r.now + failedServerAvoidance
		c.excludedServers = append(c.excludedServers, at.Name)
	}
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.running {
			e.Cancel(c.id)
		}
	}
	c.attempts++
	if c.firstTokenAt >= 0 || c.attempts >= maxAttempts || c.Plain && o == ProcessEnded && c.attempts > 1 {
		r.end(c, false)
		return
	}
	r.place(c)
}
