// Package figcrowd plays clients that send requests and leave them unfinished, or don't read the answers, and watches the
// memory and the descriptors of the process that serves them. It is for tests only.
//
// # Usage
//
//	p := figcrowd.Watch(t, pid)
//	w := figcrowd.Crowd{Clients: 48, Play: func(c net.Conn) { … }}
//	w.Start(ctx, t, address)
//	p.RequireWithin(88, 512)
package figcrowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// reconnectPause is the time after which a client whose connection was closed connects again.
	reconnectPause = 200 * time.Millisecond
	// holdTime is how long a crowd stays before Start returns, so that all of it has been accepted.
	holdTime = 2 * time.Second
	// sampleInterval is the time between two looks at a process.
	sampleInterval = 5 * time.Millisecond
)

// Crowd is a group of clients that connect again whenever their connections are closed.
type Crowd struct {
	Clients int
	// Rounds limits the connections of each client; 0 for no limit.
	Rounds int
	// Play sends what a client sends. The client then stays connected until the other side closes the connection.
	Play func(c net.Conn)
}

// Start connects the clients to address, and returns holdTime after each of them has sent everything once or its
// connection was closed. The clients go on until ctx ends.
func (w *Crowd) Start(ctx context.Context, t *testing.T, address string) {
	t.Helper()
	var settled, running sync.WaitGroup
	settled.Add(w.Clients)
	t.Cleanup(running.Wait)
	for range w.Clients {
		running.Go(func() {
			settle := sync.OnceFunc(settled.Done)
			defer settle()
			for round := 0; ctx.Err() == nil && (w.Rounds == 0 || round < w.Rounds); round++ {
				w.connect(ctx, address, settle)
				select {
				case <-ctx.Done():
				case <-time.After(reconnectPause):
				}
			}
		})
	}
	settled.Wait()
	time.Sleep(holdTime)
}

// connect plays one connection of a client until it is closed or ctx ends.
func (w *Crowd) connect(ctx context.Context, address string, settle func()) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	w.Play(c)
	settle()
	_, _ = io.Copy(io.Discard, c)
}

// Process is a process whose resident memory and open descriptors are watched.
type Process struct {
	// PID is the number of the process.
	PID int

	t *testing.T

	mu sync.Mutex
	// peakBytes is the largest resident memory, peakDescriptors the largest number of open descriptors that was seen.
	peakBytes, peakDescriptors int
}

// Watch watches a process until the test ends.
func Watch(t *testing.T, pid int) *Process {
	p := &Process{t: t, PID: pid}
	done, stopped := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() {
		close(done)
		<-stopped
	})
	go func() {
		defer close(stopped)
		for {
			p.sample()
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return p
}

// sample reads the memory and the descriptors. It returns false if the process has ended.
func (p *Process) sample() bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID))
	if err != nil || strings.Contains(string(text), "State:\tZ") {
		return false
	}
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakDescriptors = max(p.peakDescriptors, len(open))
	for line := range strings.SplitSeq(string(text), "\n") {
		// VmHWM is the peak of the resident memory, so that nothing is missed between two samples.
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kilobytes, err := strconv.Atoi(f[1])
			if err == nil {
				p.peakBytes = max(p.peakBytes, kilobytes<<10)
			}
		}
	}
	return true
}

// RequireWithin fails unless the process still runs and has stayed within its bounds.
func (p *Process) RequireWithin(memoryMB, descriptors int) {
	require.True(p.t, p.sample(), "the process has ended")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("at most %d MB resident, %d descriptors", p.peakBytes>>20, p.peakDescriptors)
	require.LessOrEqual(p.t, p.peakBytes, memoryMB<<20, "resident memory in bytes")
	require.LessOrEqual(p.t, p.peakDescriptors, descriptors, "open descriptors")
}
