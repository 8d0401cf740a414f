package figproxy

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// maxSends is the number of sends after which a request is not retried. Refused sends count;
// prefills don't.
const maxSends = 4

var (
	errRequestEnded       = errors.New("the request has ended")
	errNotFromApplication = errors.New("the answer was not written by the server's application")
	errTryTimeout         = errors.New("no answer within the timeout of one attempt")
	errNotNeeded          = errors.New("the answer of another server is used")
)

func lower(s string) string { return strings.ToLower(s) }

// placementReason returns the reason for an error of the placer: QueueFull if
// servers exist but had no room, NoServer otherwise.
func placementReason(err error) figlifecycle.Reason {
	var noServer *figbalancer.NoServerError
	if errors.As(err, &noServer) && noServer.NoCapacity {
		return figlifecycle.QueueFull
	}
	return figlifecycle.NoServer
}

// noServerCause returns the cause for ending a request for which no server could be reserved.
func (x *exchange) noServerCause(err error) figlifecycle.Cause {
	cause := figlifecycle.Cause{
		Reason:     placementReason(err),
		Err:        figerror.Wrap(err, "place", x.pool),
		RetryAfter: minOutageRetryAfter,
	}
	var noServer *figbalancer.NoServerError
	if errors.As(err, &noServer) && noServer.RetryAfter > 0 {
		cause.RetryAfter = noServer.RetryAfter
	}
	return cause
}

// sendCall returns the request as it is sent to s, with metadata in the header.
func (x *exchange) sendCall(s *figcatalogue.Server, metadata SendMetadata) *figsend.Call {
	metadata.Server = s.Name
	metadata.Priority = x.enginePriority()
	metadata.Remaining = x.callerDeadline.Sub(x.Clock.Now())
	if x.account != nil {
		metadata.Account = x.account.Name
	}
	return &figsend.Call{
		ID:           x.ID,
		Host:         x.Host,
		Server:       s.Server,
		Method:       x.Method,
		Path:         x.Target,
		Header:       x.Header,
		RouterHeader: x.Dialect.SendHeader(metadata),
		Body:         x.Body,
		Secret:       x.Secret,
		KeepAlive:    true,
		Deadline:     x.answerDeadline,
	}
}

// attempt is one send in progress.
type attempt struct {
	server      *figcatalogue.Server
	send        *figlifecycle.Send
	startedAt   time.Time
	reservation *figbalancer.Reservation
	// placement is the placement that ends with the send; nil if there is none. isPrefill says that only
	// its prefill part does.
	placement *figcoordinator.Placement
	isPrefill bool
	// firstEventAt is when the first event arrived, reportedAt when its progress was reported last; zero before that.
	firstEventAt, reportedAt time.Time
	// steps measures the time between events.
	steps stepTimer
}

// takePlacement makes the placement of the request end with the send, unless that failed.
func (a *attempt) takePlacement(x *exchange, err error) {
	if err == nil {
		a.placement, x.placement = x.placement, nil
	}
}

// end ends the send in the load of its server, and its placement. outputTokens is the length of a
// complete answer, or 0.
func (a *attempt) end(now time.Time, r figbalancer.Result, outputTokens int64) {
	a.reservation.End(now, r)
	switch {
	case a.placement == nil:
	case a.isPrefill:
		a.placement.EndPrefill(r, false)
	default:
		a.placement.End(r, false, outputTokens)
	}
}

