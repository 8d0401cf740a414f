package figemulator

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// valuesPerRead bounds the values of one answer when the reader names no limit.
	valuesPerRead = 100
	// longestWait bounds a long poll.
	longestWait = 30 * time.Second
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	// Listen is the address; empty means a free port on 127.0.0.1.
	Listen string
	// Translate gives the address under which this reader sees the instance or
	// backend server called name. Nil keeps the published address.
	Translate func(name, address string) string
}

// Reader is one address of the platform with faults of its own.
type Reader struct {
	*endpoint
	// Reads counts the calls of this reader, a waiting one as one.
	Reads atomic.Int64

	platform *Platform
	opts     ReaderOptions

	mu     sync.Mutex
	down   bool
	silent bool
	frozen *platformState
	// turned is closed and replaced when a fault changes.
	turned chan struct{}
}

// StartReader adds an address at which the platform is read.
func (p *Platform) StartReader(opts ReaderOptions) (*Reader, error) {
	r := &Reader{platform: p, opts: opts, turned: make(chan struct{})}
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

// Down makes the reader answer 503 at once, waiting calls included.
func (r *Reader) Down(on bool) { r.turn(func() { r.down = on }) }

// Silent makes the reader accept calls and never answer them.
func (r *Reader) Silent(on bool) { r.turn(func() { r.silent = on }) }

// Stale freezes the published state as of now and serves it as if it was the latest.
func (r *Reader) Stale(on bool) {
	var frozen *platformState
	if on {
		frozen = r.platform.snapshot()
	}
	r.turn(func() { r.frozen = frozen })
}

// Rewind makes the reader serve an earlier state as if it was the latest.
func (r *Reader) Rewind(s *Snapshot) { r.turn(func() { r.frozen = s.state }) }

func (r *Reader) turn(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
	close(r.turned)
	r.turned = make(chan struct{})
}

// view is what a call meets at one moment.
type view struct {
	state        *platformState
	down, silent bool
	changed      <-chan struct{}
	turned       <-chan struct{}
}

func (r *Reader) look() view {
	r.mu.Lock()
	v := view{state: r.frozen, down: r.down, silent: r.silent, turned: r.turned}
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

// serveList answers a read by f, which returns false while there is nothing new.
func (r *Reader) serveList(f func(*platformState, listQuery) (any, bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		r.Reads.Add(1)
		query, wait := parseList(q)
		expired := time.NewTimer(wait)
		defer expired.Stop()
		late := wait == 0
		for {
			v := r.look()
			answer, news := f(v.state, query)
			switch {
			case v.silent:
			case v.down:
				writeError(w, http.StatusServiceUnavailable, "down", "the service is down")
				return
			case news || late:
				writeJSON(w, http.StatusOK, answer)
				return
			}
			select {
			case <-q.Context().Done():
				return
			case <-expired.C:
				late = true
			case <-v.changed:
			case <-v.turned:
			}
		}
	}
}

func parseList(q *http.Request) (listQuery, time.Duration) {
	form := q.URL.Query()
	after, _ := strconv.ParseUint(form.Get("after"), 10, 64)
	limit, _ := strconv.Atoi(form.Get("limit"))
	if limit <= 0 {
		limit = valuesPerRead
	}
	seconds, _ := strconv.ParseFloat(form.Get("wait"), 64)
	wait := min(time.Duration(seconds*float64(time.Second)), longestWait)
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
