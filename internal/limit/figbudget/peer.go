package figbudget

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// maxInFlight bounds the unanswered messages to one peer. Further requests are queued and sent
	// together in the next message.
	maxInFlight = 2
	// peerTTL is how long the queue of a peer is kept after its last message.
	peerTTL = time.Minute
	// maxQueuedRefunds bounds the queued refunds per peer.
	maxQueuedRefunds = 1024
	// maxDeferredReports bounds the deferred lease reports per peer.
	maxDeferredReports = 256
)

// pendingRequest is a lease request that waits for its answer.
type pendingRequest struct {
	attempt *attempt
	request *peerRequest
	// done is called once the answer has been applied or the request has failed.
	done func()
}

// peerQueue holds what is to be sent to one peer, and the state of the exchange with it.
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
	// deferredReports go with the next message but don't cause one.
	deferredReports []LeaseReport
}

// peerMessage is one message and its context, kept until the reply arrives.
type peerMessage struct {
	peer      *peerQueue
	member    figview.Member
	requests  []*pendingRequest
	transfers []pendingTransfer
	payload   *Request
	sentAt    time.Time
}

// queueFor returns the queue of the peer called name and creates it if necessary.
func (g *ledger) queueFor(name string, now time.Time) *peerQueue {
	p := g.peers[name]
	if p == nil {
		p = &peerQueue{name: name, lastUsed: now}
		g.peers[name] = p
	}
	return p
}

// hasMessage says whether a message should be sent. While the peer's incarnation is unknown,
// refunds cause at most one message at a time, whose reply contains the incarnation.
func (p *peerQueue) hasMessage() bool {
	if len(p.requests)+len(p.reports)+len(p.transfers) > 0 {
		return true
	}
	return len(p.refunds) > 0 && (p.incarnation != 0 || p.inFlight == 0)
}

// deferReports keeps reports on used up leases for the next message. If there are more than
// maxDeferredReports, the oldest are dropped.
func (p *peerQueue) deferReports(reports []LeaseReport) {
	p.deferredReports = append(p.deferredReports, reports...)
	if excess := len(p.deferredReports) - maxDeferredReports; excess > 0 {
		p.deferredReports = slices.Delete(p.deferredReports, 0, excess)
	}
}

// queueRefund keeps a refund for the next message, so that refunds cost no messages of their own
// while lease requests go to the peer often. Refunds to one slot are added up. Refunds to further
// slots are dropped once there are maxQueuedRefunds.
func (p *peerQueue) queueRefund(r Refund) {
	for i := range p.refunds {
		queued := &p.refunds[i]
		if queued.Account == r.Account && queued.Slot == r.Slot {
			queued.Tokens += r.Tokens
			return
		}
	}
	if len(p.refunds) < maxQueuedRefunds {
		p.refunds = append(p.refunds, r)
	}
}

// nextMessages returns the messages that can be sent to p now. If the peer is no longer listed, the
// queue is dropped and its lease requests fail.
func (g *ledger) nextMessages(p *peerQueue, now time.Time) []*peerMessage {
	var due []*peerMessage
	for p.inFlight < maxInFlight && p.hasMessage() {
		message := g.newMessage(p, now)
		m, listed := g.current().view.Find(p.name)
		if !listed {
			p.refunds = nil
			g.failRequests(message, now)
			continue
		}
		message.member = m
		p.inFlight++
		due = append(due, message)
	}
	return due
}

// newMessage moves the queue into one message. Lease reports and refunds are valid for one
// incarnation of the peer only. While the incarnation is unknown, reports are dropped, and refunds
// stay queued until a reply contains it.
func (g *ledger) newMessage(p *peerQueue, now time.Time) *peerMessage {
	p.lastUsed = now
	message := &peerMessage{peer: p, requests: p.requests, transfers: p.transfers, sentAt: now}
	message.payload = &Request{From: g.self, WantIncarnation: p.incarnation == 0}
	for _, c := range p.requests {
		message.payload.LeaseRequests = append(message.payload.LeaseRequests, c.request.LeaseRequest)
	}
	for _, transfer := range p.transfers {
		message.payload.TransferRequests = append(message.payload.TransferRequests, TransferRequest{
			Account: transfer.account, Slot: transfer.index, ViewVersion: g.current().view.Version,
		})
	}
	if p.incarnation != 0 {
		message.payload.LeaseReports, message.payload.Refunds = append(p.reports, p.deferredReports...), p.refunds
		p.refunds = nil
	}
	if message.payload.mustApplyOnce() {
		p.sequence++
		message.payload.Incarnation, message.payload.Sequence, message.payload.PeerIncarnation =
			g.incarnation, p.sequence, p.incarnation
	}
	p.requests, p.transfers, p.reports, p.deferredReports = nil, nil, nil, nil
	return message
}

// handleReply applies the reply to a message. A nil reply means that none came; the message's lease
// requests then fail, as they do for a reply that doesn't answer each request.
func (g *ledger) handleReply(message *peerMessage, r *Reply, now time.Time) {
	message.peer.inFlight--
	if r == nil || len(r.Grants) != len(message.requests) || len(r.TransferReplies) != len(message.transfers) {
		if message.peer.incarnation == 0 {
			message.peer.refunds = nil
		}
		g.failRequests(message, now)
		return
	}
	if r.Incarnation != 0 {
		message.peer.incarnation = r.Incarnation
	}
	for i, c := range message.requests {
		g.applyGrant(c.attempt, c.request, r.Grants[i], message.sentAt, now)
		c.done()
	}
	for i, w := range message.transfers {
		g.acceptTransfer(w, r.TransferReplies[i], now)
	}
}

// failRequests fails the lease requests of a message.
func (g *ledger) failRequests(message *peerMessage, now time.Time) {
	for _, c := range message.requests {
		g.requestFailed(c.attempt, c.request, now)
		c.done()
	}
}

// evictPeers deletes the queues of peers to which no message was sent for peerTTL.
func (g *ledger) evictPeers(now time.Time) {
	for name, p := range g.peers {
		if p.inFlight == 0 && !p.hasMessage() && now.Sub(p.lastUsed) > peerTTL {
			delete(g.peers, name)
		}
	}
}
