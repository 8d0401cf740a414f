package figconnection

import (
	"context"
	"io"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/limit/figmemory"
)

// AnswerTimeout is how long WaitForAnswers waits after the abortion.
const AnswerTimeout = 350 * time.Millisecond

const (
	// firstRequestTimeout is how long a new connection may stay without a request after the server has stopped
	// accepting.
	firstRequestTimeout = 5 * time.Second
	// lastReadTimeout is how long a connection is read before it is closed, and the listener accepts before it is: what
	// has arrived by then isn't lost.
	lastReadTimeout = 20 * time.Millisecond
	// LingerTimeout is how long a connection of which not everything was read stays open after its last answer. If it was
	// closed at once, the caller could lose the answer.
	LingerTimeout = 200 * time.Millisecond
	// bodyLingerTimeout is how long the rest of a body is dropped that was refused though it is within the limits. Callers
	// that send it all before they read would otherwise lose the answer that it hasn't run.
	bodyLingerTimeout = 2 * time.Second
	// exhaustedPause is the time until the next attempt to accept a connection when descriptors or memory lack.
	exhaustedPause = 50 * time.Millisecond
	// maxLingering is the number of connections without a request that linger at once.
	maxLingering = 64
	// lingerBytes is the size of the buffer for what is read and dropped meanwhile.
	lingerBytes = 4 << 10
	// writePieceBytes is the size of the pieces in which answers are written.
	writePieceBytes = 64 << 10
	// socketBytes is the size of the kernel's buffers of a connection in each direction, which otherwise grow to several
	// megabytes for a caller that doesn't read.
	socketBytes = 256 << 10
	// unlimitedBytes stands for no limit of the memory for what callers hold.
	unlimitedBytes = 1 << 50
	// roomDivisor is the part of the connections, 1/8, at which idle ones begin to make room for new ones.
	roomDivisor = 8
)

// Phase is the state of a server's shutdown.
type Phase uint8

const (
	// Accepting means that the server isn't shut down.
	Accepting Phase = iota
	// Stopping means that it accepts no connections and closes idle ones, and that running requests go on.
	Stopping
	// Aborting means that running requests are aborted, and those that have come only in part refused.
	Aborting
)

// Set holds the open connections of a server. It is safe for concurrent use.
type Set struct {
	// budget is the memory for what callers hold. Above crowded connections each new one evicts another, and each is
	// expected to hold connectionBytes.
	budget          *figmemory.Budget
	crowded         int
	connectionBytes int64

	mu       sync.Mutex
	phase    Phase
	listener *listener
	// lingering is the number of connections without a request that linger.
	lingering int
	open      map[*Conn]struct{}
	// answersDue is until when the answers to aborted requests are waited for; zero before the abortion.
	answersDue time.Time
	// serving ends when the shutdown begins.
	serving context.Context
	stop    context.CancelFunc
	timer   *figtimer.Timer
	// changed is closed and replaced when the last connection has been closed, or the listener.
	changed chan struct{}
}

// listener accepts a server's connections until the shutdown.
type listener struct {
	net.Listener

	connections *Set
	// last says that the connections that have arrived are being accepted before the listener is closed.
	last bool
}

// Options configures a Set. Clock is required.
type Options struct {
	// Clock is the source of time.
	Clock figtimer.Clock
	// Budget is the memory for what callers hold; nil for one without a limit.
	Budget *figmemory.Budget
	// MaxConnections is the number of connections that the server serves at once; 0 means that idle ones need not make
	// room for others. ConnectionBytes is the memory that each is expected to hold.
	MaxConnections  int
	ConnectionBytes int64
}

// New returns a set without connections.
func New(o Options) *Set {
	if o.Budget == nil {
		o.Budget = figmemory.New(figmemory.Options{TotalBytes: unlimitedBytes, Now: o.Clock.Now})
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = math.MaxInt
	}
	s := &Set{
		budget: o.Budget, crowded: o.MaxConnections - o.MaxConnections/roomDivisor, connectionBytes: o.ConnectionBytes,
		timer: figtimer.New(o.Clock), open: map[*Conn]struct{}{}, changed: make(chan struct{}),
	}
	s.serving, s.stop = context.WithCancel(context.Background())
	return s
}