// beginSend records and logs the start of a send to s that needs tokens of memory.
// runsRequest is false for a prefill: it computes only the prompt, so that it doesn't count
// as a run of the request, and the send needs no permission of the lifecycle. It fails if a part of the
// prompt has been quarantined since the request was accepted.
func (x *exchange) beginSend(s *figcatalogue.Server, tokens int64, runsRequest, resume bool) (*attempt, error) {
	if err := x.checkQuarantineAtSend(); err != nil {
		return nil, &figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindInvalid, Err: err}
	}
	a := &attempt{server: s, startedAt: x.Clock.Now()}
	if runsRequest {
		newSend := x.lifecycle.Send
		if resume {
			newSend = x.lifecycle.Resume
		}
		var err error
		if a.send, err = newSend(); err != nil {
			return nil, err
		}
	}
	if runsRequest {
		x.sends++
		x.replaces.startOverlap(x)
	}
	a.reservation = x.Picker.Begin(a.startedAt, x.view, s, tokens)
	held := x.Picker.TotalLoad(a.startedAt, s)
	klog.InfoS("sending", "requestId", x.ID, "server", s.Name, "role", s.Role.String(), "send", x.sends,
		"resume", resume, "running", held.Requests, "heldTokens", held.Tokens, "tokens", tokens,
		"viewAge", a.startedAt.Sub(x.view.UpdatedAt), "version", x.view.Table.Version, "left", x.callerDeadline.Sub(a.startedAt))
	return a, nil
}

// finishSend records and logs the result of a send. metadata is that of the answer; it is the
// zero value if there was none.
func (x *exchange) finishSend(a *attempt, metadata AnswerMetadata, err error) {
	now := x.Clock.Now()
	x.lastSendDuration = now.Sub(a.startedAt)
	result := figbalancer.Result{
		Running: metadata.Running, Waiting: metadata.Waiting, Slots: metadata.Slots, HasLoad: metadata.HasLoad,
		ApplicationError: metadata.ApplicationError, Leaving: metadata.Leaving,
		Pause: metadata.Pause,
	}
	a.addTimes(now, &result, metadata, err)
	if a.firstEventAt.IsZero() { // a stream has reported the limit when it began
		result.Answered, result.Limited, result.RateLimit = metadata != AnswerMetadata{}, metadata.Limited, metadata.RateLimit
	}
	x.Count("sends", "result", sendResultLabel(err))
	x.namedLimit = ""
	if metadata.Limited {
		x.namedLimit = strconv.FormatFloat(metadata.RateLimit, 'f', -1, 64)
	}
	requestEnded := x.ctx.Err() != nil && !errors.Is(err, errTryTimeout)
	x.recordEvidence(a, now, metadata, requestEnded, err)
	if err == nil {
		// The load of a decode server is recorded when its stream begins; see startStream.
		result.HasLoad = result.HasLoad && a.server.Role != figview.Decode
		a.end(now, result, x.outputTokens())
		if a.send != nil {
			a.send.OK()
		}
		return
	}
	kind := figsend.KindOf(err)
	result.Unreachable = (kind == figsend.KindConnect || metadata.WrongServer) && !requestEnded
	result.WrongServer = metadata.WrongServer
	result.NoCapacity = kind == figsend.KindRefused && !metadata.WrongServer
	result.Failed = !requestEnded && kind != figsend.KindRefused && kind != figsend.KindInvalid &&
		kind != figsend.KindBusy && !x.staleConnection(err)
	x.lastResult = result
	a.end(now, result, 0)
	if a.send != nil {
		a.send.Fail(err)
	}
	if figsend.OutcomeOf(err) != figsend.NotRun && a.send != nil {
		x.recordRan(a.server)
	}
	notNeeded := errors.Is(context.Cause(x.ctx), errNotNeeded)
	klog.InfoS("send failed", "requestId", x.ID, "server", a.server.Name, "ran", figsend.OutcomeOf(err).String(),
		"kind", kind.String(), "took", now.Sub(a.startedAt), "events", x.events, "callerLeft", requestEnded && !notNeeded,
		"sharedParts", x.loggedParts(), "err", err)
}

// sendResultLabel returns the metrics label for the result of a send.
func sendResultLabel(err error) string {
	if err == nil {
		return "answered"
	}
	return figsend.KindOf(err).String()
}

// staleConnection says that the last send failed because the server had already closed the
// reused connection, which doesn't mean that the server failed. A connection that breaks
// later than staleConnectionWindow broke while the server was processing the request.
func (x *exchange) staleConnection(err error) bool {
	var failure *figsend.Failure
	return errors.As(err, &failure) && failure.Reused && failure.Kind == figsend.KindIncomplete &&
		x.lastSendDuration < staleConnectionWindow
}

