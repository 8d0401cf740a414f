package figemulator

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 32 << 20

// Causes with which an engine cancels a running request.
var (
	errLostMemory = errors.New("the engine dropped its KV cache")
	errCancelled  = errors.New("the request was cancelled by POST /cancel")
)

// EngineOptions configures an Engine. withDefaults sets the defaults of zero fields.
type EngineOptions struct {
	// Name is the engine's name. Listen is its address; empty means a free port on 127.0.0.1.
	Name, Listen string
	// Role is "prefill" or "decode".
	Role string
	// Models are the names of the loaded models.
	Models []string
	// Pieces is the number of KV cache memory pieces, PieceTokens the tokens that fit in one.
	Pieces, PieceTokens int
	// Batch is the maximum number of concurrent requests; further requests get status 429.
	Batch int
	// PrefillRate is in prompt tokens per second. Prompts are computed one at a time.
	PrefillRate float64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// ResultTTL is how long a prefill engine keeps a result that no decode engine has pulled.
	ResultTTL time.Duration
	// LinkRate is the bandwidth in bytes per second that all KV cache transfers
	// share; TokenBytes is the KV cache size of one token.
	LinkRate   float64
	TokenBytes int
	// ReportLag is the age of the state that /load reports.
	ReportLag time.Duration
	// ChecksFence makes the engine reject orders whose fencing number is lower than the highest it has seen.
	ChecksFence bool
	// ColdStart starts the engine in its cold start. ColdTokens is the number of tokens in
	// progress above which it is overloaded at the beginning of a cold start.
	ColdStart  bool
	ColdTokens int
	// CacheBlocks is the size of the prefix cache in blocks, BlockBytes the prompt bytes in a block.
	CacheBlocks, BlockBytes int
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.Role = cmp.Or(o.Role, "decode")
	o.Pieces = cmp.Or(o.Pieces, 400)
	o.PieceTokens = cmp.Or(o.PieceTokens, 2048)
	o.Batch = cmp.Or(o.Batch, 20)
	o.PrefillRate = cmp.Or(o.PrefillRate, 200_000)
	o.TokenInterval = cmp.Or(o.TokenInterval, 2*time.Millisecond)
	o.ResultTTL = cmp.Or(o.ResultTTL, 800*time.Millisecond)
	o.LinkRate = cmp.Or(o.LinkRate, 50e9)
	o.TokenBytes = cmp.Or(o.TokenBytes, 128<<10)
	o.ReportLag = cmp.Or(o.ReportLag, 100*time.Millisecond)
	o.ColdTokens = cmp.Or(o.ColdTokens, 2*o.PieceTokens)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 4096)
	o.BlockBytes = cmp.Or(o.BlockBytes, 1024)
	return o
}

// Engine emulates a model engine, either prefill or decode.
type Engine struct {
	*endpoint
	*ramp
	*memory
	records
	// Faults holds the active faults.
	Faults Faults

	opts    EngineOptions
	timer   *figtimer.Timer
	compute chan struct{}
	cache   *prefixCache
	reports *reports
	orders  orders

	active       sync.Mutex
	results      map[string]*result
	running      map[string]*running
	waiting      int
	queuedTokens int
	activePulls  int
}

// running is a request that an engine is processing.
type running struct {
	pieces, tokens int
	// ignoresClose is true if the request continues after its caller has disconnected.
	ignoresClose bool
	cancel       context.CancelCauseFunc
}

// StartEngine starts an engine.
func StartEngine(opts EngineOptions) (*Engine, error) {
	opts = opts.withDefaults()
	e := &Engine{
		ramp:    newRamp(opts.ColdStart, opts.ColdTokens, opts.Batch),
		memory:  newMemory(opts.Pieces),
		opts:    opts,
		timer:   figtimer.New(figtimer.System()),
		compute: make(chan struct{}, 1),
		cache:   newPrefixCache(opts.CacheBlocks, opts.BlockBytes),
		results: map[string]*result{},
		running: map[string]*running{},
	}
	e.reports = newReports(opts.ReportLag, e.report)
	e.Faults.onSet = e.onFaultSet
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("POST /cancel", e.serveCancel)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /kv/pull", e.servePull)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /fault", e.Faults.serve)
	p, err := listen(opts.Listen, mux)
	if err != nil {
		return nil, err
	}
	e.endpoint = p
	return e, nil
}

// Restart emulates a crash and restart of the engine's process: it drops all KV
// cache, cuts all streams, sets a new start time and begins a cold start.
func (e *Engine) Restart() {
	e.loseMemory()
	e.beginColdStart(true)
}

func (e *Engine) onFaultSet(kind FaultKind) {
	switch kind {
	case LoseMemory:
		e.Faults.Clear(LoseMemory)
		e.loseMemory()
	case SlowStart:
		e.Faults.Clear(SlowStart)
		e.beginColdStart(false)
	case StaleReport:
		e.reports.freeze()
	}
}

func (e *Engine) loseMemory() {
	e.active.Lock()
	defer e.active.Unlock()
	for _, r := range e.running {
		r.cancel(errLostMemory)
	}
	for id := range e.results {
		e.dropResult(id)
	}
	e.cache.clear()
}

// serveCompletion reads a request and runs its prefill or decode, by the engine's role.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.recordRequest(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if _, ok := e.Faults.consume(Refuse); ok {
		writeError(w, http.StatusTooManyRequests, "busy", "the engine refuses requests because of an injected fault")
		return
	}
	if _, ok := e.Faults.consume(Silent); ok {
		<-r.Context().Done()
		return
	}
	c := &completion{chat: r.URL.Path == "/v1/chat/completions", id: r.Header.Get("X-Request-Id")}
	if err := json.Unmarshal(body, c); err != nil {
		writeError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	c.text = c.prompt()
	e.updateRun(c.id, func(n *Run) { n.Text = c.text[:min(len(c.text), maxPromptBytes)] })
	work := CountTokens(c.text) + c.output()
	if !e.enter(work) {
		writeError(w, http.StatusTooManyRequests, "busy", "the batch is full: too many concurrent requests")
		return
	}
	done := false
	defer func() { e.leave(work, done) }()
	if e.opts.Role == "prefill" {
		done = e.prefill(w, r, c)
		return
	}
	done = e.decode(w, r, c)
}

// start registers a running request and returns its context. The caller must call end when the request has ended.
func (e *Engine) start(r *http.Request, id string, pieces int) (ctx context.Context, run *running, end func()) {
	parent := r.Context()
	_, ignoresClose := e.Faults.consume(IgnoreClose)
	if ignoresClose {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	run = &running{pieces: pieces, ignoresClose: ignoresClose, cancel: cancel}
	e.active.Lock()
	e.running[id] = run
	e.active.Unlock()
	return ctx, run, func() {
		cancel(nil)
		e.active.Lock()
		if e.running[id] == run {
			delete(e.running, id)
		}
		e.active.Unlock()
	}
}

// pieces returns the number of memory pieces that tokens need.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.opts.PieceTokens - 1) / e.opts.PieceTokens
}

// abort closes the connection in the middle of an answer, before its end marker.
func abort() { panic(http.ErrAbortHandler) }
