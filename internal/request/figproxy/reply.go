package figproxy

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// reject refuses a request that has no life yet.
func (x *exchange) reject(cause figlifecycle.Cause) *Reply {
	return x.errorReply(&figlifecycle.Result{Cause: cause, ID: x.ID, Outcome: figlifecycle.NotRun})
}

// refuse ends the request for a cause and returns its answer: a server's own
// failure if there is one, else an error of the router.
func (x *exchange) refuse(cause figlifecycle.Cause) *Reply {
	if x.serverError != nil && x.ctx.Err() == nil {
		return x.relayAnswer(x.serverError)
	}
	if reason, ok := x.contextCause(); ok {
		cause.Reason = reason
	}
	x.lifecycle.End(cause)
	result := x.finish(0)
	return x.errorReply(result)
}

// contextCause returns why the request's context ended, if it has.
func (x *exchange) contextCause() (figlifecycle.Reason, bool) {
	switch {
	case x.ctx.Err() == nil:
		return 0, false
	case x.Clock.Now().Before(x.answerDeadline):
		return figlifecycle.CallerGone, true
	default:
		return figlifecycle.Deadline, true
	}
}

// finish waits for the releases and reports the request once. status is that of a
// server's answer, 0 if there is none.
func (x *exchange) finish(status int) *figlifecycle.Result {
	<-x.lifecycle.Done()
	result, _ := x.lifecycle.Result()
	for _, cleanup := range x.cleanups {
		cleanup()
	}
	x.cleanups = nil
	if status == 0 {
		status = StatusOf(&result)
	}
	x.report(&result, status)
	return &result
}

// errorReply turns a result into the router's own answer.
func (x *exchange) errorReply(result *figlifecycle.Result) *Reply {
	if x.lifecycle == nil {
		x.report(result, StatusOf(result))
	}
	reply := &Reply{
		Status: StatusOf(result),
		Header: []figsend.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   result.JSON(),
	}
	if reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		reply.RetryAfter = max(result.RetryAfter, 0)
		if reply.RetryAfter == 0 && result.Reason != figlifecycle.Deadline {
			reply.RetryAfter = fullRetryAfter
		}
	}
	return reply
}

// StatusOf returns the HTTP status for a result. 503 and 429 promise that the
// request has not run and never will; they stand only where that is known. 502 and
// 504 promise nothing.
func StatusOf(result *figlifecycle.Result) int {
	switch result.Reason {
	case figlifecycle.OverBudget, figlifecycle.BadRequest, figlifecycle.Unauthorized, figlifecycle.NotFound, figlifecycle.TooLarge:
		return result.Status()
	case figlifecycle.Done:
		return http.StatusOK
	}
	switch {
	case result.Outcome == figlifecycle.NotRun:
		return http.StatusServiceUnavailable
	case result.Reason == figlifecycle.Deadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// relayAnswer relays a server's whole answer.
func (x *exchange) relayAnswer(answer *figsend.Answer) *Reply {
	if !x.lifecycle.FirstByte() {
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errRequestEnded))
	}
	x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
	x.finish(answer.Status)
	return &Reply{Status: answer.Status, Header: x.callerHeader(answer.Header), Body: answer.Body}
}

// callerHeader returns the fields of an answer that are for callers.
func (x *exchange) callerHeader(header []figsend.Header) []figsend.Header {
	kept := make([]figsend.Header, 0, len(header))
	for _, h := range header {
		if !x.Dialect.Internal(lower(h.Name)) {
			kept = append(kept, h)
		}
	}
	return kept
}

// report writes the last line of the request and counts it.
func (x *exchange) report(result *figlifecycle.Result, status int) {
	now := x.Clock.Now()
	metrics := figmetric.Request{Outcome: result.Outcome.String(), Reason: result.Reason.String(), Took: now.Sub(x.Arrived)}
	kind, route, account := "", "", ""
	if x.route != nil {
		kind, route = x.route.Kind.String(), x.route.Name
	}
	if x.account != nil {
		account = x.account.Name
	}
	metrics.Account, metrics.Class = account, kind
	metrics.PromptTokens, metrics.PrefillTokens = x.PromptTokens, x.prefilledTokens
	if !x.firstEventAt.IsZero() {
		metrics.FirstToken = x.firstEventAt.Sub(x.Arrived)
	}
	if x.events > 1 {
		metrics.BetweenTokens = x.lastEventAt.Sub(x.firstEventAt) / time.Duration(x.events-1)
	}
	x.Ended(metrics)
	version, age := uint64(0), time.Duration(0)
	if x.view.Table != nil {
		version, age = x.view.Table.Version, now.Sub(x.view.ReadAt)
	}
	klog.InfoS("request ended", "requestId", x.ID, "outcome", result.Outcome.String(), "reason", result.Reason.String(),
		"status", status, "kind", kind, "route", route, "account", account, "pool", x.pool, "sends", x.sends,
		"ran", len(x.ranOn), "took", metrics.Took, "firstEvent", metrics.FirstToken, "events", x.events, "patience", x.Patience,
		"promptTokens", x.PromptTokens, "outputTokens", x.OutputTokens,
		"retryAfter", result.RetryAfter, "version", version, "viewAge", age, "err", result.Err)
}
