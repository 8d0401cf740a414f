package figemulator

import "sync"

// memory tracks the pieces of engine memory that each request has reserved.
type memory struct {
	mu    sync.Mutex
	total int
	used  int
	// reserved holds the number of reserved pieces by request ID.
	reserved map[string]int
}

func newMemory(total int) *memory { return &memory{total: total, reserved: map[string]int{}} }

// reserve reserves n pieces for request id, or returns false if fewer are free.
func (m *memory) reserve(id string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.total {
		return false
	}
	m.used += n
	m.reserved[id] += n
	return true
}

// release frees n pieces of request id.
func (m *memory) release(id string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.reserved[id] -= n; m.reserved[id] == 0 {
		delete(m.reserved, id)
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
	return m.reserved[id]
}
