package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// readService reads the list and the limits from the configuration service.
func (n *node) readService() {
	w := n.sim
	if w.serviceDown || n.serviceUnreachable || w.partitioned[n.name] || w.happens(w.network.lossRate) {
		return
	}
	asked := n.localTime()
	w.schedule(w.delay(), nil, func() {
		view, limits := w.view, w.limits
		w.schedule(w.delay(), n, func() {
			n.adoptView(view)
			n.declarations = limits
			if n.view == view && asked.After(n.confirmedAt) {
				n.confirmedAt = asked
			}
		})
	})
}

// adoptView adopts a list that is newer than the node's own.
func (n *node) adoptView(v *figview.View) {
	if v == nil || (n.view != nil && v.Version <= n.view.Version) {
		return
	}
	n.view, n.confirmedAt = v, time.Time{}
	n.newestVersion = max(n.newestVersion, v.Version)
}

// heartbeat exchanges views with all other nodes on the list.
func (n *node) heartbeat() {
	if n.view == nil {
		return
	}
	for _, m := range n.view.Members {
		if m.Name != n.name {
			n.heartbeatTo(m.Name)
		}
	}
}

func (n *node) heartbeatTo(to string) {
	mine, incarnation, asked := n.view, n.incarnation, n.localTime()
	var theirs peerView
	var view *figview.View
	var age time.Duration
	n.sim.callNode(n, to, func(p *node) {
		p.newestVersion = max(p.newestVersion, mine.Version)
		p.recordPeerView(n.name, peerView{incarnation: incarnation, version: mine.Version})
		if p.view != nil {
			view = p.view
			theirs = peerView{incarnation: p.incarnation, version: view.Version, answeredAt: asked}
			age = p.localTime().Sub(p.confirmedAt)
		}
	}, func(ok bool) {
		if !ok || view == nil {
			return
		}
		n.adoptView(view)
		n.newestVersion = max(n.newestVersion, view.Version)
		n.recordPeerView(to, theirs)
		if confirmed := asked.Add(-age); view.Version == n.view.Version && confirmed.After(n.confirmedAt) {
			n.confirmedAt = confirmed
		}
	})
}

// recordPeerView records data received from a peer, unless newer data of that peer is known.
func (n *node) recordPeerView(name string, h peerView) {
	old := n.peerViews[name]
	if h.incarnation > old.incarnation || (h.incarnation == old.incarnation && h.version >= old.version) {
		if old.answeredAt.After(h.answeredAt) {
			h.answeredAt = old.answeredAt
		}
		n.peerViews[name] = h
	}
}

// viewIsFresh implements Options.Fresh.
func (n *node) viewIsFresh() bool {
	if n.view == nil || n.newestVersion > n.view.Version {
		return false
	}
	if n.localTime().Sub(n.confirmedAt) < maxViewAge {
		return true
	}
	return n.sim.majority && n.hasMajority()
}

// hasMajority says whether this node and peers that recently answered with the same view are a majority
// of the view's members.
func (n *node) hasMajority() bool {
	count := 1
	for _, m := range n.view.Members {
		h := n.peerViews[m.Name]
		if m.Name != n.name && h.version == n.view.Version && n.localTime().Sub(h.answeredAt) < maxViewAge {
			count++
		}
	}
	_, listed := n.view.Find(n.name)
	return listed && count > len(n.view.Members)/2
}

// acked implements Options.AllAcked.
func (n *node) acked(version uint64) bool {
	for _, m := range n.view.Members {
		if m.Name != n.name && n.peerViews[m.Name].version < version {
			return false
		}
	}
	return true
}

// syncView does the same as Budget.syncView.
func (n *node) syncView() (time.Time, bool) {
	now, fresh := n.localTime(), n.viewIsFresh()
	n.updateView(n.view, now, fresh)
	return now, fresh
}

// runTick does the same as Budget.Tick.
func (n *node) runTick() {
	now, _ := n.syncView()
	if n.view == nil {
		return
	}
	n.recordAcks(n.localTime, n.acked)
	n.send(n.tick(now))
}

// send sends messages and handles their replies as Budget does.
func (n *node) send(due []*peerMessage) {
	for _, b := range due {
		n.sim.messages++
		var r *Reply
		n.sim.callNode(n, b.member.Name, func(p *node) {
			now, fresh := p.syncView()
			r = p.handleRequest(b.payload, p.incarnation, now, fresh)
		}, func(ok bool) {
			if !ok {
				r = nil
				n.sim.failures++
			}
			now, _ := n.syncView()
			n.handleReply(b, r, now)
			n.send(n.nextMessages(b.peer, now))
		})
	}
}

// outcome is the result of a reservation.
type outcome struct {
	charged *charge
	refusal *Refusal
}

// reserve makes a reservation as Budget.Reserve does and passes the result to done. It gives up
// without a result once wanted returns false.
func (n *node) reserve(account string, tokens int64, wanted func() bool, done func(outcome)) {
	a, refusal := n.newAttempt(account, tokens)
	if refusal != nil {
		done(outcome{refusal: refusal})
		return
	}
	var try func()
	try = func() {
		if !wanted() {
			return
		}
		now, fresh := n.syncView()
		charged, request, refusal := n.step(a, now, fresh)
		if request == nil {
			done(outcome{charged, refusal})
			return
		}
		p := n.queueFor(request.peer.Name, now)
		p.requests = append(p.requests, &pendingRequest{
			attempt: a, request: request, done: func() { n.sim.schedule(0, n, try) },
		})
		n.send(n.nextMessages(p, now))
	}
	try()
}
