package figemulator

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// PlainOptions configures a PlainService. withDefaults sets the defaults of zero fields.
type PlainOptions struct {
	// Name is the server's name. Listen is its address; empty means a free port on 127.0.0.1.
	Name, Listen string
	// ServiceTime is how long a call takes.
	ServiceTime time.Duration
	// Batch is the maximum number of concurrent calls; further calls get status 429.
	Batch int
	// ReportLag is the age of the state that /load reports.
	ReportLag time.Duration
	// ColdStart starts the service in its cold start. ColdCalls is the number of concurrent calls above which
	// it is overloaded at the beginning of a cold start.
	ColdStart bool
	ColdCalls int
}

func (o PlainOptions) withDefaults() PlainOptions {
	o.ServiceTime = cmp.Or(o.ServiceTime, time.Millisecond)
	o.Batch = cmp.Or(o.Batch, 64)
	o.ReportLag = cmp.Or(o.ReportLag, 100*time.Millisecond)
	o.ColdCalls = cmp.Or(o.ColdCalls, 2)
	return o
}

// PlainService emulates a plain service, such as a token ledger or a booking service. It
// records each call by its body, or by its request ID if the body is empty, so
// that tests can detect calls that ran twice.
type PlainService struct {
	*endpoint
	*ramp
	records
	// Faults holds the active faults.
	Faults Faults

	opts    PlainOptions
	timer   *figtimer.Timer
	reports *reports

	mu      sync.Mutex
	running map[string]int
}

// StartPlainService starts a plain service.
func StartPlainService(opts PlainOptions) (*PlainService, error) {
	opts = opts.withDefaults()
	p := &PlainService{
		ramp:    newRamp(opts.ColdStart, opts.ColdCalls, opts.Batch),
		opts:    opts,
		timer:   figtimer.New(figtimer.System()),
		running: map[string]int{},
	}
	p.reports = newReports(opts.ReportLag, p.report)
	p.Faults.onSet = p.onFaultSet
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		p.reports.serve(w, r, &p.Faults)
	})
	mux.HandleFunc("POST /fault", p.Faults.serve)
	mux.HandleFunc("/", p.serveCall)
	e, err := listen(opts.Listen, mux)
	if err != nil {
		return nil, err
	}
	p.endpoint = e
	return p, nil
}

func (p *PlainService) onFaultSet(kind FaultKind) {
	switch kind {
	case SlowStart:
		p.Faults.Clear(SlowStart)
		p.beginColdStart(false)
	case StaleReport:
		p.reports.freeze()
	}
}

// plainAnswer is the body of every answer.
type plainAnswer struct {
	Server string `json:"server"`
	Answer string `json:"answer"`
}

// PlainAnswer returns the answer text of a plain service to a call.
func PlainAnswer(method, target, body string) string {
	sum := xxhash.Sum64String(method + "\x00" + target + "\x00" + body)
	return strconv.FormatUint(sum, 16)
}

// serveCall runs one call and applies the active faults.
func (p *PlainService) serveCall(w http.ResponseWriter, r *http.Request) {
	p.recordRequest(r)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if _, ok := p.Faults.consume(Refuse); ok {
		writeError(w, http.StatusTooManyRequests, "busy", "the service refuses calls because of an injected fault")
		return
	}
	if !p.enter(1) {
		writeError(w, http.StatusTooManyRequests, "busy", "too many concurrent calls")
		return
	}
	defer p.leave(1, true)
	id := r.Header.Get("X-Request-Id")
	p.track(id, 1)
	defer p.track(id, -1)
	p.updateRun(cmp.Or(string(body), id), func(n *Run) { n.Calls++ })
	if _, ok := p.Faults.consume(Silent); ok {
		<-r.Context().Done()
		return
	}
	delay := p.slowed(p.opts.ServiceTime)
	if f, ok := p.Faults.consume(Late); ok {
		delay += cmp.Or(f.Delay, defaultDelay)
	}
	if p.timer.Sleep(r.Context(), delay) != nil {
		return
	}
	if _, ok := p.Faults.consume(ReadAndClose); ok {
		dropConnection(w)
		return
	}
	p.answer(w, r, id, string(body))
}

func (p *PlainService) answer(w http.ResponseWriter, r *http.Request, id, body string) {
	if _, ok := p.Faults.consume(Crossed); ok {
		id, body = crossedID(id), "crossed "+body
	}
	text := PlainAnswer(r.Method, r.URL.RequestURI(), body)
	b, err := json.Marshal(plainAnswer{Server: p.opts.Name, Answer: text})
	if err != nil {
		abort()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	_, cut := p.Faults.consume(Cut)
	_, stall := p.Faults.consume(Stall)
	if !cut && !stall {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	if stall {
		<-r.Context().Done()
	}
	abort()
}

func (p *PlainService) track(id string, change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[id] += change; p.running[id] == 0 {
		delete(p.running, id)
	}
}

func (p *PlainService) report() LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := LoadReport{
		StartedAt: p.StartedAt().Format(time.RFC3339Nano),
		Running:   []RunningRow{},
		Models:    []string{},
		Adapters:  []string{},
	}
	for id := range p.running {
		l.Running = append(l.Running, RunningRow{ID: id})
	}
	return l
}
