// Package figmemory bounds the bytes that clients and backend servers make a process hold. Each connection has a Holding.
// Bytes are reserved in the Budget before they are read. If the budget is used up, the holder that has held most for
// longest without progress is evicted.
//
// # Usage
//
//	b := figmemory.New(figmemory.Options{TotalBytes: 32 << 20, Now: time.Now})
//	h := b.Open(func(p figmemory.Phase) { … }) // closes the connection
//	defer h.Close()
//	if !h.TryGrow(figmemory.Bodies, length) {
//		… // refuse the request before its body is read
//	}
package figmemory

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBytes is the size up to which a body or an answer may use the reserve.
	SmallBytes = 64 << 10
	// bodyEighths and answerEighths are the parts of the budget that large bodies, and large answers and messages of
	// peers, may use. The rest is for small ones, and for answers to what has run: those that wait for room behind bodies
	// would otherwise never get it.
	bodyEighths   = 6
	answerEighths = 7
	eighths       = 8
	// DefaultStallTime is the time in which a client must make progress, or may be evicted if the budget is used up.
	DefaultStallTime = 2 * time.Second
	// receiveProgressBytes and sendProgressBytes are the bytes that count as progress: 8 KiB/s of a request and 32 KiB/s of
	// an answer with the default stall time.
	receiveProgressBytes = 16 << 10
	sendProgressBytes    = 64 << 10
)

// Kind says what bytes are held for.
type Kind uint8

// Kinds of bytes.
const (
	// Connections are the buffers of connections, with the heads of requests.
	Connections Kind = iota
	// Bodies are the bodies of requests.
	Bodies
	// Answers are the answers of backend servers while they are read or written.
	Answers
	// Peers are the messages of other instances while they are read.
	Peers
	// kinds is the number of kinds.
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string { return [...]string{"connections", "bodies", "answers", "peers"}[k] }

// Options holds the settings of a Budget.
type Options struct {
	// TotalBytes is the number of bytes that may be held.
	TotalBytes int64
	// StallTime is the time without progress after which a holder may be evicted; 0 means DefaultStallTime.
	StallTime time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// Budget is the bytes that a process may hold. It is safe for concurrent use.
type Budget struct {
	// Refused counts the reservations that found no room, Evicted the holders that were evicted.
	Refused, Evicted atomic.Uint64

	opts Options

	mu sync.Mutex
	// used is the number of held bytes by kind. leaving is the part of them that evicted holders have not released yet.
	used    [kinds]int64
	leaving int64
	open    map[*Holding]struct{}
	// changed is closed and replaced when bytes are released while someone waits; nil if nobody does.
	changed chan struct{}
}

// New returns an unused budget.
func New(o Options) *Budget {
	if o.StallTime == 0 {
		o.StallTime = DefaultStallTime
	}
	return &Budget{opts: o, open: map[*Holding]struct{}{}}
}

// StallTime returns the time without progress after which a holder may be evicted.
func (b *Budget) StallTime() time.Duration { return b.opts.StallTime }

// Used returns the number of held bytes of a kind.
func (b *Budget) Used(k Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k]
}

// Open returns an empty holding in phase Idle. evict is called at most once, with the phase in which the holder was found;
// it must not block, and must make the holder call Close soon. If it is nil, the holder is never evicted.
func (b *Budget) Open(evict func(Phase)) *Holding {
	h := &Holding{budget: b, evict: evict}
	h.progressAt.Store(b.opts.Now().UnixNano())
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open[h] = struct{}{}
	return h
}

// total returns the number of held bytes. b.mu must be held.
func (b *Budget) total() int64 {
	sum := int64(0)
	for _, n := range b.used {
		sum += n
	}
	return sum
}

// limit returns the number of bytes up to which a holder of size bytes of a kind may use the budget.
func (b *Budget) limit(k Kind, size int64) int64 {
	switch {
	case size <= SmallBytes:
		return b.opts.TotalBytes
	case k == Answers || k == Peers:
		return b.opts.TotalBytes / eighths * answerEighths
	default:
		return b.opts.TotalBytes / eighths * bodyEighths
	}
}

// EvictOne evicts the holder that has been idle for longest, or else the one that has held most for longest without
// progress. It returns false if no holder has been idle or without progress for the stall time.
func (b *Budget) EvictOne() bool {
	now := b.opts.Now()
	b.mu.Lock()
	all := b.candidates()
	chosen := chooseIdle(all, now, b.opts.StallTime)
	if chosen == nil {
		chosen = chooseHolder(all, now, b.opts.StallTime)
	}
	if chosen == nil {
		b.mu.Unlock()
		return false
	}
	b.markEvicted(chosen)
	b.mu.Unlock()
	chosen.holding.evict(chosen.phase)
	return true
}

// evictFor marks holders as evicted until need bytes are about to be released. The caller must call the evict functions
// of the returned ones when it has released b.mu, which must be held.
func (b *Budget) evictFor(need int64) []*candidate {
	now := b.opts.Now()
	var evicted []*candidate
	all := b.candidates()
	for need > b.leaving {
		c := chooseHolder(all, now, b.opts.StallTime)
		if c == nil {
			break
		}
		b.markEvicted(c)
		evicted = append(evicted, c)
	}
	return evicted
}

func (b *Budget) markEvicted(c *candidate) {
	c.evicted = true
	c.holding.evicted = true
	b.leaving += c.bytes
	b.Evicted.Add(1)
}

// candidates returns the holders that may be evicted. b.mu must be held.
func (b *Budget) candidates() []*candidate {
	all := make([]*candidate, 0, len(b.open))
	for h := range b.open {
		if h.evicted || h.evict == nil {
			continue
		}
		all = append(all, &candidate{
			holding: h, phase: Phase(h.phase.Load()), bytes: h.size(), progressAt: time.Unix(0, h.progressAt.Load()),
		})
	}
	return all
}
