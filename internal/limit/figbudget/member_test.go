package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// read asks the configuration service for the list and the declarations.
func (n *node) read() {
	w := n.world
	if w.serviceDown || n.cutOff || w.apart[n.name] || w.chance(w.network.lose) {
		return
	}
	asked := n.clock()
	w.at(w.delay(), nil, func() {
		view, limits := w.view, w.limits
		w.at(w.delay(), n, func() {
			n.learn(view)
			n.declared = limits
			if n.known == view && asked.After(n.confirmed) {
				n.confirmed = asked
			}
		})
	})
}

// learn adopts a list that is newer than the node's own.
func (n *node) learn(v *figview.View) {
	if v == nil || (n.known != nil && v.Version <= n.known.Version) {
		return
	}
	n.known, n.confirmed = v, time.Time{}
	n.newest = max(n.newest, v.Version)
}

// beat tells the other nodes what this one has and takes in what they have.
func (n *node) beat() {
	if n.known == nil {
		return
	}
	for _, m := range n.known.Members {
		if m.Name != n.name {
			n.beatOne(m.Name)
		}
	}
}

func (n *node) beatOne(to string) {
	mine, incarnation, asked := n.known, n.incarnation, n.clock()
	var theirs heard
	var view *figview.View
	var age time.Duration
	n.world.call(n, to, func(p *node) {
		p.newest = max(p.newest, mine.Version)
		p.hear(n.name, heard{incarnation: incarnation, version: mine.Version, at: p.clock()})
		if p.known != nil {
			view = p.known
			theirs = heard{incarnation: p.incarnation, version: view.Version, at: asked}
			age = p.clock().Sub(p.confirmed)
		}
	}, func(ok bool) {
		if !ok || view == nil {
			return
		}
		n.learn(view)
		n.newest = max(n.newest, view.Version)
		n.hear(to, theirs)
		if confirmed := asked.Add(-age); view.Version == n.known.Version && confirmed.After(n.confirmed) {
			n.confirmed = confirmed
		}
	})
}

func (n *node) hear(name string, h heard) {
	old := n.heard[name]
	if h.incarnation > old.incarnation || (h.incarnation == old.incarnation && h.version >= old.version) {
		if old.at.After(h.at) {
			h.at = old.at
		}
		n.heard[name] = h
	}
}

// fresh is Options.Fresh.
func (n *node) fresh() bool {
	if n.known == nil || n.newest > n.known.Version {
		return false
	}
	if n.clock().Sub(n.confirmed) < freshness {
		return true
	}
	return n.world.majority && n.hearsMajority()
}

func (n *node) hearsMajority() bool {
	count := 1
	for _, m := range n.known.Members {
		h := n.heard[m.Name]
		if m.Name != n.name && h.version == n.known.Version && n.clock().Sub(h.at) < freshness {
			count++
		}
	}
	_, listed := n.known.Find(n.name)
	return listed && count > len(n.known.Members)/2
}

// acked is Options.AllAcked.
func (n *node) acked(version uint64) bool {
	for _, m := range n.known.Members {
		if m.Name != n.name && n.heard[m.Name].version < version {
			return false
		}
	}
	return true
}

// now does what Budget does before it decides.
func (n *node) sync() (time.Time, bool) {
	now, fresh := n.clock(), n.fresh()
	n.ledger.sync(n.known, now, fresh)
	return now, fresh
}

func (n *node) tickNow() {
	now, _ := n.sync()
	if n.known == nil {
		return
	}
	n.poll(n.clock, n.acked)
	n.send(n.tick(now))
}

// send carries messages as Budget does.
func (n *node) send(due []*batch) {
	for _, b := range due {
		n.world.messages++
		var r *Reply
		n.world.call(n, b.member.Name, func(p *node) {
			now, fresh := p.sync()
			r = p.answer(b.query, p.incarnation, now, fresh)
		}, func(ok bool) {
			if !ok {
				r = nil
				n.world.failures++
			}
			now, _ := n.sync()
			n.takeIn(b, r, now)
			n.send(n.due(b.peer, now))
		})
	}
}

// outcome is how a reservation ended.
type outcome struct {
	taken   *pieces
	refusal *Refusal
}

// reserve makes a reservation as Budget.Reserve does and tells how it ended. It
// goes on while wanted says so, as long as its caller waits.
func (n *node) reserve(account string, tokens int64, wanted func() bool, ended func(outcome)) {
	a, refusal := n.begin(account, tokens)
	if refusal != nil {
		ended(outcome{refusal: refusal})
		return
	}
	var try func()
	try = func() {
		if !wanted() {
			return
		}
		now, fresh := n.sync()
		pieces, q, refusal := n.step(a, now, fresh)
		if q == nil {
			ended(outcome{pieces, refusal})
			return
		}
		p := n.peer(q.peer.Name, now)
		p.calls = append(p.calls, &call{attempt: a, ask: q, done: func() { n.world.at(0, n, try) }})
		n.send(n.due(p, now))
	}
	try()
}
