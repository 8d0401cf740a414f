package figproxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// firstEventTimeoutTargets is how long a stream that may be resumed waits for its first
	// event before another server is tried, in targets; see tryTimeoutTargets.
	firstEventTimeoutTargets = 2
	// resumableStallTimeout is the pause after which a stream that may be resumed goes on at
	// another server. Callers give up after 2 s at the least.
	resumableStallTimeout = time.Second
	// prefillTimeout bounds a prefill apart; after it a decode server computes the
	// prompt itself. The longest prompts of the sites take 200 ms on a free server.
	prefillTimeout = 600 * time.Millisecond
)

var errEventOrder = errors.New("the events don't continue those that the caller has")

// openedStream is a stream whose first event has come.
type openedStream struct {
	*attempt
	*figsend.Stream

	metadata Word
	first    []byte
	id       []byte
}

// serveStream serves a model request.
func (x *exchange) serveStream() *Reply {
	x.Retries.RecordRequest(x.Clock.Now(), x.pool)
	for {
		opened, s, err := x.openStream(x.After, false)
		switch {
		case err == nil && opened.Answer != nil:
			if reply := x.relayWholeAnswer(opened, s); reply != nil {
				return reply
			}
		case err == nil:
			return x.startRelay(opened)
		case s == nil:
			return x.refuse(x.noServerCause(err))
		case !x.takeRetry(s, err):
			return x.refuse(x.failedSendCause(err))
		}
	}
}

// relayWholeAnswer relays an answer that is no stream, or returns nil to try again.
func (x *exchange) relayWholeAnswer(opened *openedStream, s *figcatalogue.Server) *Reply {
	answer := opened.Answer
	if answer.Status >= http.StatusInternalServerError && x.route.Kind == figroute.ResumableStream {
		x.recordRan(s)
		x.serverError = answer
		if x.takeRetry(s, &figsend.Failure{Kind: figsend.KindStatus}) {
			return nil
		}
	}
	return x.relayAnswer(answer)
}

// openStream chooses servers and starts the stream after the event called after. It
// returns when the first event has come. The server is nil if none could be chosen.
func (x *exchange) openStream(after string, resume bool) (*openedStream, *figcatalogue.Server, error) {
	s, err := x.reserveDecode(resume)
	if err != nil {
		return nil, nil, err
	}
	defer x.releaseReservation()
	metadata := Mark{After: after}
	var prefillServer *figcatalogue.Server
	if !resume {
		if err := x.checkReachable(s); err != nil {
			return nil, s, err
		}
		metadata.Result, prefillServer = x.prefill(s)
	}
	if metadata.Result != nil {
		// The prefill took its time; the server may have been dropped meanwhile.
		if x.view = x.View(); !x.stillUsable(s) {
			return nil, s, &figsend.Failure{Ran: figsend.NotRun, Kind: figsend.KindBusy, Err: figerror.New("place", s.Name, "the server is leaving")}
		}
	}
	opened, err := x.startStream(s, metadata, resume)
	if metadata.Result != nil && figsend.KindOf(err) == figsend.KindRefused && !x.answerMetadata(nil, err).Moved && x.ctx.Err() == nil && x.Retries.Take(x.Clock.Now(), x.pool) {
		opened, err = x.retryWithoutPrefill(s, prefillServer, metadata)
	}
	return opened, s, err
}

// retryWithoutPrefill asks s once more, to compute the prompt itself: it refused either
// for want of room or because the result of p was gone, and doesn't say which. If it
// takes the request now, it was the result.
func (x *exchange) retryWithoutPrefill(s, prefillServer *figcatalogue.Server, metadata Mark) (*openedStream, error) {
	metadata.Result = nil
	opened, err := x.startStream(s, metadata, false)
	if err == nil {
		klog.InfoS("prefill result was gone", "requestId", x.ID, "server", s.Name, "prefill", prefillServer.Name)
		x.Picker.Begin(x.Clock.Now(), x.view, prefillServer, 0).End(x.Clock.Now(), figbalancer.Result{Failed: true})
	}
	return opened, err
}

