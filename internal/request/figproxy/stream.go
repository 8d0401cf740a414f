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
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// firstEventTimeoutTargets is the timeout for the first event of a resumable stream, in
	// latency targets of the route. After that time the request is sent to another server if one has a
	// place for it; see tryTimeoutTargets.
	firstEventTimeoutTargets = 2
	// resumableStallTimeout is the time without an event after which a resumable stream is resumed on
	// another server if one has a place for it. Callers wait at least 2 s before they give up.
	resumableStallTimeout = time.Second
	// prefillTimeout is the timeout of a send to a prefill server. After it the decode server
	// computes the prompt itself. The longest prompts take 200 ms on an idle server.
	prefillTimeout = 600 * time.Millisecond
)

var errEventOrder = errors.New("the event id is not higher than that of the last event sent to the caller")

// openedStream is a stream whose first event has been read. If Answer is set, the server sent
// a whole answer instead of a stream.
type openedStream struct {
	*attempt
	*figsend.Stream

	metadata AnswerMetadata
	// first holds the bytes of the first event, which are valid until the next one is read, id its id.
	first []byte
	id    []byte
}

// isUsable says whether the caller can get what s sent: not a whole answer if it already has a part of the stream,
// resume, and no 5xx status as long as another server may do better.
func (s *openedStream) isUsable(resume bool) bool {
	return s.Answer == nil || !resume && s.Answer.Status < http.StatusInternalServerError
}

// givenUpFailure returns the error of a stream whose event came as the stream was given up.
func (s *openedStream) givenUpFailure() error {
	return &figsend.Failure{Kind: figsend.KindStalled, Err: figerror.Wrap(errTryTimeout, "stream", s.server.Name)}
}

