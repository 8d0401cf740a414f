// Command platform plays case 9: an operator takes away the only tenant. The program stands for the platform's store, a plain
// service and the clients, and starts two instances of figtrail route.
package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"figtrail.dev/figtrail/review/6/platform/stand"
)

const (
	host = "ficu95.example"
	// key is the key of the tenant that is taken away, otherKey that of one that may stay, wrongKey one that no
	// configuration ever held.
	key, otherKey, wrongKey = "i9n73hh2b9wu3fexd9dn", "n2ctnfzs989anu6wsjnb", "zzzzzzzzzzzzzzzzzzzz"
	machines, memoryMB      = 2, 134
	// applyTime is configApplyMs, outerTime outerMs.
	applyTime, outerTime = 2 * time.Second, 5 * time.Second
	// requests is the number of requests of each kind that are sent after that.
	requests = 10
)

func tenant(name, key string) any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "unit": "tokens", "plainTokens": 200, "ratePerS": 53715, "burst": 53715}
}

func declarations(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-nr26tta", "host": host, "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 2500, "targetLatencyMs": 150,
			"priority": 1, "service": "pfand-ledger", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{
			"name": "pfand-ledger", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false,
			"coldStartS": 0.0, "coldPerS": 0.0,
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": tenants,
	}
}

var (
	trouble = flag.Bool("trouble", true, "whether the last tenant is taken away; otherwise another one stays")
	program = flag.String("program", "target/figtrail", "program of the deploy file")
	record  = flag.String("record", "record.txt", "file for the record")
)

func main() {
	flag.Parse()
	os.Exit(run())
}

// site is the stand-ins of the case.
type site struct {
	*stand.Record

	all []*stand.Machine
	mu  sync.Mutex
	// ran counts the requests that ran, by the first part of their ids.
	ran map[string]int
}

func run() int {
	rec, err := stand.NewRecord(*record)
	if err != nil {
		return 2
	}
	defer rec.Close()
	directory, err := os.MkdirTemp("", "case-")
	if err != nil {
		return 2
	}
	defer func() { _ = os.RemoveAll(directory) }()
	store, err := stand.NewStore()
	if err != nil {
		return 2
	}
	tenants := []any{tenant("hule930", key)}
	remaining := []any{}
	if !*trouble {
		tenants = append(tenants, tenant("wuno96b", otherKey))
		remaining = append(remaining, tenant("wuno96b", otherKey))
	}
	store.Put("op/config", declarations(7, tenants))
	s := &site{Record: rec, ran: map[string]int{}}
	for i := range 3 {
		b := &stand.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "pfand-ledger", Zone: "bayern-a", Slots: 6, Born: time.Now().UnixMilli()}
		b.Handle = func(c net.Conn, r *http.Request, _ []byte) bool { return s.handle(b, c, r) }
		if b.Listen() != nil {
			return 2
		}
		store.Put("servers/"+b.ID, b.Entry())
	}
	s.all = stand.StartMachines(machines, rec, &stand.Process{
		Zone: "bayern-a", Program: *program, Store: store.Address(), Directory: directory, MemoryMB: memoryMB,
	})
	if s.all == nil {
		rec.Line("the case couldn't start")
		return 2
	}
	defer func() {
		for _, m := range s.all {
			m.Kill()
		}
	}()
	time.Sleep(3 * time.Second)
	for n := range requests {
		s.send(n, "before", key)
	}
	if s.ran["before"] != requests {
		rec.Line("requests with the key didn't run before the change")
		return 2
	}
	store.Put("op/config", declarations(8, remaining))
	rec.Line("the store has confirmed version 8")
	time.Sleep(applyTime + outerTime)
	for n := range requests {
		s.send(n, "dropped", key)
		s.send(n, "wrong", wrongKey)
		s.send(n, "none", "")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rec.Line("ran: %d with the dropped key, %d with a key that no configuration held, %d without a key", s.ran["dropped"], s.ran["wrong"], s.ran["none"])
	if s.ran["wrong"] > 0 {
		rec.Line("broken")
		return 1
	}
	rec.Line("held")
	return 0
}

// handle runs a request at a server.
func (s *site) handle(b *stand.Server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	s.Line("server %s runs %s, tenant %q", b.ID, id, r.Header.Get("Tenant"))
	kind, _, _ := strings.Cut(id, "-")
	s.mu.Lock()
	s.ran[kind]++
	s.mu.Unlock()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nInstance-Load: 1,0,6\r\nContent-Length: 2\r\n\r\nok", id)
	return err == nil
}

// send sends a request to an instance and reads its answer.
func (s *site) send(n int, kind, key string) {
	m, id := s.all[n%len(s.all)], fmt.Sprintf("%s-%d", kind, n)
	r, _ := http.NewRequest(http.MethodPost, "http://"+m.Front+"/puxa403/2f", strings.NewReader("{}"))
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "2500")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second}
	a, err := client.Do(r)
	if err != nil {
		s.Line("client %s at %s: no answer", id, m.Name)
		return
	}
	_, _ = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	s.Line("client %s at %s: %s", id, m.Name, a.Status)
}
