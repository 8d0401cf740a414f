package figproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
)

const (
	// replacementInterval is the time between two searches for a server that replaces a silent one.
	replacementInterval = 250 * time.Millisecond
	// maxOverlap is the time after which a silent server is given up because its replacement has the request as well.
	// Two servers may work on a request for 400 ms; the rest is for a process that runs late. Servers refuse requests
	// within a few milliseconds.
	maxOverlap = 150 * time.Millisecond
)

// watchPhase says which send of a watch the answer comes from.
type watchPhase uint8

const (
	// watchPending means that it isn't decided: the watched send goes on, and no replacement has accepted the request.
	watchPending watchPhase = iota
	// watchEnded means that it is the watched send, or the next one if that has failed. The replacement isn't used.
	watchEnded
	// watchReplaced means that it is the replacement.
	watchReplaced
)

// silenceWatch watches one send to a server that may fall silent. A silent server isn't a failed one: once it has been
// silent for a while, the request is sent to another server as well, and the watched send goes on until that one has
// accepted the request or both have had it for maxOverlap.
type silenceWatch struct {
	server *figcatalogue.Server
	// outer is the watch whose replacement the watched send is; nil if it isn't one.
	outer *silenceWatch
	// after is the id of the last event that the caller has. resume says that it has a part of the answer.
	after  string
	resume bool
	// giveUp ends the watched send.
	giveUp    func()
	stopTimer func() bool

	mu    sync.Mutex
	phase watchPhase
	// gaveUp says that the watched send was given up.
	gaveUp bool
	// sending says that a replacement has the request, or has ended it with the result that decides.
	sending bool
	// known is what is known from the sends that the search has made; nil if it has made none.
	known *sendHistory
	// cancel ends the search and its send, and done is closed when both have ended. They are nil before the search.
	cancel      context.CancelCauseFunc
	done        chan struct{}
	stopOverlap func() bool
	// result is the result of the last send to a replacement if it decides. It may be read when done is closed.
	result replacementResult
}

// watchSilence looks for another server if s says nothing within timeout, which may take the request over after the
// event with the id after. giveUp ends the send to s. It returns nil, on which all methods may be called, if there is
// no timeout (0) or the request has been sent too often. Exactly one of answered, goesOn and failed must be called when
// the server has said something or the send has ended.
func (x *exchange) watchSilence(
	s *figcatalogue.Server, timeout time.Duration, after string, resume bool, giveUp func(),
) *silenceWatch {
	if timeout <= 0 || x.sends >= maxSends {
		return nil
	}
	if x.replaces != nil { // no third server while the first one may have the request
		timeout = max(timeout, 2*maxOverlap)
	}
	w := &silenceWatch{server: s, outer: x.replaces, after: after, resume: resume, giveUp: giveUp}
	w.stopTimer = x.Timer.After(timeout, func() { w.search(x) })
	return w
}

// answered ends the watch because the send has the complete answer. It is used even if the send was given up.
func (w *silenceWatch) answered(x *exchange) {
	if w != nil {
		w.stopTimer()
		w.end(x)
	}
}

// goesOn ends the watch because the server has said something. It returns false if the send was given up before:
// x.replacement is then the watch.
func (w *silenceWatch) goesOn(x *exchange) bool {
	if w == nil {
		return true
	}
	w.stopTimer()
	return w.endUnlessReplaced(x, false)
}

// failed ends the watch because the send has failed or was given up. If a replacement has the request, x.replacement is
// then the watch.
func (w *silenceWatch) failed(x *exchange) {
	if w != nil {
		w.stopTimer()
		w.endUnlessReplaced(x, true)
	}
}

// endUnlessReplaced ends the watch and returns true, unless the watched send was given up, or has failed while a
// replacement has the request.
func (w *silenceWatch) endUnlessReplaced(x *exchange, failed bool) bool {
	w.mu.Lock()
	if w.phase == watchPending {
		w.phase = watchEnded
		if failed && w.sending {
			w.phase = watchReplaced
		}
	}
	ended, gaveUp := w.phase == watchEnded, w.gaveUp
	w.mu.Unlock()
	if ended {
		w.end(x)
		return true
	}
	if gaveUp {
		x.leftSilent = w.server.Lifetime()
	}
	x.replacement = w
	return false
}

// end ends the search and its send, and tells x what is known from them.
func (w *silenceWatch) end(x *exchange) {
	w.mu.Lock()
	w.phase = watchEnded
	if w.cancel != nil {
		w.cancel(errNotNeeded)
	}
	if w.sending {
		klog.InfoS("the replacement isn't needed", "requestId", x.ID, "server", w.server.Name)
	}
	if w.known != nil {
		x.adopt(w.known)
		x.stopAvoiding(w.server.Lifetime())
	}
	unused := w.result
	w.mu.Unlock()
	if unused.exchange != nil {
		<-w.done
		unused.discard()
	}
}

