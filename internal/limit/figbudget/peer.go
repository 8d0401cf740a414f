package figbudget

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
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
)

// call is an ask that waits for its answer.
type call struct {
	attempt *attempt
	ask     *ask
	done    chan struct{}
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
}

// batch is one message under way.
type batch struct {
	member figview.Member
	listed bool
	calls  []*call
	pulls  []pull
	query  *Request
	asked  time.Time
}

// queue adds something for a peer and sends it as soon as there is room for a
// message.
func (b *Budget) queue(name string, add func(*peer)) {
	p := b.peer(name)
	add(p)
	b.flush(p)
}

func (b *Budget) peer(name string) *peer {
	p := b.peers[name]
	if p == nil {
		p = &peer{name: name, used: b.opts.Clock.Now()}
		b.peers[name] = p
	}
	return p
}

// flush sends what waits for p.
func (b *Budget) flush(p *peer) {
	for p.inFlight < messagesInFlight && p.waiting() {
		m := b.pack(p)
		p.inFlight++
		go b.send(p, m)
	}
}

// waiting says whether a message is due. Refunds for an unknown incarnation wait
// for one message to tell it.
func (p *peer) waiting() bool {
	if len(p.calls)+len(p.reports)+len(p.pulls) > 0 {
		return true
	}
	return len(p.refunds) > 0 && (p.incarnation != 0 || p.inFlight == 0)
}

// pack takes all that waits into one message. Reports and refunds are valid for
// one incarnation of the peer only: while it isn't known, reports are dropped
// and refunds wait for the answer that tells it.
func (b *Budget) pack(p *peer) *batch {
	now := b.opts.Clock.Now()
	p.sequence++
	p.used = now
	m := &batch{calls: p.calls, pulls: p.pulls, asked: now}
	m.member, m.listed = b.ledger.current().view.Find(p.name)
	m.query = &Request{
		From:        b.opts.Self,
		Incarnation: b.opts.Incarnation,
		Sequence:    p.sequence,
		Peer:        p.incarnation,
	}
	for _, c := range p.calls {
		m.query.Asks = append(m.query.Asks, c.ask.Ask)
	}
	for _, w := range p.pulls {
		m.query.Pulls = append(m.query.Pulls, Pull{
			Account: w.account, Slot: w.index, Version: b.ledger.current().view.Version,
		})
	}
	if p.incarnation != 0 {
		m.query.Reports, m.query.Refunds = p.reports, p.refunds
		p.refunds = nil
	}
	p.calls, p.pulls, p.reports = nil, nil, nil
	return m
}

// send carries one message and takes in the answer.
func (b *Budget) send(p *peer, m *batch) {
	r, err := b.ask(m)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.opts.Clock.Now()
	b.sync(now)
	p.inFlight--
	if err != nil || len(r.Grants) != len(m.calls) || len(r.Gives) != len(m.pulls) {
		b.fail(p, m, now)
	} else {
		b.takeIn(p, m, r, now)
	}
	for _, c := range m.calls {
		close(c.done)
	}
	b.flush(p)
}

func (b *Budget) ask(m *batch) (*Reply, error) {
	if !m.listed {
		return nil, figerror.New("budget", m.query.From, "peer is no longer listed")
	}
	ctx, cancel := context.WithTimeout(b.ctx, askTimeout)
	defer cancel()
	return b.opts.Ask(ctx, m.member, m.query)
}

func (b *Budget) takeIn(p *peer, m *batch, r *Reply, now time.Time) {
	p.incarnation = r.Incarnation
	for i, c := range m.calls {
		b.ledger.granted(c.attempt, c.ask, r.Grants[i], m.asked, now)
	}
	for i, w := range m.pulls {
		b.ledger.accept(w, r.Gives[i], now)
	}
}

// fail drops what the message carried, and the refunds that waited for its answer.
func (b *Budget) fail(p *peer, m *batch, now time.Time) {
	for _, c := range m.calls {
		b.ledger.failed(c.attempt, c.ask, now)
	}
	if p.incarnation == 0 {
		p.refunds = nil
	}
}

// forgetPeers drops peers that nothing was said to for long.
func (b *Budget) forgetPeers() {
	now := b.opts.Clock.Now()
	for name, p := range b.peers {
		if p.inFlight == 0 && !p.waiting() && now.Sub(p.used) > peerKept {
			delete(b.peers, name)
		}
	}
}
