package figlife

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

var (
	// ErrSlowCaller means that the caller read too slowly for too long.
	ErrSlowCaller = errors.New("the caller reads too slowly")
	// ErrCallerGone means that the caller's connection failed.
	ErrCallerGone = errors.New("the caller's connection failed")

	errPumpOver = errors.New("the relay is over")
)

// Pump relays a stream from a backend server to a caller through a bounded
// buffer. The server is read at its own speed until the buffer is full; a caller
// that keeps it full for longer than its patience ends the relay, so that no
// caller holds engine memory for ever.
type Pump struct {
	// Next returns the next bytes for the caller, valid until its next call, and
	// io.EOF at the proved end. It returns soon after ctx ends.
	Next func(ctx context.Context) ([]byte, error)
	// Write gives bytes to the caller and flushes them. It may block.
	Write func(b []byte) error
	// Abort makes a blocked Write return, by closing the caller's connection.
	Abort func()
	// Limit is the size of the buffer in bytes. One piece above it passes alone.
	Limit int
	// Patience is how long, all in all, the server may be kept waiting for the
	// caller, and how long the caller may take no byte once the server is done.
	Patience time.Duration
	// Clock measures the waiting.
	Clock figtimer.Clock
}

// relay is the buffer between the reading and the writing goroutine.
type relay struct {
	*Pump

	mu      sync.Mutex
	filling []byte
	err     error
	taken   uint64

	// ready tells the writer of bytes or the end, space tells the reader of room.
	ready, space chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
	waited  time.Duration
}

// Run relays until the end. It returns nil if the end was proved and the caller
// took everything, ErrSlowCaller, ErrCallerGone, or the error of Next, after the
// bytes that came before it. When it returns, neither function is running.
func (p *Pump) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(errPumpOver)
	r := &relay{
		Pump:    p,
		ready:   make(chan struct{}, 1),
		space:   make(chan struct{}, 1),
		written: make(chan struct{}),
	}
	var reader sync.WaitGroup
	reader.Go(func() { r.read(ctx) })
	err := r.write()
	close(r.written)
	cancel(errPumpOver)
	reader.Wait()
	return err
}

// signal wakes the other side without waiting for it.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