// Listen returns l as the listener whose connections are held. It fails if the shutdown has begun.
func (s *Set) Listen(l net.Listener) (net.Listener, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.phase != Accepting {
		return nil, false
	}
	s.listener = &listener{Listener: l, connections: s}
	return s.listener, true
}

// Accept returns the next connection. When the shutdown has begun, it returns the connections that have arrived, closes
// the listener and returns io.EOF.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.connections.add(c), nil
		}
		if l.connections.Phase() == Accepting {
			if !isExhausted(err) {
				return nil, err
			}
			klog.InfoS("no connection can be accepted at the moment", "err", err)
			// The shutdown ends the sleep, and the next Accept then fails.
			_ = l.connections.timer.Sleep(l.connections.serving, exhaustedPause)
			continue
		}
		if !l.last && setDeadline(l.Listener, time.Now().Add(lastReadTimeout)) {
			l.last = true
			continue
		}
		l.connections.CloseListener()
		return nil, io.EOF
	}
}

// isExhausted says whether a connection couldn't be accepted because of a limit that allows it later.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// setDeadline sets the deadline of Accept. It returns false if the listener has none.
func setDeadline(l net.Listener, at time.Time) bool {
	d, ok := l.(interface{ SetDeadline(t time.Time) error })
	return ok && d.SetDeadline(at) == nil
}

// CloseListener closes the listener, if it is open.
func (s *Set) CloseListener() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
		s.notify()
	}
}

// notify wakes the waiting calls of Wait. s.mu must be held.
func (s *Set) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Phase returns the state of the shutdown.
func (s *Set) Phase() Phase {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.phase
}

func (s *Set) add(n net.Conn) *Conn {
	c := &Conn{Conn: n, connections: s, firstRequest: time.Now().Add(firstRequestTimeout), waiting: true}
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		_, _ = tcp.SetReadBuffer(socketBytes), tcp.SetWriteBuffer(socketBytes)
	}
	c.Holding = s.budget.Open(c.evict)
	c.Holding.Charge(figmemory.Connections, s.connectionBytes)
	s.mu.Lock()
	s.open[c] = struct{}{}
	isCrowded := len(s.open) > s.crowded
	s.mu.Unlock()
	if isCrowded {
		s.budget.EvictOne()
	}
	c.limitReads()
	return c
}

func (s *Set) remove(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if len(s.open) == 0 {
		s.notify()
	}
}

// Advance moves the shutdown to a later phase.
func (s *Set) Advance(to Phase) {
	s.mu.Lock()
	if s.phase >= to {
		s.mu.Unlock()
		return
	}
	s.phase = to
	if to == Aborting {
		s.answersDue = s.timer.Now().Add(AnswerTimeout)
	}
	s.stop()
	l := s.listener
	open := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	if l != nil && !setDeadline(l.Listener, time.Now()) {
		_ = l.Close()
	}
	for _, c := range open {
		c.limitReads()
	}
}

// WaitForAnswers waits until the aborted requests have been answered, or until AnswerTimeout has passed since the
// abortion. It returns the number of connections that are still open.
func (s *Set) WaitForAnswers() int {
	s.mu.Lock()
	due := s.answersDue
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), due)
	defer cancel()
	left, _ := s.Wait(ctx)
	return left
}

// Wait waits until all connections and the listener have been closed, or until ctx ends. It returns the number of
// connections that are still open.
func (s *Set) Wait(ctx context.Context) (int, error) {
	for {
		s.mu.Lock()
		left, done, changed := len(s.open), len(s.open) == 0 && s.listener == nil, s.changed
		s.mu.Unlock()
		if done {
			return 0, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return left, ctx.Err()
		}
	}
}

// beginLinger counts one more connection without a request that lingers. It returns false if there are too many.
func (s *Set) beginLinger() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lingering >= maxLingering {
		return false
	}
	s.lingering++
	return true
}

func (s *Set) endLinger() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lingering--
}
