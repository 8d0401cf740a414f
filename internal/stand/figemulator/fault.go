package figemulator

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// FaultKind is a kind of fault that an engine or a plain service can inject.
type FaultKind string

const (
	// Stall stops an answer after its first part and keeps the connection open.
	Stall FaultKind = "stall"
	// Cut closes the connection in the middle of an answer.
	Cut FaultKind = "cut"
	// Endless streams large events until its caller closes the connection.
	Endless FaultKind = "endless"
	// Late delays an answer by the fault's Delay.
	Late FaultKind = "late"
	// Crossed answers with the answer to another request.
	Crossed FaultKind = "crossed"
	// Refuse answers with status 429 and doesn't run the request.
	Refuse FaultKind = "refuse"
	// Silent reads requests, including GET /load, and never answers.
	Silent FaultKind = "silent"
	// StaleReport keeps returning the load report from when the fault was set, with its age unchanged.
	StaleReport FaultKind = "staleReport"
	// LoseMemory drops all KV cache and stored results and cancels running requests.
	LoseMemory FaultKind = "loseMemory"
	// ReadAndClose runs the request and closes the connection without an answer.
	ReadAndClose FaultKind = "readAndClose"
	// SlowStart begins a cold start without changing the reported start time.
	SlowStart FaultKind = "slowStart"
	// StallTransfer starts a KV cache transfer that never completes.
	StallTransfer FaultKind = "stallTransfer"
	// IgnoreClose keeps a request running after its caller has disconnected.
	IgnoreClose FaultKind = "ignoreClose"
)

// defaultDelay is the delay of a Late fault that sets none.
const defaultDelay = 300 * time.Millisecond

// Fault is a fault to inject, with optional limits on time and requests.
type Fault struct {
	// Kind is the kind of fault.
	Kind FaultKind
	// For is how long the fault stays active; zero means until it is cleared.
	For time.Duration
	// Count is the number of requests that it affects; zero means no limit.
	Count int
	// Delay is the delay of an answer under Late.
	Delay time.Duration
}

// Faults holds the active faults of one emulator. It is safe for concurrent use.
type Faults struct {
	mu     sync.Mutex
	active map[FaultKind]activeFault
	hits   map[FaultKind]int
	onSet  func(FaultKind)
}

type activeFault struct {
	Fault
	until time.Time
}

// Set activates f and replaces an active fault of the same kind.
func (s *Faults) Set(f Fault) {
	a := activeFault{Fault: f}
	if f.For > 0 {
		a.until = time.Now().Add(f.For)
	}
	s.mu.Lock()
	if s.active == nil {
		s.active = map[FaultKind]activeFault{}
	}
	s.active[f.Kind] = a
	s.mu.Unlock()
	if s.onSet != nil {
		s.onSet(f.Kind)
	}
}

// Clear deactivates the fault of that kind.
func (s *Faults) Clear(kind FaultKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, kind)
}

// Hits returns the number of requests that faults of that kind have affected.
func (s *Faults) Hits(kind FaultKind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hits[kind]
}

// consume reports whether a fault of that kind is active. If so, it counts a hit and uses up one of the fault's Count.
func (s *Faults) consume(kind FaultKind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.active[kind]
	if !ok {
		return Fault{}, false
	}
	if !a.until.IsZero() && time.Now().After(a.until) {
		delete(s.active, kind)
		return Fault{}, false
	}
	if s.hits == nil {
		s.hits = map[FaultKind]int{}
	}
	s.hits[kind]++
	if a.Count > 0 {
		a.Count--
		s.active[kind] = a
		if a.Count == 0 {
			delete(s.active, kind)
		}
	}
	return a.Fault, true
}

// faultRequest is the body of POST /fault: a fault to set, or the kind of one to clear.
type faultRequest struct {
	Kind  FaultKind `json:"kind"`
	For   string    `json:"for"`
	Count int       `json:"count"`
	Delay string    `json:"delay"`
	Clear FaultKind `json:"clear"`
}

func (s *Faults) serve(w http.ResponseWriter, r *http.Request) {
	var q faultRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		writeError(w, http.StatusBadRequest, "badFault", err.Error())
		return
	}
	if q.Clear != "" {
		s.Clear(q.Clear)
	}
	if q.Kind != "" {
		f := Fault{Kind: q.Kind, Count: q.Count}
		var err error
		if f.For, err = parseDuration(q.For); err == nil {
			f.Delay, err = parseDuration(q.Delay)
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, "badFault", err.Error())
			return
		}
		s.Set(f)
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}
