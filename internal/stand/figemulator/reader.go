package figemulator

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// valuesPerRead is the maximum number of values per response if the request sets no limit.
	valuesPerRead = 100
	// maxLongPoll is the maximum duration of a long poll.
	maxLongPoll = 30 * time.Second
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	// Listen is the address; empty means a free port on 127.0.0.1.
	Listen string
	// Translate returns the address that this reader reports for the instance or
	// backend server name. If nil, it reports the published address.
	Translate func(name, address string) string
}

// Reader serves the platform's state on its own address, with its own faults.
type Reader struct {
	*endpoint
	// Reads is the number of requests received; a long poll counts once.
	Reads atomic.Int64

	platform *Platform
	opts     ReaderOptions

	mu     sync.Mutex
	down   bool
	silent bool
	frozen *platformState
	// faultsChanged is closed and replaced when a fault changes.
	faultsChanged chan struct{}
}

// StartReader starts a further reader of the platform.
func (p *Platform) StartReader(opts ReaderOptions) (*Reader, error) {
	r := &Reader{platform: p, opts: opts, faultsChanged: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values", r.serveList(r.values))
	mux.HandleFunc("GET /v1/instances", r.serveList(r.instances))
	mux.HandleFunc("GET /v1/servers", r.serveList(r.servers))
	e, err := listen(opts.Listen, mux)
	if err != nil {
		return nil, err
	}
	r.endpoint = e
	p.mu.Lock()
	p.readers = append(p.readers, r)
	p.mu.Unlock()
	return r, nil
}

// Down makes the reader answer all requests with status 503, including pending long polls.
func (r *Reader) Down(on bool) { r.changeFaults(func() { r.down = on }) }

// Silent makes the reader accept requests and not answer while on.
func (r *Reader) Silent(on bool) { r.changeFaults(func() { r.silent = on }) }

// Stale makes the reader serve the current state as the latest and ignore later changes. Stale(false)
// also ends the effect of Rewind.
func (r *Reader) Stale(on bool) {
	var frozen *platformState
	if on {
		frozen = r.platform.snapshot()
	}
	r.changeFaults(func() { r.frozen = frozen })
}

// Rewind makes the reader serve the snapshot as the latest state until the next call of Stale.
func (r *Reader) Rewind(s *Snapshot) { r.changeFaults(func() { r.frozen = s.state }) }

// changeFaults calls f under the lock and makes pending requests check the faults again.
func (r *Reader) changeFaults(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.faultsChanged)
	r.faultsChanged = make(chan struct{})
}

// view is the state that the reader serves and the reader's faults at one moment. changed is closed when
// the published state changes; it is nil under Stale and Rewind.
type view struct {
	state         *platformState
	down, silent  bool
	changed       <-chan struct{}
	faultsChanged <-chan struct{}
}

func (r *Reader) currentView() view {
	r.mu.Lock()
	v := view{state: r.frozen, down: r.down, silent: r.silent, faultsChanged: r.faultsChanged}
	r.mu.Unlock()
	if v.state == nil {
		r.platform.mu.Lock()
		v.state, v.changed = r.platform.state.clone(), r.platform.changed
		r.platform.mu.Unlock()
	}
	return v
}

// listQuery holds the parameters of a read.
type listQuery struct {
	after uint64
	limit int
}

// serveList returns a long-poll handler. f returns the response and whether it has rows after the requested revision.
func (r *Reader) serveList(f func(*platformState, listQuery) (any, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.Reads.Add(1)
		query, wait := parseListQuery(q)
		expired := time.NewTimer(wait)
		defer expired.Stop()
		timedOut := wait == 0
		for {
			v := r.currentView()
			answer, hasChanges := f(v.state, query)
			switch {
			case v.silent:
			case v.down:
				writeError(w, http.StatusServiceUnavailable, "down", "the configuration service is unavailable")
				return
			case hasChanges || timedOut:
				writeJSON(w, http.StatusOK, answer)
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-expired.C:
				timedOut = true
			case <-v.changed:
			case <-v.faultsChanged:
			}
		}
	}
}

func parseListQuery(q *http.Request) (listQuery, time.Duration) {
	form := q.URL.Query()
	after, _ := strconv.ParseUint(form.Get("after"), 10, 64)
	limit, _ := strconv.Atoi(form.Get("limit"))
	if limit <= 0 {
		limit = valuesPerRead
	}
	seconds, _ := strconv.ParseFloat(form.Get("wait"), 64)
	wait := min(time.Duration(seconds*float64(time.Second)), maxLongPoll)
	return listQuery{after: after, limit: limit}, max(wait, 0)
}

// valuesAnswer is the body of a read of values.
type valuesAnswer struct {
	Revision uint64     `json:"revision"`
	More     bool       `json:"more"`
	Values   []valueRow `json:"values"`
}

func (r *Reader) values(s *platformState, q listQuery) (any, bool) {
	changed := s.values.after(q.after)
	a := valuesAnswer{Revision: s.values.revision, More: len(changed) > q.limit, Values: []valueRow{}}
	for _, row := range changed[:min(len(changed), q.limit)] {
		a.Values = append(a.Values, row.value)
	}
	return a, len(changed) > 0
}

// instancesAnswer is the body of a read of instances.
type instancesAnswer struct {
	Revision  uint64        `json:"revision"`
	Instances []InstanceRow `json:"instances"`
}

func (r *Reader) instances(s *platformState, q listQuery) (any, bool) {
	a := instancesAnswer{Revision: s.instances.revision, Instances: []InstanceRow{}}
	for _, row := range s.instances.after(q.after) {
		i := row.value
		i.Address = r.translate(i.Name, i.Address)
		a.Instances = append(a.Instances, i)
	}
	return a, len(a.Instances) > 0
}

// serversAnswer is the body of a read of backend servers.
type serversAnswer struct {
	Revision uint64      `json:"revision"`
	Servers  []ServerRow `json:"servers"`
}

func (r *Reader) servers(s *platformState, q listQuery) (any, bool) {
	a := serversAnswer{Revision: s.servers.revision, Servers: []ServerRow{}}
	for _, row := range s.servers.after(q.after) {
		v := row.value
		v.Address = r.translate(v.Name, v.Address)
		a.Servers = append(a.Servers, v)
	}
	return a, len(a.Servers) > 0
}

func (r *Reader) translate(name, address string) string {
	if r.opts.Translate == nil {
		return address
	}
	return r.opts.Translate(name, address)
}
