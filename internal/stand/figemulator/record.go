package figemulator

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// textKept bounds the remembered start of a prompt, in bytes.
const textKept = 64

// recordsKept bounds the remembered requests; the oldest go first.
const recordsKept = 100_000

// Run is what a stand-in remembers of one request id or body.
type Run struct {
	// ID is the request id.
	ID string
	// Text is the start of the prompt, by which a caller knows its request.
	Text string
	// Prefills and Decodes count the runs of each kind on an engine.
	Prefills, Decodes int
	// Calls counts the runs on a plain service.
	Calls int
	// Tokens counts the generated tokens that were written.
	Tokens int
	// Finished and Cancelled count how the runs ended.
	Finished, Cancelled int
}

// records keeps the runs of a stand-in and the headers that came with them.
type records struct {
	mu      sync.Mutex
	runs    map[string]*Run
	order   []string
	headers []http.Header
	targets []string
}

// note changes the run called id under the lock.
func (s *records) note(id string, f func(*Run)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.runs[id]
	if !ok {
		if s.runs == nil {
			s.runs = map[string]*Run{}
		}
		r = &Run{ID: id}
		s.runs[id] = r
		s.order = append(s.order, id)
	}
	f(r)
	if len(s.order) > recordsKept {
		delete(s.runs, s.order[0])
		s.order = s.order[1:]
	}
}

// see keeps the target and headers of a call.
func (s *records) see(q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.headers) >= recordsKept {
		s.headers, s.targets = s.headers[1:], s.targets[1:]
	}
	s.headers = append(s.headers, q.Header.Clone())
	s.targets = append(s.targets, q.RequestURI)
}

// Run returns what is known of the request called id.
func (s *records) Run(id string) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[id]; ok {
		return *r
	}
	return Run{ID: id}
}

// Runs returns all known requests, oldest first.
func (s *records) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Run, 0, len(s.order))
	for _, id := range s.order {
		all = append(all, *s.runs[id])
	}
	return all
}

// Find returns the runs whose prompt starts with text, or whose id equals it.
func (s *records) Find(text string) []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []Run
	for _, id := range s.order {
		r := s.runs[id]
		if id == text || (r.Text != "" && strings.HasPrefix(r.Text, text)) {
			found = append(found, *r)
		}
	}
	return found
}

// Requests returns how many calls with a request came, whether or not they ran.
func (s *records) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

// Saw reports whether text came in a header or in the target of any call.
func (s *records) Saw(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.targets, func(t string) bool { return strings.Contains(t, text) }) {
		return true
	}
	return slices.ContainsFunc(s.headers, func(h http.Header) bool { return headerHas(h, text) })
}

func headerHas(h http.Header, text string) bool {
	for values := range maps.Values(h) {
		if strings.Contains(strings.Join(values, "\n"), text) {
			return true
		}
	}
	return false
}
