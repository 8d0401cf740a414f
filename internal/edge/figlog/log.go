// Package figlog writes log lines to an output without ever holding back whoever
// logs. Lines wait in a bounded ring for one goroutine that writes them; a line that
// finds the ring full is dropped, and the next line that is written says how many.
//
// # Usage
//
//	l := figlog.New(os.Stdout, 4096)
//	klog.SetLogger(…) // or klog.SetOutput(l)
//	defer l.Close()
package figlog

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"figtrail.dev/figtrail/internal/core/figring"
)

// batchLimit bounds what one write to the output holds, in bytes.
const maxBatchBytes = 32 << 10

// Log is an io.Writer whose Write takes one line and never blocks.
type Log struct {
	// Written and Dropped count lines.
	Written, Dropped atomic.Uint64

	out             io.Writer
	lines           *figring.Ring[[]byte]
	reportedDropped uint64
	cancel          context.CancelFunc
	writer          sync.WaitGroup
}

// New returns a log that writes to out and holds at most capacity lines.
func New(out io.Writer, capacity int) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{out: out, lines: figring.New[[]byte](capacity, figring.Refuse), cancel: cancel}
	l.writer.Go(func() { l.run(ctx) })
	return l
}

// Write takes a copy of one line. It never fails.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.Push(append([]byte(nil), line...)) {
		l.Dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits and ends the log.
func (l *Log) Close() {
	l.cancel()
	l.writer.Wait()
	if line, ok := l.lines.TryPop(); ok {
		l.flush(line)
	}
}

func (l *Log) run(ctx context.Context) {
	for {
		line, err := l.lines.Pop(ctx)
		if err != nil {
			return
		}
		l.flush(line)
	}
}

// flush writes first and all lines that wait, in few writes.
func (l *Log) flush(first []byte) {
	batch := first
	for {
		l.Written.Add(1)
		line, ok := l.lines.TryPop()
		if ok && len(batch)+len(line) <= maxBatchBytes {
			batch = append(batch, line...)
			continue
		}
		if dropped := l.Dropped.Load(); dropped > l.reportedDropped {
			batch = fmt.Appendf(batch, "W figlog dropped lines: %d more, %d in all\n", dropped-l.reportedDropped, dropped)
			l.reportedDropped = dropped
		}
		// There is nowhere to report that the log's own output fails.
		_, _ = l.out.Write(batch)
		if !ok {
			return
		}
		batch = line
	}
}
