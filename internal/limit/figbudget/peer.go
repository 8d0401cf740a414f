package figbudget

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// messagesInFlight bounds the unanswered messages to one peer. Further asks
	// wait and share the next message.
	messagesInFlight = 2
	// peerKept is how long a peer without traffic is remembered.
	peerKept = time.Minute
	// refundsKept bounds the refunds that wait for one peer.
	refundsKept = 1024
	// spentKept bounds the reports of spent leases that wait for a message.
	spentKept = 256
)

// call is an ask that waits for its answer.
type call struct {
	attempt *attempt
	ask     *ask
	// done is called once the answer is taken in or given up.
	done func()
}

// peer is what waits to be sent to one instance.
type peer struct {
	name        string
	incarnation uint64
	sequence    uint64
	inFlight    int
	used        time.Time
	calls       []*call
	reports     []Report
	refunds     []Refund
	pulls       []pull
	// spent holds reports that go with the next message and cause none.
	spent []Report
}

// batch is one message under way.
type batch struct {
	peer   *peer
	member figview.Member
	calls  []*call
	pulls  []pull
	query  *Request
	asked  time.Time
}

func (g *ledger) peer(name string, now time.Time) *peer {
	p := g.peers[name]
	if p == nil {
		p = &peer{name: name, used: now}
		g.peers[name] = p
	}
	return p
}

// waiting says whether a message is due. Refunds for an unknown incarnation wait
// for one message to tell it.
func (p *peer) waiting() bool {
	if len(p.calls)+len(p.reports)+len(p.pulls) > 0 {
		return true
	}
	return len(p.refunds) > 0 && (p.incarnation != 0 || p.inFlight == 0)
}

// addSpent keeps reports of spent leases until the next message.
func (p *peer) addSpent(reports []Report) {
	p.spent = append(p.spent, reports...)
	if over := len(p.spent) - spentKept; over > 0 {
		p.spent = slices.Delete(p.spent, 0, over)
	}
}

// addRefund keeps a refund until the next message or tick, so that it costs no
// message of its own while the peer is asked often. Those of one slot are added up.
func (p *peer) addRefund(r Refund) {
	for i := range p.refunds {
		w := &p.refunds[i]
		if w.Account == r.Account && w.Slot == r.Slot {
			w.Tokens += r.Tokens
			return
		}
	}
	if len(p.refunds) < refundsKept {
		p.refunds = append(p.refunds, r)
	}
}

// due returns the messages that can be sent to p now. What waits for a peer that
// is no longer listed is given up.
func (g *ledger) due(p *peer, now time.Time) []*batch {
	var due []*batch
	for p.inFlight < messagesInFlight && p.waiting() {
		b := g.pack(p, now)
		m, listed := g.current().view.Find(p.name)
		if !listed {
			p.refunds = nil
			g.giveUp(b, now)
			continue
		}
		b.member = m
		p.inFlight++
		due = append(due, b)
	}
	return due
}

// pack takes all that waits into one message. Reports and refunds are valid for
// one incarnation of the peer only: while it isn't known, reports are dropped
// and refunds wait for the answer that tells it.
func (g *ledger) pack(p *peer, now time.Time) *batch {
	p.used = now
	b := &batch{peer: p, calls: p.calls, pulls: p.pulls, asked: now}
	b.query = &Request{From: g.self, Hello: p.incarnation == 0}
	for _, c := range p.calls {
		b.query.Asks = append(b.query.Asks, c.ask.Ask)
	}
	for _, w := range p.pulls {
		b.query.Pulls = append(b.query.Pulls, Pull{
			Account: w.account, Slot: w.index, Version: g.current().view.Version,
		})
	}
	if p.incarnation != 0 {
		b.query.Reports, b.query.Refunds = append(p.reports, p.spent...), p.refunds
		p.refunds = nil
	}
	if b.query.settles() {
		p.sequence++
		b.query.Incarnation, b.query.Sequence, b.query.Peer = g.incarnation, p.sequence, p.incarnation
	}
	p.calls, p.pulls, p.reports, p.spent = nil, nil, nil, nil
	return b
}

// takeIn takes in the answer to a message; a nil answer means that none came.
func (g *ledger) takeIn(b *batch, r *Reply, now time.Time) {
	b.peer.inFlight--
	if r == nil || len(r.Grants) != len(b.calls) || len(r.Gives) != len(b.pulls) {
		if b.peer.incarnation == 0 {
			b.peer.refunds = nil
		}
		g.giveUp(b, now)
		return
	}
	if r.Incarnation != 0 {
		b.peer.incarnation = r.Incarnation
	}
	for i, c := range b.calls {
		g.granted(c.attempt, c.ask, r.Grants[i], b.asked, now)
		c.done()
	}
	for i, w := range b.pulls {
		g.accept(w, r.Gives[i], now)
	}
}

func (g *ledger) giveUp(b *batch, now time.Time) {
	for _, c := range b.calls {
		g.failed(c.attempt, c.ask, now)
		c.done()
	}
}

// forgetPeers drops peers that nothing was said to for long.
func (g *ledger) forgetPeers(now time.Time) {
	for name, p := range g.peers {
		if p.inFlight == 0 && !p.waiting() && now.Sub(p.used) > peerKept {
			delete(g.peers, name)
		}
	}
}
