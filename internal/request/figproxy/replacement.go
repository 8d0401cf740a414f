package figproxy

import (
	"net/http"
	"slices"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// replacementResult is the result of a send to a replacement.
type replacementResult struct {
	// exchange is the copy of the exchange that made the send.
	exchange *exchange
	server   *figcatalogue.Server
	// answer is the answer to a plain request, opened that to a stream.
	answer *figsend.Answer
	opened *openedStream
	err    error
}

// isAccepted says whether the replacement has accepted the request: a stream has its first event then, any other request
// its answer.
func (r *replacementResult) isAccepted(resume bool) bool {
	switch {
	case r.err != nil:
		return false
	case r.opened != nil:
		return r.opened.isUsable(resume)
	default:
		return r.answer.Status < http.StatusInternalServerError
	}
}

// recordFailedReplacement records that a replacement failed the request while the watched send goes on. It returns true
// if the request may be sent to another one.
func (x *exchange) recordFailedReplacement(r *replacementResult, resume bool) bool {
	x.cancelReplacement()
	if r.err == nil {
		x.recordRan(r.server)
	}
	if r.err == nil && !resume {
		x.serverError = r.answer
		if r.opened != nil {
			x.serverError = r.opened.Answer
		}
	}
	if !x.staleConnection(r.err) {
		x.avoid = append(x.avoid, r.server.Lifetime())
	}
	klog.InfoS("replacement failed; waiting for the silent server", "requestId", x.ID, "server", r.server.Name,
		"kind", figsend.KindOf(r.err).String(), "sends", x.sends, "ran", len(x.ranOn))
	return !isQuarantined(r.err) && x.sends < maxSends && len(x.ranOn) < x.route.MaxServers
}

// takeReplacement waits for the result of x.replacement and takes over what its exchange knows.
func (x *exchange) takeReplacement() replacementResult {
	w := x.replacement
	<-w.done
	from := w.result.exchange
	x.replacement, x.view = from.replacement, from.view
	x.adopt(&from.sendHistory)
	if from.leftSilent != "" {
		x.leftSilent = from.leftSilent
	}
	x.cleanups = append(x.cleanups, from.cleanups...)
	return w.result
}

// cancelReplacement ends x.replacement, if there is one, because it isn't needed.
func (x *exchange) cancelReplacement() {
	if w := x.replacement; w != nil {
		x.replacement = nil
		w.end(x)
	}
}

// discard ends a send whose result isn't used.
func (r *replacementResult) discard() {
	x := r.exchange
	if x == nil {
		return
	}
	if r.opened != nil && r.opened.Answer == nil && r.err == nil {
		r.opened.Close()
		x.finishSend(r.opened.attempt, r.opened.metadata, &figsend.Failure{Kind: figsend.KindCancelled, Err: errNotNeeded})
	}
	x.cancelReplacement()
	for _, cleanup := range x.cleanups {
		cleanup()
	}
}

// returnToSilent makes the silent server of the send before the last one available again if the server that replaced
// it didn't run the request, notRun. It returns true if so: the request is then sent once more whatever the budget,
// as it would have been answered without the replacement.
func (x *exchange) returnToSilent(notRun bool) bool {
	silent := x.leftSilent
	x.leftSilent = ""
	if silent == "" || !notRun {
		return false
	}
	x.stopAvoiding(silent)
	x.Retries.Spend(x.Clock.Now(), x.pool)
	return true
}

// stopAvoiding makes a server available to the request again.
func (x *exchange) stopAvoiding(lifetime string) {
	x.avoid = slices.DeleteFunc(x.avoid, func(l string) bool { return l == lifetime })
}
