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
func (x *run) reject(c figlifecycle.Cause) *Reply {
	return x.replyTo(&figlifecycle.Result{Cause: c, ID: x.ID, Outcome: figlifecycle.NotRun})
}

// refuse ends the request for a cause and returns its answer: a server's own
// failure if there is one, else an error of the router.
func (x *run) refuse(c figlifecycle.Cause) *Reply {
	if x.last != nil && x.ctx.Err() == nil {
		return x.answer(x.last)
	}
	if ended, ok := x.contextCause(); ok {
		c.Reason = ended
	}
	x.life.End(c)
	r := x.finish(0)
	return x.replyTo(r)
}

// contextCause returns why the request's context ended, if it has.
func (x *run) contextCause() (figlifecycle.Reason, bool) {
	switch {
	case x.ctx.Err() == nil:
		return 0, false
	case x.Clock.Now().Before(x.until):
		return figlifecycle.CallerGone, true
	default:
		return figlifecycle.Deadline, true
	}
}

// finish waits for the releases and reports the request once. status is that of a
// server's answer, 0 if there is none.
func (x *run) finish(status int) *figlifecycle.Result {
	<-x.life.Done()
	r, _ := x.life.Result()
	for _, f := range x.release {
		f()
	}
	x.release = nil
	if status == 0 {
		status = StatusOf(&r)
	}
	x.report(&r, status)
	return &r
}

// replyTo turns a result into the router's own answer.
func (x *run) replyTo(r *figlifecycle.Result) *Reply {
	if x.life == nil {
		x.report(r, StatusOf(r))
	}
	reply := &Reply{
		Status: StatusOf(r),
		Header: []figsend.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:   r.JSON(),
	}
	if reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests {
		reply.RetryAfter = max(r.RetryAfter, 0)
		if reply.RetryAfter == 0 && r.Reason != figlifecycle.Deadline {
			reply.RetryAfter = fullWait
		}
	}
	return reply
}

// StatusOf returns the HTTP status for a result. 503 and 429 promise that the
// request has not run and never will; they stand only where that is known. 502 and
// 504 promise nothing.
func StatusOf(r *figlifecycle.Result) int {
	switch r.Reason {
	case figlifecycle.OverBudget, figlifecycle.BadRequest, figlifecycle.Unauthorized, figlifecycle.NotFound, figlifecycle.TooLarge:
		return r.Status()
	case figlifecycle.Done:
		return http.StatusOK
	}
	switch {
	case r.Outcome == figlifecycle.NotRun:
		return http.StatusServiceUnavailable
	case r.Reason == figlifecycle.Deadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

// answer relays a server's whole answer.
func (x *run) answer(a *figsend.Answer) *Reply {
	if !x.life.FirstByte() {
		return x.refuse(figlifecycle.CauseOf(figlifecycle.Internal, errEnded))
	}
	x.life.End(figlifecycle.Cause{Reason: figlifecycle.Done})
	x.finish(a.Status)
	return &Reply{Status: a.Status, Header: x.outward(a.Header), Body: a.Body}
}

// outward returns the fields of an answer that are for callers.
func (x *run) outward(all []figsend.Header) []figsend.Header {
	kept := make([]figsend.Header, 0, len(all))
	for _, h := range all {
		if !x.Dialect.Internal(lower(h.Name)) {
			kept = append(kept, h)
		}
	}
	return kept
}

// report writes the last line of the request and counts it.
func (x *run) report(r *figlifecycle.Result, status int) {
	now := x.Clock.Now()
	m := figmetric.Request{Outcome: r.Outcome.String(), Reason: r.Reason.String(), Took: now.Sub(x.Arrived)}
	kind, name, account := "", "", ""
	if x.route != nil {
		kind, name = x.route.Kind.String(), x.route.Name
	}
	if x.account != nil {
		account = x.account.Name
	}
	m.Account, m.Class = account, kind
	m.PromptTokens, m.PrefillTokens = x.PromptTokens, x.prefilled
	if !x.firstAt.IsZero() {
		m.FirstToken = x.firstAt.Sub(x.Arrived)
	}
	if x.events > 1 {
		m.BetweenTokens = x.lastAt.Sub(x.firstAt) / time.Duration(x.events-1)
	}
	x.Ended(m)
	version, age := uint64(0), time.Duration(0)
	if x.view.Table != nil {
		version, age = x.view.Table.Version, now.Sub(x.view.ReadAt)
	}
	klog.InfoS("request ended", "requestId", x.ID, "outcome", r.Outcome.String(), "reason", r.Reason.String(),
		"status", status, "kind", kind, "route", name, "account", account, "pool", x.pool, "sends", x.sends,
		"ran", len(x.ran), "took", m.Took, "firstEvent", m.FirstToken, "events", x.events, "patience", x.Patience,
		"promptTokens", x.PromptTokens, "outputTokens", x.OutputTokens,
		"retryAfter", r.RetryAfter, "version", version, "viewAge", age, "err", r.Err)
}
