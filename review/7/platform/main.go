// Command platform plays case 7: a prompt part on which backend servers crash while they write the answer.
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
	"sync/atomic"
	"time"

	"figtrail.dev/figtrail/review/6/platform/stand"
)

const (
	host, key = "ficu95.example", "i9n73hh2b9wu3fexd9dn"
	harmful   = "bad0bad0"
	contact   = 3 * time.Second
)

const (
	// decodeServers and prefillServers are the model servers, machines the instances of figtrail route.
	decodeServers, prefillServers, machines = 7, 2, 3
	// streamEvents is the number of events of a whole answer, eventGap the time between two, harmfulEvents the number of
	// events that a server writes of an answer on the harmful part before it crashes.
	streamEvents, eventGap, harmfulEvents = 12, 200 * time.Millisecond, 4
	// downTime is how long a crashed server is away.
	downTime = 3 * time.Second
	// playTime is how long requests are sent, harmful ones from calmTime on.
	playTime, calmTime = 40 * time.Second, 3 * time.Second
	// soundPerSecond and harmfulPerSecond are the requests a second to all instances.
	soundPerSecond, harmfulPerSecond = 8, 1
	// crashLimit and lateLimit are those of the rule: from contact after the crash of this number on, no more than so many
	// requests may reach servers.
	crashLimit, lateLimit = 5, 3
)

var (
	trouble = flag.Bool("trouble", true, "whether servers crash on the part")
	program = flag.String("program", "target/figtrail", "program of the deploy file")
	record  = flag.String("record", "record.txt", "file for the record")
)

func declarations() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-828m82t", "host": host, "prefix": "/pufi791/", "kind": "streaming", "timeoutMs": 14000,
			"targetLatencyMs": 900, "priority": 1, "service": "lm-pool", "maxAttempts": 1, "public": false, "sticky": true,
			"resumable": false, "targetGapMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "lm-pool", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
			"coldStartS": 3.0, "coldPerS": 8.0, "engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 66719, "kvTokenBytes": 163840, "linkMbps": 1400000.0, "stride": 11,
				"handleTtlS": 0.5, "stageSwitchS": 6.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{key}, "unit": "tokens", "plainTokens": 200, "ratePerS": 0, "burst": 0}},
	}
}

type pool struct {
	store   *stand.Store
	rec     *stand.Record
	mu      sync.Mutex
	number  int
	crashes []time.Time
	// arrivals holds when each request with the harmful part first reached a server, by its id.
	arrivals map[string]time.Time
}

func (p *pool) start(address, stage string, cold bool) bool {
	p.mu.Lock()
	p.number++
	s := &stand.Server{ID: fmt.Sprintf("i-%d", p.number), Service: "lm-pool", Zone: "bayern-a", Slots: 64, Born: time.Now().UnixMilli(), Stage: stage}
	p.mu.Unlock()
	s.Handle = func(c net.Conn, r *http.Request, _ []byte) bool { return p.handle(s, c, r) }
	if s.ListenAt(address) != nil {
		return false
	}
	e := s.Entry()
	if cold {
		e["coldRemainingMs"] = 3000
	}
	p.store.Put("servers/"+s.ID, e)
	return true
}

