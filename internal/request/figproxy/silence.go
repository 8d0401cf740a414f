package figproxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/place/figcoordinator"
)

// replacementInterval is the time between two searches for a server that replaces a silent one.
const replacementInterval = 250 * time.Millisecond

// silenceWatch watches one send to a server that may fall silent. A silent server isn't a failed one, so that the
// send is given up only once another server has a place for the request.
type silenceWatch struct {
	exchange *exchange
	server   *figcatalogue.Server
	// resume says that the caller already has a part of the answer.
	resume bool
	// giveUp ends the send.
	giveUp func()

	mu          sync.Mutex
	stopped     bool
	cancel      context.CancelFunc
	replacement *figcoordinator.Placement
}

// watchSilence looks for another server if s says nothing within timeout, and calls giveUp when it has one. A timeout of
// 0 means never. Call stop once the send has ended or s has said something: x.replacement is then the place at the
// other server if giveUp was called.
func (x *exchange) watchSilence(s *figcatalogue.Server, timeout time.Duration, resume bool, giveUp func()) (stop func()) {
	if timeout <= 0 || x.sends >= maxSends {
		return func() {}
	}
	w := &silenceWatch{exchange: x, server: s, resume: resume, giveUp: giveUp}
	stopTimer := x.Timer.After(timeout, w.replace)
	return func() {
		stopTimer()
		if placement := w.stop(); placement != nil {
			x.releaseReplacement()
			x.replacement = placement
		}
	}
}

// replace searches until it has a replacement or the watch is stopped.
func (w *silenceWatch) replace() {
	x := w.begin()
	if x == nil {
		return
	}
	klog.InfoS("server is silent; looking for another one", "requestId", x.ID, "server", w.server.Name, "resume", w.resume)
	for x.ctx.Err() == nil && !w.replaceOnce(x) {
		if x.Timer.Sleep(x.ctx, replacementInterval) != nil {
			return
		}
	}
}

// begin returns a copy of the exchange, which the search changes while the request goes on; nil if the watch has been
// stopped.
func (w *silenceWatch) begin() *exchange {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return nil
	}
	x := *w.exchange
	x.ctx, w.cancel = context.WithCancel(x.ctx)
	x.placement, x.replacement = nil, nil
	x.avoid = append(slices.Clone(x.avoid), w.server.Lifetime())
	return &x
}

// replaceOnce looks for a replacement once. It returns true if the search is over.
func (w *silenceWatch) replaceOnce(x *exchange) bool {
	if !x.Retries.Available(x.Clock.Now(), x.pool) {
		return false
	}
	defer x.releasePlacement()
	s, err := x.reserve(w.resume)
	if err != nil || x.checkReachable(s) != nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return true
	}
	if !x.Retries.Take(x.Clock.Now(), x.pool) {
		return false
	}
	w.replacement, x.placement = x.placement, nil
	w.giveUp()
	return true
}

// stop ends the search. It returns the replacement for which the send was given up, or nil.
func (w *silenceWatch) stop() *figcoordinator.Placement {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.cancel != nil {
		w.cancel()
	}
	return w.replacement
}

// reserve asks for a place at a server, which becomes x.placement.
func (x *exchange) reserve(resume bool) (*figcatalogue.Server, error) {
	if x.route.Kind.Streams() {
		return x.reserveDecode(resume)
	}
	return x.reservePlain()
}

// takeReplacement makes the replacement the request's placement and returns its server; nil if there is none, or if
// the server has become unusable since.
func (x *exchange) takeReplacement() *figcatalogue.Server {
	if x.replacement == nil {
		return nil
	}
	x.view = x.View()
	x.placement, x.replacement = x.replacement, nil
	if s := x.placement.Decode; x.stillUsable(s) {
		return s
	}
	x.releasePlacement()
	return nil
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
	x.avoid = slices.DeleteFunc(x.avoid, func(lifetime string) bool { return lifetime == silent })
	x.Retries.Spend(x.Clock.Now(), x.pool)
	return true
}

// releaseReplacement ends a replacement to which nothing was sent.
func (x *exchange) releaseReplacement() {
	if s := x.takeReplacement(); s != nil {
		x.releasePlacement()
	}
}