// staleConnectionWindow is the longest time in which a request finds out that the server had
// closed the connection before the request arrived: a few round trips between data centres.
const staleConnectionWindow = 10 * time.Millisecond

// recordRan records that the request may have run on s.
func (h *sendHistory) recordRan(s *figcatalogue.Server) {
	if lifetime := s.Lifetime(); !slices.Contains(h.ranOn, lifetime) {
		h.ranOn = append(h.ranOn, lifetime)
	}
}

// isLastServer says that the route allows no other server after a send to s that may run.
func (x *exchange) isLastServer(s *figcatalogue.Server) bool {
	servers := len(x.ranOn)
	if !slices.Contains(x.ranOn, s.Lifetime()) {
		servers++
	}
	return servers >= x.route.MaxServers
}

// takeRetry says whether the request may be sent again after s failed it with err, and takes
// the retry from the pool's budget if so. s isn't picked for the request again, unless err
// comes from a stale connection. A retry takes nothing from the budget if no server received
// the request.
func (x *exchange) takeRetry(s *figcatalogue.Server, err error) bool {
	if reason := x.takeRetryReason(s, err); reason != "" {
		klog.InfoS("request is not sent again", "requestId", x.ID, "server", s.Name, "reason", reason,
			"kind", figsend.KindOf(err).String(), "sends", x.sends, "ran", len(x.ranOn), "events", x.events)
		return false
	}
	return true
}

// takeRetryReason returns why the request may not be sent again, or "" if it may; see takeRetry.
func (x *exchange) takeRetryReason(s *figcatalogue.Server, err error) string {
	notRun := figsend.OutcomeOf(err) == figsend.NotRun
	switch {
	case x.ctx.Err() != nil:
		return "ended"
	case x.replacement != nil:
		x.avoid = append(x.avoid, s.Lifetime())
		return "" // sent already
	case x.sends >= maxSends:
		return "sends"
	case isQuarantined(err):
		return "quarantined"
	case errors.Is(err, errDrainingLate):
		return "draining"
	case !notRun && !x.route.Kind.Retryable():
		return "kind"
	case !notRun && len(x.ranOn) >= max(1, x.route.MaxServers):
		return "servers"
	}
	if !x.staleConnection(err) {
		x.avoid = append(x.avoid, s.Lifetime())
	}
	if x.returnToSilent(notRun) {
		return ""
	}
	if notRun && figsend.KindOf(err) != figsend.KindRefused {
		return "" // no server received the request
	}
	if !x.Retries.Take(x.Clock.Now(), x.pool) {
		return "budget"
	}
	return ""
}

// failedSendCause returns the cause for ending a request whose last send failed with err.
func (x *exchange) failedSendCause(err error) figlifecycle.Cause {
	if isQuarantined(err) {
		return quarantineCause(err)
	}
	if errors.Is(err, errDrainingLate) {
		return drainCause(err)
	}
	cause := figlifecycle.CauseOf(figlifecycle.ServerFailed, err)
	if figsend.KindOf(err) == figsend.KindDeadline {
		cause.Reason = figlifecycle.Deadline // the send can hit the deadline before x.ctx ends
	}
	if figsend.OutcomeOf(err) == figsend.NotRun {
		cause.RetryAfter = fullRetryAfter
	}
	return cause
}

// withTimeout returns a context that ends with the request or after timeout. A timeout of 0
// means none.
func (x *exchange) withTimeout(timeout time.Duration) (context.Context, context.CancelFunc) {
	if timeout <= 0 {
		return x.ctx, func() {}
	}
	return context.WithTimeoutCause(x.ctx, timeout, errTryTimeout)
}

// markTryTimeout returns err as an errTryTimeout of kind KindTimeout if the timeout of the
// attempt's context ctx caused it while the request itself hadn't ended. It returns any other
// err unchanged.
func (x *exchange) markTryTimeout(ctx context.Context, err error) error {
	if err == nil || x.ctx.Err() != nil || ctx.Err() == nil {
		return err
	}
	return &figsend.Failure{Outcome: figsend.OutcomeOf(err), Kind: figsend.KindTimeout, Err: errors.Mark(err, errTryTimeout)}
}
