package figlife

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// read moves bytes from the server into the buffer, then watches over the rest
// of the writing.
func (r *relay) read(ctx context.Context) {
	for {
		b, err := r.Next(ctx)
		if err != nil {
			r.end(err)
			break
		}
		if !r.put(ctx, b) {
			break
		}
	}
	r.drain()
}

// put appends b to the buffer when it has room. It returns false if the relay is over.
func (r *relay) put(ctx context.Context, b []byte) bool {
	for {
		if r.append(b) {
			return true
		}
		if !r.wait(ctx) {
			return false
		}
	}
}

func (r *relay) append(b []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.filling) > 0 && len(r.filling)+len(b) > r.Limit {
		return false
	}
	r.filling = append(r.filling, b...)
	signal(r.ready)
	return true
}

// wait waits for room, within what is left of the patience.
func (r *relay) wait(ctx context.Context) bool {
	began := r.Clock.Now()
	t := time.NewTimer(r.Patience - r.waited)
	defer t.Stop()
	select {
	case <-r.space:
		r.waited += r.Clock.Now().Sub(began)
		return true
	case <-ctx.Done():
		r.end(context.Cause(ctx))
	case <-t.C:
		r.end(ErrSlowCaller)
		r.Abort()
	}
	return false
}

// drain ends a writer that gets no byte through.
func (r *relay) drain() {
	t := time.NewTicker(r.Patience)
	defer t.Stop()
	last := r.progress()
	for {
		select {
		case <-r.written:
			return
		case <-t.C:
		}
		now := r.progress()
		if now == last {
			r.end(ErrSlowCaller)
			r.Abort()
			return
		}
		last = now
	}
}

func (r *relay) progress() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.taken
}

// end says why no more bytes come. A slow caller replaces an earlier reason.
func (r *relay) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil || errors.Is(err, ErrSlowCaller) {
		r.err = err
	}
	signal(r.ready)
}

// write moves bytes from the buffer to the caller.
func (r *relay) write() error {
	var spare []byte
	for {
		b, err := r.take(spare)
		if errors.Is(err, ErrSlowCaller) {
			return err
		}
		if len(b) > 0 {
			if failed := r.Write(b); failed != nil {
				return r.lost(failed)
			}
			spare = b[:0]
			continue
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		<-r.ready
	}
}

// take exchanges the filled buffer for the spare one. An empty one stays.
func (r *relay) take(spare []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.filling
	if len(b) == 0 {
		return nil, r.err
	}
	r.filling = spare
	r.taken++
	signal(r.space)
	return b, r.err
}

// lost returns why a write failed: the caller left, or was ended for its slowness.
func (r *relay) lost(err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.err, ErrSlowCaller) {
		return r.err
	}
	return fmt.Errorf("%w: %w", ErrCallerGone, err)
}
