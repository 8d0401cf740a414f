package figsend

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/request/figanswer"
)

// unheldBytes is the size up to which an answer needs no reservation, as the reader's buffer holds it.
const unheldBytes = figanswer.MaxHeadBytes

var errNoMemory = errors.New("the memory for answers is used up")

// reservation is the memory that is reserved for one answer. A nil one reserves nothing.
type reservation struct {
	exchange *exchange
	// ctx ends the wait for room. cancel ends ctx; only a stream has one, which may be closed during the wait.
	ctx    context.Context
	cancel context.CancelFunc

	mu    sync.Mutex
	held  int64
	ended bool
}

// reserve reserves n more bytes. It waits for room until ctx or the read deadline of the connection ends.
func (r *reservation) reserve(n int64) error {
	if r == nil {
		return nil
	}
	x := r.exchange
	deadline := earlier(x.conn.readDeadline, x.sender.opts.Clock.Now().Add(x.sender.opts.FirstByteTimeout))
	ctx, cancel := context.WithDeadline(r.ctx, deadline)
	defer cancel()
	if err := x.sender.opts.Hold(ctx, n); err != nil {
		return errors.CombineErrors(errNoMemory, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held += n
	if r.ended {
		r.releaseLocked()
		return errNoMemory
	}
	return nil
}

// release releases what is reserved.
func (r *reservation) release() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releaseLocked()
}

// end releases what is reserved and ends a wait for room. Later reservations fail.
func (r *reservation) end() {
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.releaseLocked()
}

func (r *reservation) releaseLocked() {
	if r.held > 0 {
		_ = r.exchange.sender.opts.Hold(r.ctx, -r.held)
		r.held = 0
	}
}

// heldBuffer is a buffer whose memory is reserved before it grows. The smaller arrays that it has outgrown stay reserved
// until the reservation is released, as the garbage collector frees them some time later.
type heldBuffer struct {
	held *reservation
	// free is the size up to which nothing is reserved, limit the size that the contents must not exceed.
	free, limit int
	bytes       []byte
}

// grow makes room for n more bytes. A buffer without that room is doubled, up to one byte beyond its limit, by which
// contents that exceed it are seen.
func (b *heldBuffer) grow(n int) error {
	length := len(b.bytes)
	if cap(b.bytes)-length >= n {
		return nil
	}
	size := max(length+n, min(2*cap(b.bytes), b.limit+1))
	if size > b.free {
		if err := b.held.reserve(int64(size)); err != nil {
			return err
		}
	}
	grown := make([]byte, length, size)
	copy(grown, b.bytes)
	b.bytes = grown
	return nil
}

// append appends p.
func (b *heldBuffer) append(p ...byte) error {
	if err := b.grow(len(p)); err != nil {
		return err
	}
	b.bytes = append(b.bytes, p...)
	return nil
}
