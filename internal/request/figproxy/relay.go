package figproxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// relay reads a stream's events one by one on the goroutine of the caller's
// connection, so that an event goes out as it comes and a slow caller holds back
// only its own stream.
type relay struct {
	run *run
	*opened

	rest  []byte
	last  []byte
	ended error
}

// Read gives whole events. It returns io.EOF only after a proved end.
func (r *relay) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.ended != nil {
			return 0, r.ended
		}
		r.ended = r.next()
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// next waits for the next event, on another server if this one fails.
func (r *relay) next() error {
	x := r.run
	for {
		e, err := r.Next(x.ctx, r.stall())
		switch {
		case err == nil && !follows(r.last, e.ID):
			err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errOrder, "stream", r.server.Name)}
		case err == nil:
			r.rest = e.Raw
			r.last = append(r.last[:0], e.ID...)
			x.count(r.opened)
			return nil
		case errors.Is(err, io.EOF):
			x.settle(r.attempt, r.word, nil)
			x.life.End(figlifecycle.Cause{Reason: figlifecycle.Done})
			x.finish(http.StatusOK)
			return io.EOF
		}
		r.opened.Close()
		x.settle(r.attempt, r.word, err)
		if !r.resume(err) {
			return r.cut(err)
		}
		if len(r.rest) > 0 {
			return nil
		}
	}
}

// follows says that an event with id comes after the one called last. Ids are
// whole numbers that grow; events without one are taken as they come.
func follows(last, id []byte) bool {
	if len(last) == 0 || len(id) == 0 {
		return true
	}
	a, errA := strconv.ParseInt(string(last), 10, 64)
	b, errB := strconv.ParseInt(string(id), 10, 64)
	return errA != nil || errB != nil || b > a
}

// stall is the longest pause between events.
func (r *relay) stall() time.Duration {
	x := r.run
	left := x.until.Sub(x.Clock.Now())
	if x.route.Kind == figroute.ResumableStream && len(x.ran)+1 < x.route.Servers {
		return min(left, stallLimit)
	}
	return left
}

// resume goes on at another server after the last event, if the route allows it.
func (r *relay) resume(err error) bool {
	x := r.run
	for x.route.Kind == figroute.ResumableStream && len(r.last) > 0 && x.again(r.server, err) {
		var o *opened
		var s *figcatalogue.Server
		o, s, err = x.open(string(r.last), true)
		switch {
		case err == nil && o.Answer != nil:
			return false
		case err == nil && !follows(r.last, o.id):
			o.Close()
			x.settle(o.attempt, o.word, &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errOrder, "resume", s.Name)})
			return false
		case err == nil:
			klog.InfoS("stream resumed", "requestId", x.ID, "from", r.server.Name, "at", s.Name, "after", string(r.last))
			r.opened = o
			r.rest = o.first
			r.last = o.id
			x.count(o)
			return true
		case s == nil:
			return false
		}
	}
	return false
}

// cut ends a stream that can't be completed; its error breaks the connection, so
// that the answer can't be taken for a whole one.
func (r *relay) cut(err error) error {
	x := r.run
	c := figlifecycle.CauseOf(figlifecycle.StreamCut, err)
	if reason, ok := x.contextCause(); ok {
		c.Reason = reason
	}
	x.life.End(c)
	x.finish(http.StatusOK)
	return err
}

// Close ends the request if the stream hasn't ended, as when the caller has left.
func (r *relay) Close() error {
	if r.ended != nil {
		return nil
	}
	r.ended = ErrCallerLeft
	r.opened.Close()
	r.run.settle(r.attempt, r.word, &figsend.Failure{Kind: figsend.KindCancelled, Err: ErrCallerLeft})
	r.run.life.End(figlifecycle.CauseOf(figlifecycle.CallerGone, ErrCallerLeft))
	r.run.finish(http.StatusOK)
	return nil
}