func (p *pool) handle(s *stand.Server, c net.Conn, r *http.Request) bool {
	if r.URL.Path == "/api/order" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	id := r.Header.Get("Attempt-Id")
	if r.Header.Get("Expect-Instance") != s.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	bad := strings.Contains(r.Header.Get("Prompt-Prefix"), harmful)
	if bad {
		p.mu.Lock()
		if _, known := p.arrivals[id]; !known {
			p.arrivals[id] = time.Now()
		}
		p.mu.Unlock()
	}
	p.rec.Line("server %s gets %s, harmful part: %v, stage: %q", s.ID, id, bad, r.Header.Get("Stage"))
	if r.Header.Get("Stage") == "prefill" {
		time.Sleep(30 * time.Millisecond)
		body := `{"handle":"` + id + `","tokens":1460,"version":1}`
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		return err == nil
	}
	time.Sleep(100 * time.Millisecond)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := range streamEvents {
		if bad && *trouble && n == harmfulEvents {
			if s.Crash() {
				p.mu.Lock()
				p.crashes = append(p.crashes, time.Now())
				count := len(p.crashes)
				p.mu.Unlock()
				p.rec.Line("server %s crashes on %s after %d events; crash %d", s.ID, id, n, count)
				time.AfterFunc(downTime, func() {
					p.store.Remove("servers/" + s.ID)
					p.start(s.Address(), s.Stage, true)
				})
			}
			return false
		}
		text := fmt.Sprintf("id: %d\ndata: xxxx\n\n", n+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return false
		}
		time.Sleep(eventGap)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

func main() {
	flag.Parse()
	os.Exit(run())
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
	store.Put("op/config", declarations())
	p := &pool{store: store, rec: rec, arrivals: map[string]time.Time{}}
	for i := range decodeServers + prefillServers {
		if !p.start(stand.FreePort, map[bool]string{true: "prefill", false: "decode"}[i < prefillServers], false) {
			return 2
		}
	}
	all := stand.StartMachines(machines, rec, &stand.Process{
		Zone: "bayern-a", Program: *program, Store: store.Address(), Directory: directory, MemoryMB: 134,
	})
	if all == nil {
		rec.Line("the case couldn't start")
		return 2
	}
	defer func() {
		for _, m := range all {
			m.Kill()
		}
	}()
	time.Sleep(3 * time.Second)
	var requests sync.WaitGroup
	var number, sound, served atomic.Int64
	send := func(bad bool) {
		n := number.Add(1)
		m := all[int(n)%len(all)]
		requests.Go(func() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+m.Front+"/pufi791/2f", strings.NewReader("body"))
			id := fmt.Sprintf("%016x", n)
			part := fmt.Sprintf("%08x", n)
			if bad {
				part = harmful
			}
			r.Host = host
			for k, v := range map[string]string{
				"Attempt-Id": id, "Authorization": "Bearer " + key, "Deadline-Ms": "14000", "Model": "m",
				"Token-Counts": "1460,80", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:410,%08x:250", part, n),
			} {
				r.Header.Set(k, v)
			}
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 16 * time.Second}
			a, err := client.Do(r)
			status := "no answer"
			if err == nil {
				_, err = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				status = fmt.Sprintf("%d, complete: %v", a.StatusCode, err == nil)
			}
			rec.Line("client %s at %s, harmful part: %v: %s", id, m.Name, bad, status)
			if !bad {
				sound.Add(1)
				if strings.HasPrefix(status, "200, complete: true") {
					served.Add(1)
				}
			}
		})
	}
	begun := time.Now()
	nextHarmful, nextSound := begun.Add(calmTime), begun
	for time.Since(begun) < playTime {
		now := time.Now()
		if now.After(nextHarmful) {
			nextHarmful = nextHarmful.Add(time.Second / harmfulPerSecond)
			send(true)
		}
		if now.After(nextSound) {
			nextSound = nextSound.Add(time.Second / soundPerSecond)
			send(false)
		}
		time.Sleep(5 * time.Millisecond)
	}
	requests.Wait()
	return p.judge(sound.Load(), served.Load())
}

// judge returns the exit code.
func (p *pool) judge(sound, served int64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	if len(p.crashes) >= crashLimit {
		for _, at := range p.arrivals {
			if at.After(p.crashes[crashLimit-1].Add(contact)) {
				late++
			}
		}
	}
	p.rec.Line("%d crashes; %d requests with the part reached servers, %d of them later than %v after crash %d; %d of %d sound requests were answered in full",
		len(p.crashes), len(p.arrivals), late, contact, crashLimit, served, sound)
	if late > lateLimit {
		p.rec.Line("broken: more than %d", lateLimit)
		return 1
	}
	p.rec.Line("held")
	return 0
}