func (x *exchange) stillUsable(s *figcatalogue.Server) bool {
	current, ok := x.view.Find(s.Pool, s.Lifetime())
	return ok && (x.view.Usable(current) || x.view.LastResort(current, x.Clock.Now()))
}

// startStream sends the request to s and waits for the first event.
func (x *exchange) startStream(s *figcatalogue.Server, metadata Mark, resume bool) (*openedStream, error) {
	a, err := x.beginSend(s, x.PromptTokens+x.outputTokens(), true, resume)
	x.releaseReservation()
	if err != nil {
		return nil, err
	}
	opened := &openedStream{attempt: a}
	// The context outlives the first event; only the timer is for that.
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.cleanups = append(x.cleanups, func() { cancel(nil) })
	if timeout := x.firstEventTimeout(); timeout > 0 {
		defer x.Timer.After(timeout, func() { cancel(errTryTimeout) })()
	}
	stream, err := x.Sender.Stream(ctx, x.sendCall(s, metadata))
	if err != nil {
		err = x.markTryTimeout(ctx, err)
		x.finishSend(a, x.answerMetadata(nil, err), err)
		return nil, err
	}
	opened.Stream = stream
	opened.metadata = x.Dialect.Word(stream.Status, getter(stream.Header))
	if opened.metadata.Loaded {
		a.use.Loaded(x.Clock.Now(), opened.metadata.Running, opened.metadata.Waiting)
	}
	if stream.Answer != nil {
		err = x.checkGenuine(opened)
		x.finishSend(a, opened.metadata, err)
		return opened, err
	}
	if !opened.metadata.Genuine || stream.Status != http.StatusOK {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotGenuine, "stream", s.Name)}
	} else {
		err = x.markTryTimeout(ctx, x.readFirstEvent(ctx, opened))
	}
	if err != nil {
		stream.Close()
		x.finishSend(a, opened.metadata, err)
		return nil, err
	}
	return opened, nil
}

// checkGenuine accepts an answer that is no stream only if it is the server's own
// failure: a success must be a stream.
func (x *exchange) checkGenuine(opened *openedStream) error {
	if opened.metadata.Genuine {
		return nil
	}
	return &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotGenuine, "answer", opened.server.Name)}
}

func getter(header []figsend.Header) Fields {
	a := figsend.Answer{Header: header}
	return a.Get
}

// firstEventTimeout bounds the wait for the first event; 0 means that only the request's own
// limit does.
func (x *exchange) firstEventTimeout() time.Duration {
	if x.route.Kind != figroute.ResumableStream || len(x.ranOn)+1 >= x.route.Servers {
		return 0
	}
	return firstEventTimeoutTargets * x.route.Target
}

// readFirstEvent waits for the first event.
func (x *exchange) readFirstEvent(ctx context.Context, opened *openedStream) error {
	event, err := opened.Next(ctx, x.answerDeadline.Sub(x.Clock.Now()))
	if errors.Is(err, io.EOF) {
		return &figsend.Failure{Kind: figsend.KindCut, Err: figerror.New("stream", opened.server.Name, "the stream has no event")}
	}
	if err != nil {
		return err
	}
	opened.first = bytes.Clone(event.Raw)
	opened.id = bytes.Clone(event.ID)
	return nil
}

