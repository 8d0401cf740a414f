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
	// Completed means that the work was done.
	Completed Outcome = iota
	// ResultExpired means that the prefill's result was gone when it was fetched.
	ResultExpired
	// ProcessEnded means that the engine's process ended.
	ProcessEnded
)

// Spec is what an engine can do.
type Spec struct {
	// PrefillTokensPerSecond is in tokens a second.
	PrefillTokensPerSecond float64
	// Pieces is the memory of a decode engine, PieceTokens the size of a piece.
	Pieces, PieceTokens int64
	// StepBase and StepEach make up the time of a decode step: a constant part
	// and one for each request in the batch.
	StepBase, StepPerRequest time.Duration
	// LinkBytesPerSecond is the rate of a decode engine's link, in bytes a second, and KVBytes
	// the KV cache of one token.
	LinkBytesPerSecond, KVBytesPerToken float64
	// ResultLifetime is how long a prefill's result survives.
	ResultLifetime time.Duration
	// CachePrefixes is the number of prompt prefixes that the memory holds.
	CachePrefixes int
	// ReportInterval is the time between two reports; each shows the state before.
	ReportInterval time.Duration
	// WarmPrompt, WarmTokens and WarmCalls are the work that ends a cold start of a
	// prefill, a decode and a plain engine.
	WarmupPromptTokens, WarmupOutputTokens, WarmupCalls float64
	// CallDuration and Calls are the time of a plain call and how many run at once.
	CallDuration       time.Duration
	MaxConcurrentCalls int
}

const (
	// coldSpeedFactor is the part of its speed that an engine has at its start.
	coldSpeedFactor = 0.15
	// coldLoadFactor is how much more of its full load than of its speed a cold engine
	// bears before it breaks down.
	coldLoadFactor = 2
	// restartTime is how long a process takes to come back.
	restartTime = 2 * time.Second
	// fullPrefillQueueSeconds is the queue that counts as the full load of a prefill engine.
	fullPrefillQueueSeconds = 3
	// breakdownCheckInterval is how often a breakdown is looked for.
	breakdownCheckInterval = 250 * time.Millisecond
)

// Work is one request on one engine.
type Work struct {
	ID                         string
	PromptTokens, OutputTokens int64
	// Pieces is the memory that it takes on a decode engine.
	Pieces int64
	// PrefixGroup is the group of prompts that share their first Shared tokens.
	PrefixGroup, SharedTokens int64
	// OnTransferDone and First are called when the KV cache was moved and when the first
	// token is out, End when the work has ended.
	OnTransferDone func(bytes int64, took time.Duration)
	OnFirstToken   func()
	OnEnd          func(o Outcome, tokens int64)

	prefillEngine *Engine
	inBatch       bool
	tokens        float64
	ended         bool
}

// prefillResult is the KV cache that a prefill has left.
type prefillResult struct{ tokens int64 }

// Engine is a fake of one backend server.
type Engine struct {
	figview.Server
	Spec
	// ComputedTokens and Wasted count prefill tokens; wasted ones are those whose result
	// expired or was given up.
	ComputedTokens, WastedTokens int64
	// Breakdowns counts the cold starts that too much work has caused.
	Breakdowns int
	// PeakPieces is the most memory that was ever taken.
	PeakPieces int64

	sim             *Sim
	running         bool
	incarnation     int
	started         time.Time
	workSinceStart  float64
	queue           []*Work
	admitted        []*Work
	results         map[string]prefillResult
	cachedPrefixes  []int64
	linkFreeAt      time.Duration
	advancedAt      time.Duration
	scheduleVersion int
	reports         [2]*figowner.Report
}

// NewEngine returns an engine that is warm.
func NewEngine(s *Sim, server figview.Server, spec Spec) *Engine {
	e := &Engine{Server: server, Spec: spec, sim: s, results: map[string]prefillResult{}, running: true}
	e.started = s.Now().Add(-time.Hour)
	e.workSinceStart = e.warmupWork()
	s.Every(spec.ReportInterval, e.takeReport)
	s.Every(breakdownCheckInterval, e.restartIfOverloaded)
	return e
}

// Running says whether the process runs.
func (e *Engine) Running() bool { return e.running }

// Report returns the last but one report, and nil while the process is down.
func (e *Engine) Report() *figowner.Report {
	if !e.running {
		return nil
	}
	return e.reports[0]
}

// speedFactor is the part of its speed that the engine has.
func (e *Engine) speedFactor() float64 {
	return min(1, coldSpeedFactor+(1-coldSpeedFactor)*e.workSinceStart/e.warmupWork())
}

func (e *Engine) warmupWork() float64 {
	return [...]float64{e.WarmupCalls, e.WarmupPromptTokens, e.WarmupOutputTokens}[e.Role]
}

// freePieces returns the free pieces.
func (e *Engine) freePieces() int64 {
	n := e.Pieces
	for _, w := range e.admitted {
		n -= w.Pieces
	}
	return n
}

func (e *Engine) queueTokens() int64 {
	n := int64(0)
	for _, w := range e.queue {
		n += w.PromptTokens
	}
	return n
}

func (e *Engine) takeReport() {
	e.advance()
	r := &figowner.Report{
		StartedAt: e.started, Age: e.ReportInterval,
		Waiting: len(e.queue), LinkBytesPerSecond: e.LinkBytesPerSecond,
		PiecesTotal: e.Pieces, PiecesFree: e.freePieces(),
	}
	switch e.Role {
	case figview.Prefill:
		r.QueueTokens = e.queueTokens()
		r.TokensPerSecond = e.PrefillTokensPerSecond * e.speedFactor()
	case figview.Decode:
		r.TokensPerSecond = float64(len(e.batch())) / e.stepDuration().Seconds()
	case figview.Plain:
		r.PiecesTotal, r.PiecesFree = int64(e.MaxConcurrentCalls), int64(e.MaxConcurrentCalls-len(e.admitted))
	}
	for _, w := range e.admitted {
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
		return float64(e.queueTokens()) / (fullPrefillQueueSeconds * e.PrefillTokensPerSecond)
	case figview.Decode:
		return 1 - float64(e.freePieces())/float64(e.Pieces)
	}
	return float64(len(e.admitted)) / float64(e.MaxConcurrentCalls)
}

// restartIfOverloaded ends the process of a cold engine that has too much work. What one
// request needs is always borne.
func (e *Engine) restartIfOverloaded() {
	alone := len(e.admitted)+len(e.queue) <= 1
	if e.running && e.speedFactor() < 1 && !alone && e.load() > coldLoadFactor*e.speedFactor() {
		e.Breakdowns++
		e.Restart()
	}
}

// Stop ends the process: all work dies and all results are lost.
func (e *Engine) Stop() {
	if !e.running {
		return
	}
	e.advance()
	e.running = false
	e.incarnation++
	e.scheduleVersion++
	for id := range e.results {
		e.discardResult(id)
	}
	lost := slices.Concat(e.admitted, e.queue)
	e.admitted, e.queue, e.cachedPrefixes = nil, nil, nil
	e.linkFreeAt = 0
	for _, w := range lost {
		e.end(w, ProcessEnded)
	}
}

// Start brings the process back, cold.
func (e *Engine) Start() {
	if e.running {
		return
	}
	e.running, e.started, e.workSinceStart = true, e.sim.Now(), 0
	e.advancedAt = e.sim.now
	e.reports = [2]*figowner.Report{}
}

// Restart ends the process and brings it back after restartTime.
func (e *Engine) Restart() {
	e.Stop()
	e.sim.After(restartTime, e.Start)
}
