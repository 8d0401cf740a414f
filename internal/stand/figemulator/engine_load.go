package figemulator

import (
	"net/http"
	"sync"
	"time"
)

// maxReports is the number of past load reports kept per server.
const maxReports = 64

// RunningRow describes one running request in a load report.
type RunningRow struct {
	ID     string `json:"id"`
	Pieces int    `json:"pieces"`
	Tokens int    `json:"tokens"`
}

// LoadReport is the body of the response to GET /load.
type LoadReport struct {
	StartedAt          string       `json:"startedAt"`
	AgeMillis          int64        `json:"ageMillis"`
	Running            []RunningRow `json:"running"`
	Waiting            int          `json:"waiting"`
	QueueTokens        int          `json:"queueTokens"`
	PiecesFree         int          `json:"piecesFree"`
	PiecesTotal        int          `json:"piecesTotal"`
	TokensPerSecond    float64      `json:"tokensPerSecond"`
	LinkBytesPerSecond float64      `json:"linkBytesPerSecond"`
	Models             []string     `json:"models"`
	Adapters           []string     `json:"adapters"`
	Fence              uint64       `json:"fence"`
}

// reports keeps past load reports in order to return them with a delay of lag. frozen is the report
// returned under the StaleReport fault.
type reports struct {
	mu      sync.Mutex
	lag     time.Duration
	collect func() LoadReport
	past    []timedReport
	frozen  *LoadReport
}

type timedReport struct {
	at     time.Time
	report LoadReport
}

func newReports(lag time.Duration, f func() LoadReport) *reports {
	return &reports{lag: lag, collect: f}
}

// get returns the newest report that is at least lag old, or the oldest stored
// report if none is.
func (r *reports) get(now time.Time) LoadReport {
	current := r.collect()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.past = append(r.past, timedReport{at: now, report: current})
	if len(r.past) > maxReports {
		r.past = r.past[1:]
	}
	best := r.past[0]
	for _, t := range r.past {
		if now.Sub(t.at) >= r.lag {
			best = t
		}
	}
	best.report.AgeMillis = now.Sub(best.at).Milliseconds()
	return best.report
}

// freeze stores the current load as the report returned under the StaleReport fault.
func (r *reports) freeze() {
	current := r.collect()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frozen = &current
}

// serve handles GET /load and applies the faults Silent and StaleReport.
func (r *reports) serve(w http.ResponseWriter, q *http.Request, faults *Faults) {
	if _, ok := faults.consume(Silent); ok {
		<-q.Context().Done()
		return
	}
	if _, ok := faults.consume(StaleReport); ok {
		r.mu.Lock()
		report := *r.frozen
		r.mu.Unlock()
		writeJSON(w, http.StatusOK, report)
		return
	}
	writeJSON(w, http.StatusOK, r.get(time.Now()))
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	e.reports.serve(w, r, &e.Faults)
}

// report returns the engine's current load.
func (e *Engine) report() LoadReport {
	adapters, fence := e.orders.state()
	l := LoadReport{
		StartedAt:          e.StartedAt().Format(time.RFC3339Nano),
		Running:            []RunningRow{},
		PiecesFree:         e.opts.Pieces - e.ReservedPieces(),
		PiecesTotal:        e.opts.Pieces,
		LinkBytesPerSecond: e.opts.LinkRate,
		Models:             append([]string{}, e.opts.Models...),
		Adapters:           adapters,
		Fence:              fence,
	}
	e.active.Lock()
	defer e.active.Unlock()
	l.Waiting, l.QueueTokens = e.waiting, e.queuedTokens
	for id, r := range e.running {
		l.Running = append(l.Running, RunningRow{ID: id, Pieces: r.pieces, Tokens: r.tokens})
	}
	for id, s := range e.results {
		l.Running = append(l.Running, RunningRow{ID: id, Pieces: s.pieces})
	}
	l.TokensPerSecond = e.rate(len(e.running))
	return l
}

// rate returns the engine's current rate in tokens per second: prompt tokens on a prefill engine,
// generated tokens on a decode engine.
func (e *Engine) rate(running int) float64 {
	if e.opts.Role == "prefill" {
		return e.opts.PrefillRate
	}
	return float64(running) / e.slowed(e.opts.TokenInterval).Seconds()
}
