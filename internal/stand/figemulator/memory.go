package figemulator

import "sync"

// memory tracks the pieces of engine memory that each request has reserved.
type memory struct {
	mu    sync.Mutex
	total int
	used  int
	held  map[string]int
}

func newMemory(total int) *memory { return &memory{total: total, held: map[string]int{}} }

// reserve reserves n pieces for request id, or returns false if fewer are free.
func (m *memory) reserve(id string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.total {
		return false
	}
	m.used += n
	m.held[id] += n
	return true
}

// release frees n pieces of request id.
func (m *memory) release(id string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.held[id] -= n; m.held[id] == 0 {
		delete(m.held, id)
	}
}

// ReservedPieces returns the number of pieces reserved by all requests.
func (m *memory) ReservedPieces() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// ReservedPiecesBy returns the number of pieces reserved by request id.
func (m *memory) ReservedPiecesBy(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[id]
}
