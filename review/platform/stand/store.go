package stand

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of keys in one page of the store.
const pageSize = 50

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
}

// Store is a stand-in for the platform's store. It keeps its whole history.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

// NewStore starts a store at an address.
func NewStore(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, items: map[string]item{}, revision: 10, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-range", s.serveRange)
	mux.HandleFunc("GET /api/kv-watch", s.serveWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	s.history = append(s.history, i)
	s.items[i.Key] = i
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	page := []item{}
	more := false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, q.Get("prefix")) || key <= q.Get("after") {
			continue
		}
		if len(page) == pageSize {
			more = true
			break
		}
		page = append(page, s.items[key])
	}
	reply(w, map[string]any{"items": page, "morePages": more, "asOf": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		changed, asOf := s.changed, s.revision
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit.C:
			reply(w, map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
}
