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
	// settleTime is left out of the figures: instances and ramps start in it.
	settleTime = 20 * time.Second
	// maxTries bounds the tries of one request.
	maxTries = 3
	// hop is the time of one message between instances or to a server, and back.
	hop = time.Millisecond
	// suspectTime is how long a policy without owners leaves a dead server alone.
	suspectTime = 2 * time.Second
)

// runner is one run of one policy over one trace.
type runner struct {
	*Deployment
	*Sim
	trace   *Trace
	rng     *rand.Rand
	engines map[string]*Engine
	servers []figview.Server
	out     string
	gone    string
	calls   map[*call]struct{}
	suspect map[string]time.Duration
	turn    map[figview.Role]int
	// carried holds the queue lengths that answers carried, entry the instance
	// that places now.
	carried map[carriedKey]int
	entry   int
	place   func(c *call)
	tally   tally
}

// Run places a trace on fresh engines by a policy and returns what came of it.
func Run(d *Deployment, t *Trace, p Policy, s Scenario) Result {
	r := &runner{
		Deployment: d, Sim: &Sim{}, trace: t,
		rng:     rand.New(rand.NewPCG(3, 4)),
		engines: map[string]*Engine{},
		servers: d.Servers(),
		calls:   map[*call]struct{}{},
		suspect: map[string]time.Duration{},
		turn:    map[figview.Role]int{},
		carried: map[carriedKey]int{},
	}
	for _, x := range r.servers {
		r.engines[x.Name] = NewEngine(r.Sim, x, d.Spec)
	}
	r.place = p.prepare(r)
	r.script(s)
	for i := range t.Arrivals {
		a := &t.Arrivals[i]
		r.After(a.At, func() { r.arrive(a) })
	}
	r.Run(t.Length + d.Patience)
	return r.result(p, s)
}

// script plans what goes wrong.
func (r *runner) script(s Scenario) {
	third := r.trace.Length / 3
	switch s {
	case DataCentreOut:
		name := r.DataCentres[1]
		r.After(third, func() { r.out = name })
		r.After(third*3/2, func() { r.leave(name) })
		r.After(third*2, r.comeBack)
	case ColdStarts:
		for at := 20 * time.Second; at < r.trace.Length; at += 30 * time.Second {
			r.After(at, r.engines["decodea"].Restart)
			r.After(at+15*time.Second, r.engines["prefilla"].Restart)
		}
	}
}

// leave ends all processes of a data centre.
func (r *runner) leave(name string) {
	r.gone = name
	for _, s := range r.servers {
		if s.DataCentre == name {
			r.engines[s.Name].Stop()
		}
	}
	for _, c := range slices.SortedFunc(maps.Keys(r.calls), func(a, b *call) int { return cmp.Compare(a.number, b.number) }) {
		if r.entryCentre(c.entry) == name {
			r.drop(c)
		}
	}
}

func (r *runner) comeBack() {
	for _, s := range r.servers {
		if s.DataCentre == r.gone {
			r.engines[s.Name].Start()
		}
	}
	r.gone, r.out = "", ""
}

func (r *runner) entryCentre(entry int) string { return r.DataCentres[entry%len(r.DataCentres)] }

// call is one request on its way.
type call struct {
	*Arrival
	number   int
	id       string
	entry    int
	counted  bool
	tries    int
	avoid    []string
	prefill  *Engine
	decode   *Engine
	first    time.Duration
	over     bool
	released func()
	prefills func(tokens int64, took time.Duration)
	moved    func(bytes int64, took time.Duration)
	failed   func(server string, o Outcome)
	progress func(tokens int64)
}

// arrive starts a request at its instance, or at another one if that has left.
func (r *runner) arrive(a *Arrival) {
	c := &call{Arrival: a, entry: a.Entry, counted: a.At >= settleTime, first: -1}
	for r.out != "" && r.entryCentre(c.entry) == r.out {
		c.entry = r.rng.IntN(r.Entries)
	}
	c.number = r.tally.arrived
	c.id = requestID(c.number)
	r.tally.arrive(c)
	r.calls[c] = struct{}{}
	r.After(r.Patience, func() {
		if !c.over {
			r.drop(c)
		}
	})
	r.place(c)
}

// drop ends a request whose caller or instance is gone.
func (r *runner) drop(c *call) {
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.up {
			e.Cancel(c.id)
		}
	}
	r.end(c, false)
}

// end settles a request.
func (r *runner) end(c *call, good bool) {
	if c.over {
		return
	}
	c.over = true
	delete(r.calls, c)
	if c.released != nil {
		c.released()
		c.released = nil
	}
	r.tally.settle(c, good)
}

// start runs a request on the servers that were chosen for it.
func (r *runner) start(c *call) {
	if c.Plain {
		r.startDecode(c)
		return
	}
	began := r.now
	c.prefill.Submit(&Work{
		ID: c.id, Prompt: c.Prompt, Prefix: c.Prefix, Shared: c.Shared,
		End: func(o Outcome, tokens int64) {
			if c.over {
				return
			}
			if o != Done {
				r.again(c, c.prefill, o)
				return
			}
			r.carry(c, c.prefill)
			if c.prefills != nil {
				c.prefills(tokens, r.now-began)
			}
			r.After(hop, func() { r.startDecode(c) })
		},
	}, nil)
}

func (r *runner) startDecode(c *call) {
	if c.over {
		return
	}
	c.decode.Submit(&Work{
		ID: c.id, Prompt: c.Prompt, Output: c.Output, Pieces: r.pieces(c.Prompt),
		Moved: func(bytes int64, took time.Duration) {
			if c.moved != nil {
				c.moved(bytes, took)
			}
		},
		First: func() { c.first = r.now },
		End: func(o Outcome, tokens int64) {
			if c.over {
				return
			}
			if o != Done {
				r.again(c, c.decode, o)
				return
			}
			r.answered(c, tokens)
		},
	}, c.prefill)
}

func (r *runner) answered(c *call, tokens int64) {
	r.carry(c, c.decode)
	if c.progress != nil {
		c.progress(tokens)
	}
	if c.Plain {
		c.first = r.now
		r.end(c, c.first-c.At <= r.PlainTarget)
		return
	}
	between := (r.now - c.first) / time.Duration(max(1, tokens-1))
	r.tally.latencies(c, between)
	r.end(c, c.first-c.At <= r.FirstToken && between <= r.BetweenTokens)
}

// again tries a request once more that failed before its first token.
func (r *runner) again(c *call, at *Engine, o Outcome) {
	if c.failed != nil {
		c.failed(at.Name, o)
	}
	if c.released != nil {
		c.released()
		c.released = nil
	}
	if o == Died {
		r.suspect[at.Name] = r.now + suspectTime
		c.avoid = append(c.avoid, at.Name)
	}
	for _, e := range []*Engine{c.prefill, c.decode} {
		if e != nil && e.up {
			e.Cancel(c.id)
		}
	}
	c.tries++
	if c.first >= 0 || c.tries >= maxTries || c.Plain && o == Died && c.tries > 1 {
		r.end(c, false)
		return
	}
	r.place(c)
}
