package figproxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/edge/figmetric"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// reject returns the error answer to a request that is refused before its lifecycle has
// been created.
func (x *exchange) reject(cause figlifecycle.Cause) *Reply {
	return x.errorReply(&figlifecycle.Result{Cause: cause, ID: x.ID, Outcome: figlifecycle.NotRun})
}

// refuse ends the request without a successful answer. It returns the error answer of a
// server if one was kept and the request's context hasn't ended, and otherwise an error of
// the router. If the context has ended, the reason for that replaces the one in cause.
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

// contextCause returns why the request's context has ended. It returns false if the context
// hasn't ended.
func (x *exchange) contextCause() (figlifecycle.Reason, bool) {
	switch {
	case x.ctx.Err() == nil:
		return 0, false
	case errors.Is(context.Cause(x.ctx), ErrCallerLeft):
		return figlifecycle.CallerGone, true
	case !x.Clock.Now().Before(x.answerDeadline):
		return figlifecycle.Deadline, true
	default:
		return figlifecycle.Draining, true
	}
}

// finish waits until the lifecycle's releases have run, runs the exchange's own cleanups and
// reports the request. It is called once, after the lifecycle has ended. status is the
// status of the server's answer, or 0 if the router answers.
func (x *exchange) finish(status int) *figlifecycle.Result {
	<-x.lifecycle.Done()
	result, _ := x.lifecycle.Result()
	x.cancelReplacement()
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

// errorReply returns the router's error answer for result. It also reports a request without
// a lifecycle, for which finish isn't called.
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

// StatusOf returns the HTTP status for a result. 503 and 429 promise that the request has
// not run and never will, so they are returned only if that is known. 502 and 504 leave
// open whether it ran.
func StatusOf(result *figlifecycle.Result) int {
	switch result.Reason {
	case figlifecycle.OverBudget, figlifecycle.BadRequest, figlifecycle.Unauthorized,
		figlifecycle.NotFound, figlifecycle.TooLarge:
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

// relayAnswer ends the request as done and returns a server's answer that was read as a
// whole. If the lifecycle has already ended, the request is refused.
func (x *exchange) relayAnswer(answer *figsend.Answer) *Reply {
	if !x.lifecycle.ClaimAnswer() {
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errRequestEnded))
	}
	x.lifecycle.End(figlifecycle.Cause{Reason: figlifecycle.Done})
	x.finish(answer.Status)
	return &Reply{Status: answer.Status, Header: x.callerHeader(answer.Header), Body: answer.Body}
}

// callerHeader returns the fields of a server's header that are forwarded to the caller.
func (x *exchange) callerHeader(header []figsend.Header) []figsend.Header {
	kept := make([]figsend.Header, 0, len(header))
	for _, h := range header {
		if !x.Dialect.StripsFromAnswer(lower(h.Name)) {
			kept = append(kept, h)
		}
	}
	return kept
}

// maxLoggedParts is the number of prompt parts in one log line.
const maxLoggedParts = 8

// loggedParts returns the first shared parts of the prompt for a log line.
func (x *exchange) loggedParts() string {
	return strings.Join(x.SharedParts[:min(len(x.SharedParts), maxLoggedParts)], ",")
}

// report logs the end of the request and records its metrics.
func (x *exchange) report(result *figlifecycle.Result, status int) {
	now := x.Clock.Now()
	metrics := figmetric.Request{
		Outcome:  result.Outcome.String(),
		Reason:   result.Reason.String(),
		Duration: now.Sub(x.Arrived),
	}
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
	x.OnRequestEnd(metrics)
	version, age := uint64(0), time.Duration(0)
	if x.view.Table != nil {
		version, age = x.view.Table.Version, now.Sub(x.view.UpdatedAt)
	}
	klog.InfoS("request ended", "requestId", x.ID, "outcome", result.Outcome.String(), "reason", result.Reason.String(),
		"status", status, "kind", kind, "route", route, "account", account, "pool", x.pool, "sends", x.sends,
		"ran", len(x.ranOn), "took", metrics.Duration, "firstEvent", metrics.FirstToken, "events", x.events,
		"patience", x.CallerTimeout, "promptTokens", x.PromptTokens, "outputTokens", x.OutputTokens,
		"sharedParts", x.loggedParts(),
		"namedLimit", x.namedLimit, "retryAfter", result.RetryAfter, "version", version, "viewAge", age, "err", result.Err)
}
