package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a worker has received.
type Run struct {
	At     time.Time
	Worker string
	*http.Request

	Payload []byte
}

// ID returns the id of the client attempt.
func (r *Run) ID() string { return r.Header.Get("Attempt-Id") }

// Worker is a stand-in for a backend server.
type Worker struct {
	ID, Service, Zone, Stage string
	Slots                    int
	Born                     int64
	// Work is how long a request runs.
	Work time.Duration
	// Handle serves a request that is meant for the worker; nil for Answer with a short body. It returns false to close
	// the channel.
	Handle func(c net.Conn, r *Run) bool
	// OnRun is called for each request that the worker begins.
	OnRun func(r *Run)
	// OnOrder is called for each order and returns the status of the answer; nil for 202.
	OnOrder func(r *Run) int

	listener net.Listener
	sequence atomic.Int64
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// Start starts a worker at an address.
func (w *Worker) Start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.listener, w.conns, w.closed = l, map[net.Conn]bool{}, false
	if w.Slots == 0 {
		w.Slots = 6
	}
	if w.Born == 0 {
		w.Born = time.Now().UnixMilli()
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// Address returns the worker's address.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Entry returns what the worker writes to the store.
func (w *Worker) Entry(state string) map[string]any {
	e := map[string]any{
		"service": w.Service, "address": w.Address(), "zone": w.Zone, "version": "v1", "slots": w.Slots,
		"state": state, "coldRemainingMs": 0, "sequence": w.sequence.Add(1), "born": w.Born,
	}
	if w.Stage != "" {
		e["stage"] = w.Stage
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// Register writes the worker's entry.
func (w *Worker) Register(s *Store, state string) { s.Put("servers/"+w.ID, w.Entry(state)) }

// Crash ends the worker and resets its channels.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	_ = w.listener.Close()
	for c := range w.conns {
		if n, ok := c.(*net.TCPConn); ok {
			_ = n.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (w *Worker) track(c net.Conn, open bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if open {
		w.conns[c] = true
	} else {
		delete(w.conns, c)
	}
	return !w.closed
}

func (w *Worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer w.track(c, false)
	if !w.track(c, true) {
		return
	}
	reader := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		r := &Run{At: time.Now(), Worker: w.ID, Request: q, Payload: body}
		if !w.answer(c, r) {
			return
		}
	}
}

func (w *Worker) answer(c net.Conn, r *Run) bool {
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != w.ID:
		return Refuse(c, r, "421 Misdirected Request", "")
	case r.URL.Path == "/healthz":
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.ID)
		return err == nil
	case r.URL.Path == "/api/order":
		status := http.StatusAccepted
		if w.OnOrder != nil {
			status = w.OnOrder(r)
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		return err == nil
	case r.ID() == "":
		return Refuse(c, r, "400 Bad Request", "")
	}
	if w.OnRun != nil {
		w.OnRun(r)
	}
	if w.Handle != nil {
		return w.Handle(c, r)
	}
	time.Sleep(w.Work)
	return Answer(c, r, "done")
}

// Answer writes a complete answer with the proof.
func Answer(c net.Conn, r *Run, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: %s.%s\r\nContent-Length: %d\r\n\r\n%s",
		r.ID(), r.Worker, r.ID(), len(body), body)
	return err == nil
}

// Refuse writes an answer that says that the request was not run. The fields are added to its header.
func Refuse(c net.Conn, r *Run, status, fields string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n%sContent-Length: 0\r\n\r\n", status, r.ID(), fields)
	return err == nil
}