// prefill has a prefill server near s compute the prompt, if s is better spared
// that, and returns the result and that server. It returns nil if s is to compute it
// itself, also after a failure.
func (x *exchange) prefill(s *figcatalogue.Server) (*PrefillResult, *figcatalogue.Server) {
	now := x.Clock.Now()
	if s.Role != figview.Decode || x.PromptTokens == 0 || x.prefillSends > 0 || x.Isolated(now) && !x.Picker.Reported(now, s) {
		return nil, nil
	}
	p, err := x.pickServer(s.DataCentre, x.PromptTokens, figview.Prefill)
	if err != nil {
		klog.InfoS("no prefill apart", "requestId", x.ID, "reason", err)
		return nil, nil
	}
	decodeHeld, prefillHeld := x.Picker.HeldAt(now, s), x.Picker.HeldAt(now, p)
	if !figbalancer.Apart(x.view.Table.Pool(x.pool).Engine, x.PromptTokens, decodeHeld, prefillHeld) {
		return nil, nil
	}
	x.prefillSends++
	a, err := x.beginSend(p, x.PromptTokens, false, false)
	if err != nil {
		return nil, nil
	}
	ctx, cancel := x.withTimeout(prefillTimeout)
	defer cancel()
	answer, err := x.Sender.Do(ctx, x.sendCall(p, Mark{Stage: PrefillOnly}))
	err = x.markTryTimeout(ctx, err)
	metadata := x.answerMetadata(answer, err)
	var result *PrefillResult
	if err == nil {
		result, err = x.readPrefillResult(p, answer)
	}
	x.finishSend(a, metadata, err)
	switch {
	case err == nil:
		x.prefilledTokens += x.PromptTokens
	case figsend.RanOf(err) != figsend.NotRun || figsend.KindOf(err) == figsend.KindRefused:
		// It arrived there and counts like any other send beyond the first.
		x.Retries.Spend(x.Clock.Now(), x.pool)
	}
	return result, p
}

// checkReachable makes sure that s can be connected to before a prefill server works for it.
func (x *exchange) checkReachable(s *figcatalogue.Server) error {
	err := x.Sender.Reach(x.ctx, s.Server)
	if err == nil {
		return nil
	}
	now := x.Clock.Now()
	x.Picker.Begin(now, x.view, s, 0).End(now, figbalancer.Result{Unreachable: x.ctx.Err() == nil})
	klog.InfoS("server not reached", "requestId", x.ID, "server", s.Name, "err", err)
	return err
}

func (x *exchange) readPrefillResult(p *figcatalogue.Server, answer *figsend.Answer) (*PrefillResult, error) {
	if answer.Status != http.StatusOK {
		return nil, &figsend.Failure{Kind: figsend.KindStatus, Err: figerror.Newf("prefill", p.Name, "status %d", answer.Status)}
	}
	r, err := x.Dialect.PrefillResult(p.Address, answer.Body)
	if err != nil {
		return nil, &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(err, "prefill", p.Name)}
	}
	return r, nil
}

// startRelay begins the answer with the first event.
func (x *exchange) startRelay(opened *openedStream) *Reply {
	if !x.lifecycle.FirstByte() {
		opened.Close()
		x.finishSend(opened.attempt, opened.metadata, &figsend.Failure{Kind: figsend.KindCancelled, Err: errRequestEnded})
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errRequestEnded))
	}
	x.lifecycle.Advance(figlifecycle.Decoding)
	reply := &Reply{Status: opened.Status, Header: x.callerHeader(opened.Header)}
	reply.Stream = &streamRelay{exchange: x, openedStream: opened, unread: opened.first, lastEventID: opened.id}
	x.recordEvent(opened)
	return reply
}

// recordEvent records an event of o.
func (x *exchange) recordEvent(opened *openedStream) {
	x.lastEventAt = x.Clock.Now()
	if x.events == 0 {
		x.firstEventAt = x.lastEventAt
	}
	x.events++
	opened.use.Grow(x.eventTokens())
}

// eventTokens returns how many tokens one event of the pool's engines carries.
func (x *exchange) eventTokens() int64 {
	if e := x.view.Table.Pool(x.pool).Engine; e != nil {
		return max(1, e.EventTokens)
	}
	return 1
}

// outputTokens returns how many tokens of the answer have come.
func (x *exchange) outputTokens() int64 { return x.events * x.eventTokens() }
