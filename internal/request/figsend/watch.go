package figsend

import (
	"context"
	"maps"
	"net"
	"sync"
	"time"
)

// WatchInterval is the usual time between two looks at the callers' connections.
const WatchInterval = 200 * time.Millisecond

// CallerWatch notices callers that leave while their request waits or runs. The
// HTTP server does not: it reads a connection only between two requests. The
// watch looks into the sockets without taking bytes from them, so that a
// request that a caller has already sent after the first one stays whole.
//
// A caller that closes only its sending side counts as gone, as in other HTTP
// servers.
type CallerWatch struct {
	mu    sync.Mutex
	next  uint64
	conns map[uint64]watchedConn
}

type watchedConn struct {
	conn    net.Conn
	onClose func()
}

// NewCallerWatch returns a watch without connections.
func NewCallerWatch() *CallerWatch {
	return &CallerWatch{conns: map[uint64]watchedConn{}}
}

// Add watches conn until remove is called. It calls gone once if the caller
// closes the connection. gone must not block; it can still be running when
// remove returns.
func (w *CallerWatch) Add(conn net.Conn, gone func()) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.next++
	key := w.next
	w.conns[key] = watchedConn{conn: conn, onClose: gone}
	return func() { w.remove(key) }
}

// Run looks at all connections at each tick until ctx ends.
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

// Check looks at all connections once.
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

// snapshot lets the sockets be looked at without the lock.
func (w *CallerWatch) snapshot() map[uint64]watchedConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.conns)
}
