package figsend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// acquired is a connection reserved for one call, with the functions that end the reservation.
type acquired struct {
	conn *connection
	// release closes the connection, or for reuse returns it to fasthttp's pool. A connection that didn't come
	// from the pool is always closed.
	release func(reuse bool)
	// releaseUnused returns to the pool a connection that was acquired and not written to. It is nil for a connection
	// that didn't come from the pool.
	releaseUnused func()
	// closeIdle closes the idle pooled connections to the same server.
	closeIdle func()
}

// releaseUnwritten ends the reservation of a connection that was not written to.
func (a *acquired) releaseUnwritten() {
	if a.releaseUnused != nil {
		a.releaseUnused()
		return
	}
	a.release(false)
}

// acquire returns a connection to c's server. If pooled is set, it comes from fasthttp's pool, which dials one if none
// is idle; otherwise it is dialled for this call.
func (s *Sender) acquire(ctx context.Context, c *Call, pooled bool) (acquired, *Failure) {
	if pooled {
		return s.acquirePooled(ctx, c)
	}
	n, err := s.connect(ctx, c.Server.Address, s.opts.DialTimeout)
	if err != nil {
		return acquired{}, dialFailure(ctx, c, err)
	}
	conn := n.(*connection)
	return acquired{conn: conn, release: func(bool) { _ = conn.Close() }, closeIdle: func() {}}, nil
}

func (s *Sender) acquirePooled(ctx context.Context, c *Call) (acquired, *Failure) {
	h := s.host(c.Server.Address)
	for {
		cc, err := h.AcquireConn(s.opts.DialTimeout, false)
		if err != nil {
			return acquired{}, dialFailure(ctx, c, err)
		}
		conn := cc.Conn().(*connection)
		if !s.reusable(conn) || conn.hasRefused(c.ID) {
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
		releaseUnused := func() {
			conn.idleSince = s.opts.Clock.Now()
			h.ReleaseConn(cc)
		}
		return acquired{conn: conn, release: release, releaseUnused: releaseUnused, closeIdle: h.CloseIdleConnections}, nil
	}
}

// EnsureConnection checks that the pool holds a reusable connection to server, and dials one if not. Its errors are of
// type *Failure with NotRun.
func (s *Sender) EnsureConnection(ctx context.Context, server figview.Server) error {
	h, f := s.acquirePooled(ctx, &Call{Server: server})
	if f != nil {
		return f
	}
	h.releaseUnused()
	return nil
}

// reusable reports whether a pooled connection can carry another call: the server hasn't closed it, it is within its
// age and idle limits, and no unread bytes are waiting. Unread bytes can only belong to an earlier request, such as an
// answer that arrived after the request had timed out.
func (s *Sender) reusable(c *connection) bool {
	if c.idleSince.IsZero() {
		return true // just dialled
	}
	now := s.opts.Clock.Now()
	if now.Sub(c.dialedAt) > s.opts.MaxConnectionAge || now.Sub(c.idleSince) > s.opts.IdleTimeout {
		return false
	}
	switch peek(c.Conn) {
	case peekData:
		s.Unsolicited.Add(1)
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

// contextKind returns KindDeadline or KindCancelled for a context that has ended.
func contextKind(ctx context.Context) Kind {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return KindDeadline
	}
	return KindCancelled
}