// serveStream serves a request whose answer is a stream. It retries as the route's kind and
// the retry budget allow until the first event has been read; after that streamRelay resumes
// the stream if a server fails.
func (x *exchange) serveStream() *Reply {
	x.Retries.RecordRequest(x.Clock.Now(), x.pool)
	for {
		opened, s, err := x.openStream(x.LastEventID, false)
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

// relayWholeAnswer returns the reply for a whole answer that s sent instead of a stream. It
// returns nil if the request is to be sent again, which only a 5xx status on a resumable
// route allows.
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

// openStream reserves a decode server, has a prefill server compute the prompt if that
// helps, and starts the stream after the event with the id after. resume says that the
// caller already has a part of the stream. It returns once the first event has been read. The
// returned server is the decode server, nil if none could be reserved.
func (x *exchange) openStream(after string, resume bool) (*openedStream, *figcatalogue.Server, error) {
	if x.replacement != nil {
		r := x.takeReplacement()
		return r.opened, r.server, r.err
	}
	s, err := x.reserveDecode(resume)
	if err != nil {
		return nil, nil, err
	}
	opened, err := x.openStreamAt(s, after, resume)
	return opened, s, err
}

// openStreamAt is like openStream at s, at which x.placement is.
func (x *exchange) openStreamAt(s *figcatalogue.Server, after string, resume bool) (*openedStream, error) {
	defer x.releasePlacement()
	if err := x.checkDrain(s.Name); err != nil {
		return nil, err
	}
	metadata := SendMetadata{LastEventID: after}
	var prefillServer *figcatalogue.Server
	if !resume {
		if err := x.checkReachable(s); err != nil {
			return nil, err
		}
		metadata.PrefillResult, prefillServer = x.prefill()
	}
	if metadata.PrefillResult != nil {
		// The server may have become unusable while the prefill ran.
		if x.view = x.View(); !x.stillUsable(s) {
			return nil, &figsend.Failure{
				Outcome: figsend.NotRun,
				Kind:    figsend.KindBusy,
				Err:     figerror.New("place", s.Name, "the server became unusable during the prefill"),
			}
		}
	}
	sendsBefore := x.sends
	opened, err := x.startStream(s, metadata, resume)
	if metadata.PrefillResult != nil && x.lacksPrefillResult(err) && x.ctx.Err() == nil && x.Retries.Take(x.Clock.Now(), x.pool) {
		opened, err = x.retryWithoutPrefill(s, prefillServer, metadata)
	}
	if err != nil && x.placement != nil && x.sends > sendsBefore {
		x.placement.End(x.lastResult, false, 0)
	}
	return opened, err
}

// lacksPrefillResult reports whether a send that failed with err may succeed at the same server without a KV cache.
func (x *exchange) lacksPrefillResult(err error) bool {
	m := x.answerMetadata(nil, err)
	return figsend.KindOf(err) == figsend.KindRefused && !m.WrongServer && !m.Limited && !m.Leaving && m.Pause == 0
}

// retryWithoutPrefill sends the request to s again without the KV cache of prefillServer, so
// that s computes the prompt itself. A refusal doesn't say whether s had no room or the KV
// cache was gone. If s accepts the request now, the KV cache was gone, and prefillServer is
// recorded as failed.
func (x *exchange) retryWithoutPrefill(s, prefillServer *figcatalogue.Server, metadata SendMetadata) (*openedStream, error) {
	metadata.PrefillResult = nil
	opened, err := x.startStream(s, metadata, false)
	if err == nil {
		klog.InfoS("prefill server no longer had the KV cache; the decode server computed the prompt",
			"requestId", x.ID, "server", s.Name, "prefill", prefillServer.Name)
		opened.placement.ReportPrefill(figbalancer.Result{Failed: true})
	}
	return opened, err
}

// stillUsable says whether x.view still allows sending to s, which was picked by an older
// view.
func (x *exchange) stillUsable(s *figcatalogue.Server) bool {
	current, ok := x.view.Find(s.Pool, s.Lifetime())
	return ok && (x.view.Usable(current) || x.view.LastResort(current, x.Clock.Now()))
}

// startStream sends the request to s and waits for the first event or a whole answer. If it succeeds,
// the placement ends with the send; otherwise it is left for another send.
func (x *exchange) startStream(s *figcatalogue.Server, metadata SendMetadata, resume bool) (*openedStream, error) {
	a, err := x.beginSend(s, x.PromptTokens+x.outputTokens(), true, resume)
	if err != nil {
		return nil, err
	}
	opened := &openedStream{attempt: a}
	// ctx lasts as long as the stream.
	ctx, cancel := context.WithCancelCause(x.ctx)
	x.cleanups = append(x.cleanups, func() { cancel(nil) })
	watch := x.watchSilence(s, x.firstEventTimeout(s), metadata.LastEventID, resume, func() { cancel(errTryTimeout) })
	stream, err := x.Sender.Stream(ctx, x.sendCall(s, metadata))
	if err != nil {
		watch.failed(x)
		err = x.markTryTimeout(ctx, err)
		x.finishSend(a, x.answerMetadata(nil, err), err)
		return nil, err
	}
	opened.Stream = stream
	opened.metadata = x.Dialect.ReadAnswer(stream.Status, getter(stream.Header))
	if opened.metadata.HasLoad {
		a.reservation.RecordLoad(x.Clock.Now(), opened.metadata.Running, opened.metadata.Waiting)
	}
	x.reportNotices(opened)
	if stream.Answer != nil {
		err = x.checkFromApplication(opened)
		if err == nil && opened.isUsable(resume) {
			watch.answered(x)
		} else {
			watch.failed(x)
		}
		a.takePlacement(x, err)
		x.finishSend(a, opened.metadata, err)
		return opened, err
	}
	if !opened.metadata.FromApplication || stream.Status != http.StatusOK {
		err = &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotFromApplication, "stream", s.Name)}
	} else {
		err = x.markTryTimeout(ctx, x.readFirstEvent(ctx, opened, metadata.LastEventID))
	}
	if err != nil {
		watch.failed(x)
	} else if !watch.goesOn(x) {
		err = opened.givenUpFailure()
	}
	if err != nil {
		stream.Close()
		x.finishSend(a, opened.metadata, err)
		return nil, err
	}
	a.takePlacement(x, nil)
	return opened, nil
}

// reportNotices reports the rate limit that the server names at the beginning of its answer, and whether the server
// leaves, because the end of a stream would be too late.
func (x *exchange) reportNotices(opened *openedStream) {
	m := opened.metadata
	result := figbalancer.Result{Answered: true, Limited: m.Limited, RateLimit: m.RateLimit, Leaving: m.Leaving}
	opened.reservation.RecordNotices(x.Clock.Now(), result)
	if x.placement != nil && (m.Limited || m.Leaving || x.placement.Limited) {
		x.placement.ReportAnswer(result)
	}
}

// checkFromApplication returns an error if the server's application didn't write the whole answer that
// came instead of a stream.
func (x *exchange) checkFromApplication(opened *openedStream) error {
	if opened.metadata.FromApplication {
		return nil
	}
	return &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errNotFromApplication, "answer", opened.server.Name)}
}

// getter returns the lookup of a field in header.
func getter(header []figsend.Header) HeaderLookup {
	a := figsend.Answer{Header: header}
	return a.Get
}

// firstEventTimeout returns the time after which another server is looked for, or 0 if only the request's own
// deadline applies: for streams that can't be resumed, and for the last server allowed.
func (x *exchange) firstEventTimeout(s *figcatalogue.Server) time.Duration {
	if x.route.Kind != figroute.ResumableStream || x.isLastServer(s) {
		return 0
	}
	return firstEventTimeoutTargets * x.route.LatencyTarget
}

