package figsend

import (
	"context"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/request/figanswer"
)

const (
	// unheldBytes is the size up to which an answer needs no reservation, as the reader's buffer holds it.
	unheldBytes = figanswer.MaxHeadBytes
	// growthFactor is how much more than the bytes read a buffer of unknown final size may take.
	growthFactor = 2
)

var errNoMemory = errors.New("the memory for answers is used up")

// holder reserves memory for the body of one answer.
type holder struct {
	exchange *exchange
	// read is the number of bytes read of a body of unknown length, held the number of reserved ones.
	read, held int64
	err        error
}

// hold reserves n bytes. It waits for room until the deadline of the call.
func (h *holder) hold(n int64) error {
	x := h.exchange
	deadline := earlier(x.deadline, x.sender.opts.Clock.Now().Add(x.sender.opts.FirstByteTimeout))
	ctx, cancel := context.WithDeadline(x.ctx, deadline)
	defer cancel()
	if err := x.sender.opts.Hold(ctx, n); err != nil {
		h.err = errors.CombineErrors(errNoMemory, err)
		return h.err
	}
	h.held += n
	return nil
}

// holdLength reserves memory for a body of a known length.
func (h *holder) holdLength(length int64) error {
	if length <= unheldBytes {
		return nil
	}
	return h.hold(min(length, h.exchange.maxBody()))
}

// grow reserves memory for n more bytes of a body of unknown length, in steps that double.
func (h *holder) grow(n int) error {
	h.read += int64(n)
	if h.read <= unheldBytes || growthFactor*h.read <= h.held {
		return nil
	}
	return h.hold(growthFactor*growthFactor*h.read - h.held)
}

// release releases what was reserved for an answer that failed.
func (h *holder) release() {
	if h.held > 0 {
		_ = h.exchange.sender.opts.Hold(h.exchange.ctx, -h.held)
	}
}

// failure returns the Failure for an error of reading the body.
func (h *holder) failure(err error) *Failure {
	h.release()
	if h.err != nil && h.exchange.ctx.Err() == nil {
		return fail(h.exchange.call, "answer", KindDeadline, OutcomeUnknown, h.err)
	}
	return h.exchange.failure("answer", err)
}
