package figemulator

import "sync"

// memory is the pieces of engine memory and who holds them.
type memory struct {
	mu    sync.Mutex
	total int
	used  int
	held  map[string]int
}

func newMemory(total int) *memory { return &memory{total: total, held: map[string]int{}} }

// take gives n pieces to id, or returns false if fewer are free.
func (m *memory) take(id string, n int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.total {
		return false
	}
	m.used += n
	m.held[id] += n
	return true
}

// release takes n pieces back from id.
func (m *memory) release(id string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.held[id] -= n; m.held[id] == 0 {
		delete(m.held, id)
	}
}

// Held returns how many pieces are held now, by all requests together.
func (m *memory) Held() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// HeldBy returns how many pieces the request called id holds now.
func (m *memory) HeldBy(id string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[id]
}
