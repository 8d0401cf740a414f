package figbudget

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// messagesInFlight bounds the unanswered messages to one peer. Further asks
	// wait and share the next message.
	maxInFlight = 2
	// peerKept is how long a peer without traffic is remembered.
	peerTTL = time.Minute
	// refundsKept bounds the refunds that wait for one peer.
	maxQueuedRefunds = 1024
	// spentKept bounds the reports of spent leases that wait for a message.
	maxDeferredReports = 256
)

// call is an ask that waits for its answer.
type pendingRequest struct {
	attempt *attempt
	request *peerRequest
	// done is called once the answer is taken in or given up.
	done func()
}

// peer is what waits to be sent to one instance.
type peerQueue struct {
	name        string
	incarnation uint64
	sequence    uint64
	inFlight    int
	lastUsed    time.Time
	requests    []*pendingRequest
	reports     []LeaseReport
	refunds     []Refund
	transfers   []pendingTransfer
	// spent holds reports that go with the next message and cause none.
	deferredReports []LeaseReport
}

// batch is one message under way.
type peerMessage struct {
	peer      *peerQueue
	member    figview.Member
	requests  []*pendingRequest
	transfers []pendingTransfer
	payload   *Request
	sentAt    time.Time
}

func (g *ledger) queueFor(name string, now time.Time) *peerQueue {
	p := g.peers[name]
	if p == nil {
		p = &peerQueue{name: name, lastUsed: now}
		g.peers[name] = p
	}
	return p
}

// waiting says whether a message is due. Refunds for an unknown incarnation wait
// for one message to tell it.
func (p *peerQueue) hasMessage() bool {
	if len(p.requests)+len(p.reports)+len(p.transfers) > 0 {
		return true
	}
	return len(p.refunds) > 0 && (p.incarnation != 0 || p.inFlight == 0)
}

// addSpent keeps reports of spent leases until the next message.
func (p *peerQueue) deferReports(reports []LeaseReport) {
	p.deferredReports = append(p.deferredReports, reports...)
	if over := len(p.deferredReports) - maxDeferredReports; over > 0 {
		p.deferredReports = slices.Delete(p.deferredReports, 0, over)
	}
}

// addRefund keeps a refund until the next message or tick, so that it costs no
// message of its own while the peer is asked often. Those of one slot are added up.
func (p *peerQueue) queueRefund(r Refund) {
	for i := range p.refunds {
		w := &p.refunds[i]
		if w.Account == r.Account && w.Slot == r.Slot {
			w.Tokens += r.Tokens
			return
		}
	}
	if len(p.refunds) < maxQueuedRefunds {
		p.refunds = append(p.refunds, r)
	}
}

// due returns the messages that can be sent to p now. What waits for a peer that
// is no longer listed is given up.
func (g *ledger) nextMessages(p *peerQueue, now time.Time) []*peerMessage {
	var due []*peerMessage
	for p.inFlight < maxInFlight && p.hasMessage() {
		b := g.newMessage(p, now)
		m, listed := g.current().view.Find(p.name)
		if !listed {
			p.refunds = nil
			g.failRequests(b, now)
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
func (g *ledger) newMessage(p *peerQueue, now time.Time) *peerMessage {
	p.lastUsed = now
	b := &peerMessage{peer: p, requests: p.requests, transfers: p.transfers, sentAt: now}
	b.payload = &Request{From: g.self, WantIncarnation: p.incarnation == 0}
	for _, c := range p.requests {
		b.payload.LeaseRequests = append(b.payload.LeaseRequests, c.request.LeaseRequest)
	}
	for _, w := range p.transfers {
		b.payload.TransferRequests = append(b.payload.TransferRequests, TransferRequest{
			Account: w.account, Slot: w.index, ViewVersion: g.current().view.Version,
		})
	}
	if p.incarnation != 0 {
		b.payload.LeaseReports, b.payload.Refunds = append(p.reports, p.deferredReports...), p.refunds
		p.refunds = nil
	}
	if b.payload.mustApplyOnce() {
		p.sequence++
		b.payload.Incarnation, b.payload.Sequence, b.payload.PeerIncarnation = g.incarnation, p.sequence, p.incarnation
	}
	p.requests, p.transfers, p.reports, p.deferredReports = nil, nil, nil, nil
	return b
}

// takeIn takes in the answer to a message; a nil answer means that none came.
func (g *ledger) handleReply(b *peerMessage, r *Reply, now time.Time) {
	b.peer.inFlight--
	if r == nil || len(r.Grants) != len(b.requests) || len(r.TransferReplies) != len(b.transfers) {
		if b.peer.incarnation == 0 {
			b.peer.refunds = nil
		}
		g.failRequests(b, now)
		return
	}
	if r.Incarnation != 0 {
		b.peer.incarnation = r.Incarnation
	}
	for i, c := range b.requests {
		g.applyGrant(c.attempt, c.request, r.Grants[i], b.sentAt, now)
		c.done()
	}
	for i, w := range b.transfers {
		g.acceptTransfer(w, r.TransferReplies[i], now)
	}
}

func (g *ledger) failRequests(b *peerMessage, now time.Time) {
	for _, c := range b.requests {
		g.requestFailed(c.attempt, c.request, now)
		c.done()
	}
}

// forgetPeers drops peers that nothing was said to for long.
func (g *ledger) evictPeers(now time.Time) {
	for name, p := range g.peers {
		if p.inFlight == 0 && !p.hasMessage() && now.Sub(p.lastUsed) > peerTTL {
			delete(g.peers, name)
		}
	}
}
