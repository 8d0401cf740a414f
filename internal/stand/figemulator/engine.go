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

// bodyLimit bounds the body of a request to a stand-in, in bytes.
const bodyLimit = 32 << 20

// The causes for which an engine ends a request by itself.
var (
	errLostMemory = errors.New("the engine lost its memory")
	errCancelled  = errors.New("the request was cancelled by /cancel")
)

// EngineOptions configures an Engine. Zero fields get the defaults in withDefaults.
type EngineOptions struct {
	// Name is the engine's name; Listen its address, empty for a free port.
	Name, Listen string
	// Role is "prefill" or "decode".
	Role string
	// Models are the model names that it has loaded.
	Models []string
	// Pieces is the size of engine memory, PieceTokens the tokens in a piece.
	Pieces, PieceTokens int
	// Batch is the most requests that run at once.
	Batch int
	// PrefillRate is in prompt tokens per second, one prompt after the other.
	PrefillRate float64
	// TokenInterval is the time between generated tokens.
	TokenInterval time.Duration
	// ResultLife is how long a prefill's result waits for its decode server.
	ResultLife time.Duration
	// LinkRate is in bytes per second, shared by all transfers; TokenBytes is the
	// KV cache of one token.
	LinkRate   float64
	TokenBytes int
	// ReportLag is the age of the state that /load reports.
	ReportLag time.Duration
	// ChecksFence makes orders with an old fencing number fail.
	ChecksFence bool
	// Cold lets it begin with a cold start, ColdTokens is the tokens in progress
	// that it bears at first.
	Cold       bool
	ColdTokens int
	// CacheBlocks is the size of the prefix cache, BlockBytes that of a block.
	CacheBlocks, BlockBytes int
}

func (o EngineOptions) withDefaults() EngineOptions {
	o.Role = cmp.Or(o.Role, "decode")
	o.Pieces = cmp.Or(o.Pieces, 400)
	o.PieceTokens = cmp.Or(o.PieceTokens, 2048)
	o.Batch = cmp.Or(o.Batch, 20)
	o.PrefillRate = cmp.Or(o.PrefillRate, 200_000)
	o.TokenInterval = cmp.Or(o.TokenInterval, 2*time.Millisecond)
	o.ResultLife = cmp.Or(o.ResultLife, 800*time.Millisecond)
	o.LinkRate = cmp.Or(o.LinkRate, 50e9)
	o.TokenBytes = cmp.Or(o.TokenBytes, 128<<10)
	o.ReportLag = cmp.Or(o.ReportLag, 100*time.Millisecond)
	o.ColdTokens = cmp.Or(o.ColdTokens, 2*o.PieceTokens)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 4096)
	o.BlockBytes = cmp.Or(o.BlockBytes, 1024)
	return o
}

// Engine stands in for a model engine of either role.
type Engine struct {
	*endpoint
	*ramp
	*memory
	records
	// Faults holds the active misbehaviour.
	Faults Faults

	opts    EngineOptions
	timer   *figtimer.Timer
	compute chan struct{}
	cache   *prefixCache
	reports *reports
	orders  orders

	active  sync.Mutex
	results map[string]*result
	running map[string]*running
	waiting int
	queue   int
	pulls   int
}

// running is a request that an engine works on.
type running struct {
	pieces, tokens int
	// keepsOn requests don't end when their caller has gone.
	keepsOn bool
	cancel  context.CancelCauseFunc
}

// StartEngine starts an engine.
func StartEngine(opts EngineOptions) (*Engine, error) {
	opts = opts.withDefaults()
	e := &Engine{
		ramp:    newRamp(opts.Cold, opts.ColdTokens, opts.Batch),
		memory:  newMemory(opts.Pieces),
		opts:    opts,
		timer:   figtimer.New(figtimer.System()),
		compute: make(chan struct{}, 1),
		cache:   newPrefixCache(opts.CacheBlocks, opts.BlockBytes),
		results: map[string]*result{},
		running: map[string]*running{},
	}
	e.reports = newReports(opts.ReportLag, e.report)
	e.Faults.onSet = e.faultSet
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

// Restart does what a crash and a new start of the engine's process would: all
// memory is lost, all streams are cut, and the cold start begins again.
func (e *Engine) Restart() {
	e.loseMemory()
	e.begin(true)
}

func (e *Engine) faultSet(kind FaultKind) {
	switch kind {
	case LoseMemory:
		e.Faults.Clear(LoseMemory)
		e.loseMemory()
	case SlowStart:
		e.Faults.Clear(SlowStart)
		e.begin(false)
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

// serveCompletion reads a request and runs it in the engine's role.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	e.see(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyLimit))
	if err != nil {
		return
	}
	if _, ok := e.Faults.take(Refuse); ok {
		writeError(w, http.StatusTooManyRequests, "busy", "the engine refuses")
		return
	}
	if _, ok := e.Faults.take(Silent); ok {
		<-r.Context().Done()
		return
	}
	c := &completion{chat: r.URL.Path == "/v1/chat/completions", id: r.Header.Get("X-Request-Id")}
	if err := json.Unmarshal(body, c); err != nil {
		writeError(w, http.StatusBadRequest, "badBody", err.Error())
		return
	}
	c.text = c.prompt()
	e.note(c.id, func(n *Run) { n.Text = c.text[:min(len(c.text), textKept)] })
	work := CountTokens(c.text) + c.output()
	if !e.enter(work) {
		writeError(w, http.StatusTooManyRequests, "busy", "the batch is full")
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

// start registers a run and returns its context. The caller defers the returned end.
func (e *Engine) start(r *http.Request, id string, pieces int) (ctx context.Context, run *running, end func()) {
	parent := r.Context()
	_, keepsOn := e.Faults.take(IgnoreClose)
	if keepsOn {
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithCancelCause(parent)
	run = &running{pieces: pieces, keepsOn: keepsOn, cancel: cancel}
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

// pieces returns the pieces of engine memory that tokens need.
func (e *Engine) pieces(tokens int) int {
	return (tokens + e.opts.PieceTokens - 1) / e.opts.PieceTokens
}

// abort ends an answer that has begun, without its end marker.
func abort() { panic(http.ErrAbortHandler) }
