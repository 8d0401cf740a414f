package figproxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// streamRelay is the Stream of a reply. It reads the server's events one at a time on the
// goroutine of the caller's connection, so that each event is forwarded as it arrives and a
// slow caller delays only its own stream. If a server fails, it resumes the stream on another
// one where the route allows that.
type streamRelay struct {
	exchange *exchange
	*openedStream

	// unread is the part of the current event that Read hasn't returned yet.
	unread []byte
	// lastEventID is the id of the last event with an id that was read from a server.
	lastEventID []byte
	// endsWithoutID says that the last event had no id, so that the stream can't be resumed after it.
	endsWithoutID bool
	// endErr is the error with which the stream ended; nil before that.
	endErr error
}

// Read copies event data to p, from one event per call. It returns io.EOF only after the
// server completed the stream, never after a lost connection.
func (r *streamRelay) Read(p []byte) (int, error) {
	for len(r.unread) == 0 {
		if r.endErr != nil {
			return 0, r.endErr
		}
		r.endErr = r.next()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// next reads the next event into r.unread. If the server fails, it resumes the stream on
// another server. It returns io.EOF at the end of the stream.
func (r *streamRelay) next() error {
	x := r.exchange
	for {
		now := x.Clock.Now()
		r.steps.next(now)
		watch := x.watchSilence(r.server, r.stallTimeout(), string(r.lastEventID), true, r.GiveUp)
		event, err := r.Next(x.ctx, x.answerDeadline.Sub(now))
		if err == nil && !follows(r.lastEventID, event.ID) {
			err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errEventOrder, "stream", r.server.Name)}
		}
		switch {
		case errors.Is(err, io.EOF):
			watch.answered(x)
		case err != nil:
			watch.failed(x)
		case !watch.goesOn(x):
			err = r.givenUpFailure()
		}
		switch {
		case err == nil:
			r.unread = event.Raw
			r.endsWithoutID = len(event.ID) == 0
			if !r.endsWithoutID {
				r.lastEventID = append(r.lastEventID[:0], event.ID...)
			}
			x.recordEvent(r.openedStream)
			return nil
		case errors.Is(err, io.EOF):
			x.finishSend(r.attempt, r.metadata, nil)
			x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
			x.finish(http.StatusOK)
			return io.EOF
		}
		r.openedStream.Close()
		x.finishSend(r.attempt, r.metadata, err)
		if !r.resume(err) {
			return r.abort(err)
		}
		if len(r.unread) > 0 {
			return nil
		}
	}
}

// follows says whether the event with this id may come after the event with the id last. Ids
// are increasing integers. Missing ids and ids that are not integers are always accepted.
func follows(last, id []byte) bool {
	if len(last) == 0 || len(id) == 0 {
		return true
	}
	a, errA := strconv.ParseInt(string(last), 10, 64)
	b, errB := strconv.ParseInt(string(id), 10, 64)
	return errA != nil || errB != nil || b > a
}

// stallTimeout returns the time without an event after which another server is looked for, or 0 if
// the stream can't be resumed.
func (r *streamRelay) stallTimeout() time.Duration {
	x := r.exchange
	if r.resumable() && !x.isLastServer(r.server) {
		return resumableStallTimeout
	}
	return 0
}

// resumable says whether another server can go on after the last event.
func (r *streamRelay) resumable() bool {
	return r.exchange.route.Kind == figroute.ResumableStream && len(r.lastEventID) > 0 && !r.endsWithoutID
}

// resume continues the stream on another server after the last event. It returns false if the
// route, the retry budget or the servers don't allow it.
func (r *streamRelay) resume(err error) bool {
	x := r.exchange
	failed := r.server
	for r.resumable() && x.takeRetry(failed, err) {
		opened, s, openErr := x.openStream(string(r.lastEventID), true)
		failed, err = s, openErr
		switch {
		case err == nil && opened.Answer != nil:
			x.recordRan(s)
			err = &figsend.Failure{Kind: figsend.KindStatus}
		case err == nil:
			klog.InfoS("stream resumed on another server", "requestId", x.ID, "from", r.server.Name,
				"at", s.Name, "after", string(r.lastEventID))
			r.openedStream = opened
			r.unread = opened.first
			r.lastEventID = opened.id
			x.recordEvent(opened)
			return true
		case s == nil:
			return false
		}
	}
	return false
}

// abort ends the request because its stream can't be completed, and returns err. The error of
// Read makes the caller's connection break, so that the caller doesn't take the answer for
// complete.
func (r *streamRelay) abort(err error) error {
	x := r.exchange
	cause := figlifecycle.CauseOf(figlifecycle.StreamCut, err)
	if reason, ok := x.contextCause(); ok {
		cause.Reason = reason
	}
	x.lifecycle.End(cause)
	x.finish(http.StatusOK)
	return err
}

// Close ends the request if the stream hasn't ended, which means that the caller closed the
// connection.
func (r *streamRelay) Close() error {
	if r.endErr != nil {
		return nil
	}
	r.endErr = ErrCallerLeft
	r.openedStream.Close()
	r.exchange.finishSend(r.attempt, r.metadata, &figsend.Failure{Kind: figsend.KindCancelled, Err: ErrCallerLeft})
	r.exchange.lifecycle.End(figlifecycle.CauseOf(figlifecycle.CallerGone, ErrCallerLeft))
	r.exchange.finish(http.StatusOK)
	return nil
}
