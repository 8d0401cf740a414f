package figmemory

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// stallChecks is how often in the stall time a waiting reservation looks for holders without progress.
const stallChecks = 8

// ErrFull means that the budget is used up.
var ErrFull = errors.New("the bytes that may be held are used up")

// Holding is the bytes that one connection or call holds. It is safe for concurrent use.
type Holding struct {
	budget *Budget
	evict  func(Phase)
	phase  atomic.Uint32
	// progressAt is when the holder last made progress, in Unix nanoseconds, progressed the bytes since then.
	progressAt, progressed atomic.Int64

	// The fields below are guarded by budget.mu.

	bytes   [kinds]int64
	evicted bool
	closed  bool
}

type contextKey struct{}

// WithContext returns a context that carries the holding of the caller whose request is served.
func (h *Holding) WithContext(ctx context.Context) context.Context {
	return context.WithValue(ctx, contextKey{}, h)
}

// FromContext returns the holding that the context carries, or nil.
func FromContext(ctx context.Context) *Holding {
	h, _ := ctx.Value(contextKey{}).(*Holding)
	return h
}

// HoldAnswer reserves n bytes for a part of an answer in the holding that ctx carries, and waits for room until ctx ends.
// A negative n releases bytes. Without a holding it does nothing.
func HoldAnswer(ctx context.Context, n int64) error {
	h := FromContext(ctx)
	switch {
	case h == nil:
		return nil
	case n < 0:
		h.Shrink(Answers, -n)
		return nil
	}
	return h.Grow(ctx, Answers, n)
}

// size returns the number of held bytes. budget.mu must be held.
func (h *Holding) size() int64 {
	sum := int64(0)
	for _, n := range h.bytes {
		sum += n
	}
	return sum
}

// Enter notes that the holder begins a phase, which counts as progress. It returns the phase before.
func (h *Holding) Enter(p Phase) Phase {
	h.progressed.Store(0)
	h.progressAt.Store(h.budget.opts.Now().UnixNano())
	return Phase(h.phase.Swap(uint32(p)))
}

// Progress notes that n bytes of a request were read or n bytes of an answer written. Fewer bytes than the least rate
// count only together with later ones.
func (h *Holding) Progress(n int) {
	least := int64(receiveProgressBytes)
	if Phase(h.phase.Load()) == Sending {
		least = sendProgressBytes
	}
	if h.progressed.Add(int64(n)) >= least {
		h.progressed.Store(0)
		h.progressAt.Store(h.budget.opts.Now().UnixNano())
	}
}

// TryGrow reserves n more bytes of a kind. If there is no room, it evicts holders without progress, so that a later
// attempt may succeed, and returns false.
func (h *Holding) TryGrow(k Kind, n int64) bool {
	ok, _ := h.tryGrow(k, n)
	if !ok {
		h.budget.Refused.Add(1)
	}
	return ok
}

// tryGrow is TryGrow. If there is no room, it returns a channel that is closed when bytes are released.
func (h *Holding) tryGrow(k Kind, n int64) (bool, <-chan struct{}) {
	b := h.budget
	b.mu.Lock()
	need := b.total() + n - b.limit(k, h.bytes[k]+n)
	if need <= 0 && !h.closed {
		h.bytes[k] += n
		b.used[k] += n
		b.mu.Unlock()
		return true, nil
	}
	evicted := b.evictFor(need)
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	changed := b.changed
	b.mu.Unlock()
	for _, c := range evicted {
		c.holding.evict(c.phase)
	}
	return false, changed
}

// Grow is like TryGrow, but waits for room until ctx ends. It then returns ErrFull.
func (h *Holding) Grow(ctx context.Context, k Kind, n int64) error {
	for {
		ok, changed := h.tryGrow(k, n)
		if ok {
			return nil
		}
		if err := h.budget.wait(ctx, changed); err != nil {
			h.budget.Refused.Add(1)
			return errors.CombineErrors(ErrFull, err)
		}
	}
}

// Charge adds bytes that are held already, whether or not there is room.
func (h *Holding) Charge(k Kind, n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.closed {
		h.bytes[k] += n
		b.used[k] += n
	}
}

// Held returns the number of held bytes of a kind.
func (h *Holding) Held(k Kind) int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes[k]
}

// Shrink releases n bytes of a kind.
func (h *Holding) Shrink(k Kind, n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.release(h, k, n)
}

// Release releases all bytes of a kind.
func (h *Holding) Release(k Kind) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(h, k, h.bytes[k])
}

// Close releases all bytes and ends the holding.
func (h *Holding) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range kinds {
		b.release(h, k, h.bytes[k])
	}
	h.closed = true
	delete(b.open, h)
}

// release releases bytes of a kind of a holding. b.mu must be held.
func (b *Budget) release(h *Holding, k Kind, n int64) {
	n = min(n, h.bytes[k])
	if n == 0 {
		return
	}
	h.bytes[k] -= n
	b.used[k] -= n
	if h.evicted {
		b.leaving = max(b.leaving-n, 0)
	}
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// wait waits until bytes are released, a holder may have been without progress for the stall time, or ctx ends.
func (b *Budget) wait(ctx context.Context, changed <-chan struct{}) error {
	limited, cancel := context.WithTimeout(ctx, b.opts.StallTime/stallChecks)
	defer cancel()
	select {
	case <-changed:
	case <-limited.Done():
	}
	return ctx.Err()
}
