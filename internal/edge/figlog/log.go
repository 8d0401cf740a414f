// Package figlog writes log lines asynchronously, so that a slow output never blocks
// the caller. A bounded ring buffer holds the lines until one goroutine writes them.
// A line that arrives while the buffer is full is dropped; the next write reports the
// number of dropped lines.
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

// maxBatchBytes limits the lines that are joined into one write. A longer line is
// written alone.
const maxBatchBytes = 32 << 10

// Log is an io.Writer whose Write takes one line and never blocks on the output. It
// is safe for concurrent use.
type Log struct {
	// Written and Dropped are the numbers of lines written and dropped so far.
	Written, Dropped atomic.Uint64

	out             io.Writer
	lines           *figring.Ring[[]byte]
	reportedDropped uint64
	cancel          context.CancelFunc
	writer          sync.WaitGroup
}

// New returns a log that writes to out and buffers at most capacity lines. Close
// stops its goroutine.
func New(out io.Writer, capacity int) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Log{out: out, lines: figring.New[[]byte](capacity, figring.Refuse), cancel: cancel}
	l.writer.Go(func() { l.run(ctx) })
	return l
}

// Write buffers a copy of one line, or drops the line if the buffer is full. It never
// returns an error.
func (l *Log) Write(line []byte) (int, error) {
	if !l.lines.Push(append([]byte(nil), line...)) {
		l.Dropped.Add(1)
	}
	return len(line), nil
}

// Close stops the goroutine and writes the buffered lines. It waits for the output.
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

// flush writes first and all buffered lines in batches, followed by the number of
// lines dropped since the last report.
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
		// An error is ignored because there is no other output to report it to.
		_, _ = l.out.Write(batch)
		if !ok {
			return
		}
		batch = line
	}
}
