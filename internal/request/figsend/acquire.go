package figsend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// acquired is a connection that carries one call.
type acquired struct {
	conn *connection
	// release gives it back to the library's pool or closes it.
	release func(reuse bool)
	// releaseUnused gives back a connection that has carried nothing.
	releaseUnused func()
	// closeIdle closes its idle neighbours.
	closeIdle func()
}

// acquire returns a connection for c: a new one, or for keep one that the
// library's pool has and that looks usable.
func (s *Sender) acquire(ctx context.Context, c *Call, keep bool) (acquired, *Failure) {
	if keep {
		return s.acquirePooled(ctx, c)
	}
	n, err := s.connect(ctx, c.Server.Address, s.opts.DialLimit)
	if err != nil {
		return acquired{}, dialFailure(ctx, c, err)
	}
	conn := n.(*connection)
	return acquired{conn: conn, release: func(bool) { _ = conn.Close() }, closeIdle: func() {}}, nil
}

func (s *Sender) acquirePooled(ctx context.Context, c *Call) (acquired, *Failure) {
	h := s.host(c.Server.Address)
	for {
		cc, err := h.AcquireConn(s.opts.DialLimit, false)
		if err != nil {
			return acquired{}, dialFailure(ctx, c, err)
		}
		conn := cc.Conn().(*connection)
		if !s.reusable(conn) {
			h.CloseConn(cc)
			continue
		}
		if conn.reused {
			s.Reuses.Add(1)
		}
		release := func(reuse bool) {
			if !reuse {
				h.CloseConn(cc)
				return
			}
			conn.reused = true
			conn.idleSince = s.opts.Clock.Now()
			h.ReleaseConn(cc)
		}
		giveBack := func() {
			conn.idleSince = s.opts.Clock.Now()
			h.ReleaseConn(cc)
		}
		return acquired{conn: conn, release: release, releaseUnused: giveBack, closeIdle: h.CloseIdleConnections}, nil
	}
}

// Reach makes sure that there is a usable kept connection to a server, by making
// one if there is none. Its errors are those of a call that was not sent.
func (s *Sender) Reach(ctx context.Context, server figview.Server) error {
	h, f := s.acquirePooled(ctx, &Call{Server: server})
	if f != nil {
		return f
	}
	h.releaseUnused()
	return nil
}

// reusable looks at a kept connection before it carries another call. Bytes that
// wait on it are an answer that came late, to a request that is over.
func (s *Sender) reusable(c *connection) bool {
	if c.idleSince.IsZero() {
		return true // it has only just been made
	}
	now := s.opts.Clock.Now()
	if now.Sub(c.dialedAt) > s.opts.MaxConnectionAge || now.Sub(c.idleSince) > s.opts.IdleLimit {
		return false
	}
	switch peek(c.Conn) {
	case peekData:
		s.Late.Add(1)
		return false
	case peekClosed:
		return false
	default:
		return true
	}
}

func dialFailure(ctx context.Context, c *Call, err error) *Failure {
	kind := KindConnect
	switch {
	case ctx.Err() != nil:
		kind = contextKind(ctx)
	case errors.Is(err, fasthttp.ErrNoFreeConns):
		kind = KindBusy
	}
	return fail(c, "connect", kind, NotRun, err)
}

// contextKind returns why ctx ended.
func contextKind(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return KindDeadline
	}
	return KindCancelled
}