// adopt takes over what another exchange of the request, which began as a copy of this one, knows from its sends.
func (x *exchange) adopt(h *sendHistory) {
	serverError := x.serverError
	x.sendHistory = *h
	if x.serverError == nil {
		x.serverError = serverError
	}
}

// search sends the request to other servers until one has accepted it or the watch has ended.
func (w *silenceWatch) search(of *exchange) {
	x := w.begin(of)
	if x == nil {
		return
	}
	defer close(w.done)
	klog.InfoS("server is silent; looking for another one", "requestId", x.ID, "server", w.server.Name, "resume", w.resume)
	for w.replaceOnce(x) && x.Timer.Sleep(x.ctx, replacementInterval) == nil {
	}
}

// begin returns a copy of the exchange, which the search changes while the request goes on; nil if the watch has
// ended.
func (w *silenceWatch) begin(of *exchange) *exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase != watchPending {
		return nil
	}
	x := *of
	x.ctx, w.cancel = context.WithCancelCause(of.ctx)
	w.done = make(chan struct{})
	x.placement, x.replacement, x.replaces, x.leftSilent = nil, nil, w, ""
	x.sendHistory = of.copyHistory()
	x.recordRan(w.server)
	x.avoid = append(x.avoid, w.server.Lifetime())
	x.cleanups = []func(){func() { w.cancel(nil) }}
	return &x
}

// copyHistory returns a copy that shares no memory that changes.
func (h *sendHistory) copyHistory() sendHistory {
	c := *h
	c.avoid, c.ranOn = slices.Clone(h.avoid), slices.Clone(h.ranOn)
	return c
}

// replaceOnce sends the request to another server if one has a place for it and the budget a retry. It returns false if
// the search is over.
func (w *silenceWatch) replaceOnce(x *exchange) bool {
	if finding, _ := x.Quarantine.Find(x.SharedParts); finding != nil {
		return false
	}
	if !x.Retries.Available(x.Clock.Now(), x.pool) {
		return true
	}
	defer x.releasePlacement()
	s, err := x.reserve(w.resume)
	if err != nil || x.checkReachable(s) != nil {
		return true
	}
	if x.view = x.View(); !x.stillUsable(s) || !w.beginSend(x, s) {
		return true
	}
	r := replacementResult{exchange: x, server: s}
	if x.route.Kind.Streams() {
		r.opened, r.err = x.openStreamAt(s, w.after, w.resume)
	} else {
		r.answer, r.err = x.sendWhole(s)
	}
	return w.record(r)
}

// reserve asks for a place at a server, which becomes x.placement.
func (x *exchange) reserve(resume bool) (*figcatalogue.Server, error) {
	if x.route.Kind.Streams() {
		return x.reserveDecode(resume)
	}
	return x.reservePlain()
}

// beginSend takes the retry for a send to s. It returns false if there is none or the watch has ended.
func (w *silenceWatch) beginSend(x *exchange, s *figcatalogue.Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase != watchPending || !x.Retries.Take(x.Clock.Now(), x.pool) {
		return false
	}
	w.sending = true
	known := x.copyHistory()
	known.sends++
	known.recordRan(s)
	w.known = &known
	return true
}

// startOverlap gives the watched send up after maxOverlap, because x now sends the request to a replacement. If the
// watched send is itself that of a replacement, the send that it replaces is given up at once.
func (w *silenceWatch) startOverlap(x *exchange) {
	if w == nil {
		return
	}
	w.outer.endNow()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endOverlap()
	w.stopOverlap = x.Timer.After(maxOverlap, w.endNow)
}

// endNow gives the watched send up if a replacement has the request and nothing is decided.
func (w *silenceWatch) endNow() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sending && w.phase == watchPending {
		w.replace()
	}
}

// endOverlap stops the timer of startOverlap. w.mu must be held.
func (w *silenceWatch) endOverlap() {
	if w.stopOverlap != nil {
		w.stopOverlap()
	}
}

// replace gives the watched send up. w.mu must be held.
func (w *silenceWatch) replace() {
	w.phase, w.gaveUp = watchReplaced, true
	w.giveUp()
}

// record takes the result of a send to a replacement. It returns true if the search goes on.
func (w *silenceWatch) record(r replacementResult) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endOverlap()
	switch {
	case w.phase == watchEnded:
		r.discard()
		return false
	case w.phase == watchReplaced:
		w.result = r
		return false
	case r.isAccepted(w.resume):
		w.result = r
		w.replace()
		return false
	}
	searchOn := r.exchange.recordFailedReplacement(&r, w.resume)
	w.sending = false
	known := r.exchange.copyHistory()
	w.known = &known
	return searchOn
}
