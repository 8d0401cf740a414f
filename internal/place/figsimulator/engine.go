package figsimulator

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Outcome is how work on an engine ended.
type Outcome uint8

const (
	// Done means that the work was done.
	Done Outcome = iota
	// ResultGone means that the prefill's result was gone when it was fetched.
	ResultGone
	// Died means that the engine's process ended.
	Died
)

// Spec is what an engine can do.
type Spec struct {
	// PrefillSpeed is in tokens a second.
	PrefillSpeed float64
	// Pieces is the memory of a decode engine, PieceTokens the size of a piece.
	Pieces, PieceTokens int64
	// StepBase and StepEach make up the time of a decode step: a constant part
	// and one for each request in the batch.
	StepBase, StepEach time.Duration
	// Link is the rate of a decode engine's link, in bytes a second, and KVBytes
	// the KV cache of one token.
	Link, KVBytes float64
	// ResultLife is how long a prefill's result survives.
	ResultLife time.Duration
	// CachePrefixes is the number of prompt prefixes that the memory holds.
	CachePrefixes int
	// ReportEvery is the time between two reports; each shows the state before.
	ReportEvery time.Duration
	// WarmPrompt, WarmTokens and WarmCalls are the work that ends a cold start of a
	// prefill, a decode and a plain engine.
	WarmPrompt, WarmTokens, WarmCalls float64
	// CallTime and Calls are the time of a plain call and how many run at once.
	CallTime time.Duration
	Calls    int
}

const (
	// coldSpeed is the part of its speed that an engine has at its start.
	coldSpeed = 0.15
	// coldRoom is how much more of its full load than of its speed a cold engine
	// bears before it breaks down.
	coldRoom = 2
	// restartTime is how long a process takes to come back.
	restartTime = 2 * time.Second
	// prefillSeconds is the queue that counts as the full load of a prefill engine.
	prefillSeconds = 3
	// breakdownCheck is how often a breakdown is looked for.
	breakdownCheck = 250 * time.Millisecond
)

// Work is one request on one engine.
type Work struct {
	ID             string
	Prompt, Output int64
	// Pieces is the memory that it takes on a decode engine.
	Pieces int64
	// Prefix is the group of prompts that share their first Shared tokens.
	Prefix, Shared int64
	// Moved and First are called when the KV cache was moved and when the first
	// token is out, End when the work has ended.
	Moved func(bytes int64, took time.Duration)
	First func()
	End   func(o Outcome, tokens int64)

	from   *Engine
	run    bool
	tokens float64
	gone   bool
}

// result is the KV cache that a prefill has left.
type result struct{ tokens int64 }

// Engine is a fake of one backend server.
type Engine struct {
	figview.Server
	Spec
	// Computed and Wasted count prefill tokens; wasted ones are those whose result
	// expired or was given up.
	Computed, Wasted int64
	// Breakdowns counts the cold starts that too much work has caused.
	Breakdowns int
	// PeakPieces is the most memory that was ever taken.
	PeakPieces int64

	sim      *Sim
	up       bool
	life     int
	started  time.Time
	worked   float64
	queue    []*Work
	held     []*Work
	results  map[string]result
	cache    []int64
	linkFree time.Duration
	updated  time.Duration
	turn     int
	reports  [2]*figowner.Report
}

// NewEngine returns an engine that is warm.
func NewEngine(s *Sim, server figview.Server, spec Spec) *Engine {
	e := &Engine{Server: server, Spec: spec, sim: s, results: map[string]result{}, up: true}
	e.started = s.Now().Add(-time.Hour)
	e.worked = e.warmWork()
	s.Every(spec.ReportEvery, e.snapshot)
	s.Every(breakdownCheck, e.breakDown)
	return e
}

// Up says whether the process runs.
func (e *Engine) Up() bool { return e.up }

// Report returns the last but one report, and nil while the process is down.
func (e *Engine) Report() *figowner.Report {
	if !e.up {
		return nil
	}
	return e.reports[0]
}

// warmth is the part of its speed that the engine has.
func (e *Engine) warmth() float64 {
	return min(1, coldSpeed+(1-coldSpeed)*e.worked/e.warmWork())
}

func (e *Engine) warmWork() float64 {
	return [...]float64{e.WarmCalls, e.WarmPrompt, e.WarmTokens}[e.Role]
}

// free returns the free pieces.
func (e *Engine) free() int64 {
	n := e.Pieces
	for _, w := range e.held {
		n -= w.Pieces
	}
	return n
}

func (e *Engine) queueTokens() int64 {
	n := int64(0)
	for _, w := range e.queue {
		n += w.Prompt
	}
	return n
}

func (e *Engine) snapshot() {
	e.advance()
	r := &figowner.Report{
		StartedAt: e.started, Age: e.ReportEvery,
		Waiting: len(e.queue), LinkBytesPerSecond: e.Link,
		PiecesTotal: e.Pieces, PiecesFree: e.free(),
	}
	switch e.Role {
	case figview.Prefill:
		r.QueueTokens = e.queueTokens()
		r.TokensPerSecond = e.PrefillSpeed * e.warmth()
	case figview.Decode:
		r.TokensPerSecond = float64(len(e.batch())) / e.step().Seconds()
	case figview.Plain:
		r.PiecesTotal, r.PiecesFree = int64(e.Calls), int64(e.Calls-len(e.held))
	}
	for _, w := range e.held {
		r.Running = append(r.Running, figowner.Running{ID: w.ID, Pieces: w.Pieces, Tokens: int64(w.tokens)})
	}
	e.reports[0], e.reports[1] = e.reports[1], r
	if e.reports[0] != nil && !e.reports[0].StartedAt.Equal(e.started) {
		e.reports[0] = nil
	}
}

// load is the part of its full load that the engine has.
func (e *Engine) load() float64 {
	switch e.Role {
	case figview.Prefill:
		return float64(e.queueTokens()) / (prefillSeconds * e.PrefillSpeed)
	case figview.Decode:
		return 1 - float64(e.free())/float64(e.Pieces)
	}
	return float64(len(e.held)) / float64(e.Calls)
}

// breakDown ends the process of a cold engine that has too much work. What one
// request needs is always borne.
func (e *Engine) breakDown() {
	alone := len(e.held)+len(e.queue) <= 1
	if e.up && e.warmth() < 1 && !alone && e.load() > coldRoom*e.warmth() {
		e.Breakdowns++
		e.Restart()
	}
}

// Stop ends the process: all work dies and all results are lost.
func (e *Engine) Stop() {
	if !e.up {
		return
	}
	e.advance()
	e.up = false
	e.life++
	e.turn++
	for id := range e.results {
		e.waste(id)
	}
	lost := slices.Concat(e.held, e.queue)
	e.held, e.queue, e.cache = nil, nil, nil
	e.linkFree = 0
	for _, w := range lost {
		e.end(w, Died)
	}
}

// Start brings the process back, cold.
func (e *Engine) Start() {
	if e.up {
		return
	}
	e.up, e.started, e.worked = true, e.sim.Now(), 0
	e.updated = e.sim.now
	e.reports = [2]*figowner.Report{}
}

// Restart ends the process and brings it back after restartTime.
func (e *Engine) Restart() {
	e.Stop()
	e.sim.After(restartTime, e.Start)
}
