package figemulator

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxPromptBytes is the number of bytes of a prompt that a record keeps.
const maxPromptBytes = 64

// maxRecords is the maximum number of recorded requests; the oldest are dropped first.
const maxRecords = 100_000

// Run records the runs of one request ID, or of one body on a plain service.
type Run struct {
	// ID is the request ID, or the body of a plain call that has one.
	ID string
	// Text is the start of the prompt, by which Find identifies a request.
	Text string
	// Prefills and Decodes count the runs of each kind on an engine.
	Prefills, Decodes int
	// Calls counts the runs on a plain service.
	Calls int
	// Tokens counts the generated tokens.
	Tokens int
	// Finished and Cancelled count the runs that ended in this way.
	Finished, Cancelled int
}

// records holds the runs of an emulator and the headers and targets of its requests.
type records struct {
	mu      sync.Mutex
	runs    map[string]*Run
	order   []string
	headers []http.Header
	targets []string
}

// updateRun calls f with the record of id, which it creates if missing, under the lock.
func (s *records) updateRun(id string, f func(*Run)) {
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
	if len(s.order) > maxRecords {
		delete(s.runs, s.order[0])
		s.order = s.order[1:]
	}
}

// recordRequest records the target and headers of a request.
func (s *records) recordRequest(q *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.headers) >= maxRecords {
		s.headers, s.targets = s.headers[1:], s.targets[1:]
	}
	s.headers = append(s.headers, q.Header.Clone())
	s.targets = append(s.targets, q.RequestURI)
}

// Run returns the record of id, empty except for its ID if there is none.
func (s *records) Run(id string) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.runs[id]; ok {
		return *r
	}
	return Run{ID: id}
}

// Runs returns all records, oldest first.
func (s *records) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]Run, 0, len(s.order))
	for _, id := range s.order {
		all = append(all, *s.runs[id])
	}
	return all
}

// Find returns the records whose prompt starts with text or whose ID equals text.
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

// Requests returns the number of recorded requests, whether or not they ran.
func (s *records) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.targets)
}

// ReceivedText reports whether a header value or the target of any recorded request contains text.
func (s *records) ReceivedText(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.targets, func(t string) bool { return strings.Contains(t, text) }) {
		return true
	}
	return slices.ContainsFunc(s.headers, func(h http.Header) bool { return headerContains(h, text) })
}

func headerContains(h http.Header, text string) bool {
	for values := range maps.Values(h) {
		if strings.Contains(strings.Join(values, "\n"), text) {
			return true
		}
	}
	return false
}