// readFirstEvent waits for the first event, which becomes that of opened. It fails if a stream that resumes after the
// event with the id after begins with another event than one of a higher id.
func (x *exchange) readFirstEvent(ctx context.Context, opened *openedStream, after string) error {
	event, err := opened.Next(ctx, x.answerDeadline.Sub(x.Clock.Now()))
	if errors.Is(err, io.EOF) {
		return &figsend.Failure{
			Kind: figsend.KindIncomplete,
			Err:  figerror.New("stream", opened.server.Name, "the stream ended before its first event"),
		}
	}
	if err != nil {
		return err
	}
	resumes := after != "" && x.route.Kind == figroute.ResumableStream
	if resumes && (len(event.ID) == 0 || !follows([]byte(after), event.ID)) {
		return &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(errEventOrder, "resume", opened.server.Name)}
	}
	opened.first = event.Raw
	opened.id = bytes.Clone(event.ID)
	return nil
}

// prefill has the prefill server of the placement compute the prompt, if it has one. It returns the
// result and the prefill server. The result is nil if the decode server has to compute the prompt
// itself, which includes a failed prefill. A request gets at most one send to a prefill server.
func (x *exchange) prefill() (*PrefillResult, *figcatalogue.Server) {
	p := x.placement.Prefill
	if p == nil {
		return nil, nil
	}
	x.prefillSends++
	a, err := x.beginSend(p, x.PromptTokens, false, false)
	if err != nil {
		return nil, nil
	}
	a.placement, a.isPrefill = x.placement, true
	ctx, cancel := x.withTimeout(prefillTimeout)
	defer cancel()
	answer, err := x.Sender.Do(ctx, x.sendCall(p, SendMetadata{Stage: PrefillOnly}))
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
	case figsend.OutcomeOf(err) != figsend.NotRun || figsend.KindOf(err) == figsend.KindRefused:
		// The prefill server received the request, so the send counts as a retry.
		x.Retries.Spend(x.Clock.Now(), x.pool)
	}
	return result, p
}

// checkReachable makes sure that there is a connection to s before a prefill server computes
// a prompt for s. A failed connection is reported to the picker.
func (x *exchange) checkReachable(s *figcatalogue.Server) error {
	err := x.Sender.EnsureConnection(x.ctx, s.Server)
	if err == nil {
		return nil
	}
	now := x.Clock.Now()
	unreachable := figbalancer.Result{Unreachable: x.ctx.Err() == nil}
	x.Picker.Begin(now, x.view, s, 0).End(now, unreachable)
	x.placement.End(unreachable, false, 0)
	klog.InfoS("could not connect to the server", "requestId", x.ID, "server", s.Name, "err", err)
	return err
}

// readPrefillResult reads the answer of the prefill server p.
func (x *exchange) readPrefillResult(p *figcatalogue.Server, answer *figsend.Answer) (*PrefillResult, error) {
	if answer.Status != http.StatusOK {
		return nil, &figsend.Failure{
			Kind: figsend.KindStatus,
			Err:  figerror.Newf("prefill", p.Name, "status %d", answer.Status),
		}
	}
	r, err := x.Dialect.ReadPrefillResult(p.Address, answer.Body)
	if err != nil {
		return nil, &figsend.Failure{Kind: figsend.KindOther, Err: figerror.Wrap(err, "prefill", p.Name)}
	}
	return r, nil
}

// startRelay returns the reply that starts with the first event and relays the stream. If the
// lifecycle has already ended, the request is refused.
func (x *exchange) startRelay(opened *openedStream) *Reply {
	if !x.lifecycle.ClaimAnswer() {
		opened.Close()
		x.finishSend(opened.attempt, opened.metadata,
			&figsend.Failure{Kind: figsend.KindCancelled, Err: errRequestEnded})
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errRequestEnded))
	}
	x.lifecycle.Advance(figlifecycle.Decoding)
	reply := &Reply{Status: opened.Status, Header: x.callerHeader(opened.Header)}
	reply.Stream = &streamRelay{exchange: x, openedStream: opened, unread: opened.first, lastEventID: opened.id}
	x.recordEvent(opened)
	return reply
}

// recordEvent counts an event that was read from opened, and the memory for its tokens.
func (x *exchange) recordEvent(opened *openedStream) {
	x.lastEventAt = x.Clock.Now()
	if x.events == 0 {
		x.firstEventAt = x.lastEventAt
	}
	x.events++
	x.recordProgress(opened.attempt, x.lastEventAt)
	opened.steps.event(x.lastEventAt)
	opened.reservation.AddTokens(x.eventTokens())
}

// eventTokens returns the number of tokens in one event of the pool's engines.
func (x *exchange) eventTokens() int64 {
	if e := x.view.Table.Pool(x.pool).Engine; e != nil {
		return max(1, e.TokensPerEvent)
	}
	return 1
}

// outputTokens returns the number of output tokens received so far.
func (x *exchange) outputTokens() int64 { return x.events * x.eventTokens() }
