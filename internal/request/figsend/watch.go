package figsend

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"
)

// WatchInterval is the usual interval between two calls of CallerWatch.Check.
const WatchInterval = 200 * time.Millisecond

// CallerWatch detects callers that close their connection while their request is queued or running. The HTTP server
// doesn't detect this, because it reads from a connection only between two requests. CallerWatch peeks at the receive
// queues of the sockets without consuming data, so that a pipelined request stays intact.
//
// A caller that closes only its sending side is treated as one that has closed the connection, as in other HTTP
// servers.
type CallerWatch struct {
	mu      sync.Mutex
	lastKey uint64
	conns   map[uint64]watchedConn
}

type watchedConn struct {
	conn    net.Conn
	onClose func()
}

// NewCallerWatch returns a CallerWatch that watches no connections yet.
func NewCallerWatch() *CallerWatch {
	return &CallerWatch{conns: map[uint64]watchedConn{}}
}

// Add watches conn until remove is called. If the caller closes the connection before that, Check calls onClose once
// and stops watching conn. onClose must not block; it may still be running when remove returns.
func (w *CallerWatch) Add(conn net.Conn, onClose func()) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastKey++
	key := w.lastKey
	w.conns[key] = watchedConn{conn: conn, onClose: onClose}
	return func() { w.remove(key) }
}

// Run calls Check at each tick until ctx ends or ticks is closed. It returns ctx.Err().
func (w *CallerWatch) Run(ctx context.Context, ticks <-chan time.Time) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case _, ok := <-ticks:
			if !ok {
				return ctx.Err()
			}
			w.Check()
		}
	}
}

// Check peeks at each watched connection once and calls onClose for those that the caller has closed.
func (w *CallerWatch) Check() {
	for key, e := range w.snapshot() {
		if peek(e.conn) == peekClosed && w.remove(key) {
			e.onClose()
		}
	}
}

// Len returns the number of watched connections.
func (w *CallerWatch) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.conns)
}

func (w *CallerWatch) remove(key uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.conns[key]
	delete(w.conns, key)
	return ok
}

// snapshot returns a copy of the watched connections, so that Check makes its system calls without holding the lock.
func (w *CallerWatch) snapshot() map[uint64]watchedConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.conns)
}
