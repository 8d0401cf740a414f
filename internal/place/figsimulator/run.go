package figsimulator

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Scenario selects the faults that are injected during a run.
type Scenario uint8

const (
	// Healthy injects no fault.
	Healthy Scenario = iota
	// DataCentreOut drains a data centre, stops its instances and servers, and starts them again.
	DataCentreOut
	// ColdStarts restarts a decode and a prefill server every 30 s. The published lists don't show it.
	ColdStarts
)

// String returns the scenario's name in the table.
func (s Scenario) String() string {
	return [...]string{"healthy", "data centre", "cold starts"}[s]
}

// Scenarios holds all scenarios in the order of the table.
var Scenarios = []Scenario{Healthy, DataCentreOut, ColdStarts}

const (
	// warmupTime is the time at the start of a run, in which instances and load ramps start. Requests that
	// arrive in this time aren't measured.
	warmupTime = 20 * time.Second
	// placementLimit is the largest number of times that a request is placed.
	placementLimit = 3
	// roundTripTime is the time of one message between instances or to a server, with its reply.
	roundTripTime = time.Millisecond
	// failedServerAvoidance is the time for which policies without owners don't choose a server whose process
	// has ended.
	failedServerAvoidance = 2 * time.Second
)

// runner is the state of one run of a policy over a trace. Its drained field names the data centre that takes
// no new requests, and stopped the one whose processes are down; both are empty without such a data centre.
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
	// queueLengths holds the queue lengths that servers sent with their last responses. placingInstance is the
	// instance that places a request at present.
	queueLengths    map[queueLengthKey]int
	placingInstance int
	place           func(c *call)
	stats           statistics
}

// Run simulates a trace on new engines with the given policy and faults, and returns the measurements.
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

// scheduleFaults schedules the faults of the scenario.
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

// stopDataCentre stops all servers and instances of a data centre. The requests of its instances fail.
func (r *runner) stopDataCentre(name string) {
	r.stopped = name
	for _, s := range r.servers {
		if s.DataCentre == name {
			r.engines[s.Name].Stop()
		}
	}
	for _, c := range slices.SortedFunc(
		maps.Keys(r.active), func(a, b *call) int { return cmp.Compare(a.number, b.number) },
	) {
		if r.dataCentreOf(c.instance) == name {
			r.abort(c)
		}
	}
}

// restoreDataCentre starts the stopped data centre again.
func (r *runner) restoreDataCentre() {
	for _, s := range r.servers {
		if s.DataCentre == r.stopped {
			r.engines[s.Name].Start()
		}
	}
	r.stopped, r.drained = "", ""
}

// dataCentreOf returns the data centre of an instance.
func (r *runner) dataCentreOf(instance int) string { return r.DataCentres[instance%len(r.DataCentres)] }

// call is the state of one request. The function fields are set by the policy Figtrail; they pass the events
// of the request to its placement.
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

// arrive places a request from its instance, or from a random one outside the drained data centre if its
// instance is in there.
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

// abort cancels a request on its servers and counts it as failed.
func (r *runner) abort(c *call) {
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.running {
			e.Cancel(c.id)
		}
	}
	r.end(c, false)
}

// end releases the request's reservations and records whether the request was answered within its latency
// targets. A second call does nothing.
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

// start submits a request to the servers that were chosen for it: the decode follows the prefill.
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

// startDecode submits a request to its decode or plain server.
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

// complete records the latencies of a request that was answered in full, and ends the request.
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

// retry places a request again after it failed on failedEngine. The request ends instead if its first token was
// generated, if placementLimit is reached, or if a plain request met its second ended process.
func (r *runner) retry(c *call, failedEngine *Engine, o Outcome) {
	if c.reportFailure != nil {
		c.reportFailure(failedEngine.Name, o)
	}
	if c.release != nil {
		c.release()
		c.release = nil
	}
	if o == ProcessEnded {
		r.avoidUntil[failedEngine.Name] = r.now + failedServerAvoidance
		c.excludedServers = append(c.excludedServers, failedEngine.Name)
	}
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.running {
			e.Cancel(c.id)
		}
	}
	c.attempts++
	if c.firstTokenAt >= 0 || c.attempts >= placementLimit || c.Plain && o == ProcessEnded && c.attempts > 1 {
		r.end(c, false)
		return
	}
	r.place(c)
}
