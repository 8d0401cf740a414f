package figsimulator

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Outcome is the result of work on an engine.
type Outcome uint8

const (
	// Completed means that the engine finished the work.
	Completed Outcome = iota
	// ResultExpired means that the prefill server no longer had the prefill's result when the decode server
	// fetched it.
	ResultExpired
	// ProcessEnded means that the engine's process was down or ended during the work.
	ProcessEnded
)

// Spec holds the capacity and the timing of an engine.
type Spec struct {
	// PrefillTokensPerSecond is the prefill speed of a warm engine.
	PrefillTokensPerSecond float64
	// Pieces is the KV cache memory of a decode engine, in pieces of PieceTokens tokens.
	Pieces, PieceTokens int64
	// A decode step of a warm engine takes StepBase plus StepPerRequest for each request in the batch.
	StepBase, StepPerRequest time.Duration
	// LinkBytesPerSecond is the bandwidth of a decode engine's link. KVBytesPerToken is the size of the KV
	// cache of one token.
	LinkBytesPerSecond, KVBytesPerToken float64
	// ResultLifetime is the time after which a prefill engine discards a prefill's result.
	ResultLifetime time.Duration
	// CachePrefixes is the number of prompt prefixes that a prefill engine caches.
	CachePrefixes int
	// ReportInterval is the time between two reports. A report is published one interval after it was taken.
	ReportInterval time.Duration
	// WarmupPromptTokens, WarmupOutputTokens and WarmupCalls are the amounts of work after which the cold start
	// of a prefill, a decode and a plain engine ends.
	WarmupPromptTokens, WarmupOutputTokens, WarmupCalls float64
	// CallDuration is the time that a warm plain engine takes for a call. MaxConcurrentCalls is the number of
	// calls that a plain engine runs at the same time.
	CallDuration       time.Duration
	MaxConcurrentCalls int
}

const (
	// coldSpeedFactor is the fraction of the full speed that an engine has when its process starts.
	coldSpeedFactor = 0.15
	// coldLoadFactor times the speed factor is the highest load, as a fraction of the full load, at which an
	// engine in a cold start doesn't break down.
	coldLoadFactor = 2
	// restartTime is the time between the end of a process and its next start.
	restartTime = 2 * time.Second
	// fullPrefillQueueSeconds is the queue, in seconds of prefill at full speed, that counts as the full load
	// of a prefill engine.
	fullPrefillQueueSeconds = 3
	// breakdownCheckInterval is the time between two checks for overload in a cold start.
	breakdownCheckInterval = 250 * time.Millisecond
)

// Work is the part of a request that runs on one engine.
type Work struct {
	ID                         string
	PromptTokens, OutputTokens int64
	// Pieces is the memory that the request occupies on a decode engine.
	Pieces int64
	// PrefixGroup is the number of a group of prompts that begin with the same tokens; SharedTokens is the
	// length of the common prefix in this prompt.
	PrefixGroup, SharedTokens int64
	// OnTransferDone is called after the transfer of the KV cache, OnFirstToken when the first token is
	// generated, and OnEnd when the work has ended. OnEnd isn't called for cancelled work. Its tokens argument
	// is the number of computed prefill tokens or of generated tokens.
	OnTransferDone func(bytes int64, took time.Duration)
	OnFirstToken   func()
	OnEnd          func(o Outcome, tokens int64)

	prefillEngine *Engine
	inBatch       bool
	tokens        float64
	ended         bool
}

// prefillResult is the KV cache of a finished prefill. Its tokens field is the number of tokens that were
// computed, without those from the prefix cache.
type prefillResult struct{ tokens int64 }

// Engine simulates one backend server.
type Engine struct {
	figview.Server
	Spec
	// ComputedTokens and WastedTokens count prefill tokens. Tokens are wasted if the prefill's result expired, or
	// if the request was cancelled or the process ended before the result was fetched.
	ComputedTokens, WastedTokens int64
	// Breakdowns counts the restarts that were caused by too much work in a cold start.
	Breakdowns int
	// PeakPieces is the highest number of pieces that were allocated at the same time.
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

// NewEngine returns a running engine whose cold start is over.
func NewEngine(s *Sim, server figview.Server, spec Spec) *Engine {
	e := &Engine{Server: server, Spec: spec, sim: s, results: map[string]prefillResult{}, running: true}
	e.started = s.Now().Add(-time.Hour)
	e.workSinceStart = e.warmupWork()
	s.Every(spec.ReportInterval, e.takeReport)
	s.Every(breakdownCheckInterval, e.restartIfOverloaded)
	return e
}

// Running reports whether the process runs.
func (e *Engine) Running() bool { return e.running }

// Report returns the last but one report. It returns nil while the process is down and until there are two
// reports since the process started.
func (e *Engine) Report() *figowner.Report {
	if !e.running {
		return nil
	}
	return e.reports[0]
}

// speedFactor returns the present fraction of the full speed. It grows linearly with the work done since the
// process started, from coldSpeedFactor to 1.
func (e *Engine) speedFactor() float64 {
	return min(1, coldSpeedFactor+(1-coldSpeedFactor)*e.workSinceStart/e.warmupWork())
}

// warmupWork returns the amount of work that ends a cold start.
func (e *Engine) warmupWork() float64 {
	return [...]float64{e.WarmupCalls, e.WarmupPromptTokens, e.WarmupOutputTokens}[e.Role]
}

// freePieces returns the number of pieces that aren't allocated.
func (e *Engine) freePieces() int64 {
	n := e.Pieces
	for _, w := range e.admitted {
		n -= w.Pieces
	}
	return n
}

// queueTokens returns the number of prompt tokens in the queue.
func (e *Engine) queueTokens() int64 {
	n := int64(0)
	for _, w := range e.queue {
		n += w.PromptTokens
	}
	return n
}

// takeReport records a report of the present state and publishes the one before. A report of an earlier
// process is dropped.
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

// load returns the present load as a fraction of the full load.
func (e *Engine) load() float64 {
	switch e.Role {
	case figview.Prefill:
		return float64(e.queueTokens()) / (fullPrefillQueueSeconds * e.PrefillTokensPerSecond)
	case figview.Decode:
		return 1 - float64(e.freePieces())/float64(e.Pieces)
	}
	return float64(len(e.admitted)) / float64(e.MaxConcurrentCalls)
}

// restartIfOverloaded restarts an engine that has too much work during its cold start. A single request never
// counts as too much.
func (e *Engine) restartIfOverloaded() {
	alone := len(e.admitted)+len(e.queue) <= 1
	if e.running && e.speedFactor() < 1 && !alone && e.load() > coldLoadFactor*e.speedFactor() {
		e.Breakdowns++
		e.Restart()
	}
}

// Stop ends the process. All work ends with ProcessEnded, and all prefill results and cached prefixes are lost.
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

// Start starts the process again, in a cold start.
func (e *Engine) Start() {
	if e.running {
		return
	}
	e.running, e.started, e.workSinceStart = true, e.sim.Now(), 0
	e.advancedAt = e.sim.now
	e.reports = [2]*figowner.Report{}
}

// Restart ends the process and starts it again after restartTime.
func (e *Engine) Restart() {
	e.Stop()
	e.sim.After(restartTime, e.Start)
}
