package figbudget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// simulation is a small fleet in virtual time: ledgers, a network that loses, delays and duplicates
// messages, and a published list that each node reads for itself. Membership follows the rules that
// Options.Fresh and Options.AllAcked state.
type simulation struct {
	random *rand.Rand
	now    time.Duration
	// events holds the scheduled events, earliest first.
	events     []event
	nextSerial uint64
	nodes      []*node
	view       *figview.View
	limits     map[string]Limits
	network    network
	// serviceDown keeps all nodes from reading the published list.
	serviceDown bool
	// majority lets a node that can't read the list trust its view if a majority of its members has
	// the same view.
	majority bool
	// partitioned holds the nodes on one side of a network partition.
	partitioned map[string]bool
	// afterEvent is called after every event at a node.
	afterEvent func(*node)
	// messages and failures count messages of the budget protocol and those without a reply.
	messages, failures int
}

// network holds the probabilities of faults, per message.
type network struct {
	lossRate, duplicateRate, delayRate float64
}

// node is one instance.
type node struct {
	*ledger
	sim        *simulation
	name       string
	dataCentre string
	// clockRate is the rate of the node's clock, tickPeriod the time between its ticks.
	clockRate          float64
	tickPeriod         time.Duration
	alive              bool
	pausedUntil        time.Duration
	serviceUnreachable bool
	view               *figview.View
	confirmedAt        time.Time
	newestVersion      uint64
	peerViews          map[string]peerView
	declarations       map[string]Limits
	credited           int64
}

// peerView is the incarnation and the view version that a node last received from another node, and when the node sent
// the latest heartbeat that the other one has answered.
type peerView struct {
	incarnation, version uint64
	answeredAt           time.Time
}

type event struct {
	at          time.Duration
	serial      uint64
	node        *node
	incarnation uint64
	run         func()
}

func (e event) compare(other event) int {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.serial, other.serial))
}

// newSimulation returns a fleet with one live node in each of the data centres given.
func newSimulation(random *rand.Rand, dataCentres []string, limits map[string]Limits) *simulation {
	w := &simulation{random: random, limits: limits, partitioned: map[string]bool{}, afterEvent: func(*node) {}}
	for i, c := range dataCentres {
		n := &node{sim: w, name: string(rune('a' + i)), dataCentre: c, clockRate: 1, tickPeriod: tickInterval}
		w.nodes = append(w.nodes, n)
	}
	w.view = figview.NewView(1, w.members(keepAll))
	for _, n := range w.nodes {
		n.restart()
	}
	return w
}

// schedule runs an event at a node, or outside all nodes for a nil node. The event is dropped if
// the node has restarted by then, and delayed while the node is paused.
func (w *simulation) schedule(after time.Duration, n *node, run func()) {
	w.nextSerial++
	e := event{at: w.now + after, serial: w.nextSerial, node: n, run: run}
	if n != nil {
		e.incarnation = n.incarnation
	}
	w.push(e)
}

func (w *simulation) push(e event) {
	i, _ := slices.BinarySearchFunc(w.events, e, event.compare)
	w.events = slices.Insert(w.events, i, e)
}

// advance runs all events of the next d.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = max(w.now, e.at)
		if e.node != nil {
			if !e.node.alive || e.node.incarnation != e.incarnation {
				continue
			}
			if e.node.pausedUntil > w.now {
				e.at = e.node.pausedUntil
				w.push(e)
				continue
			}
		}
		e.run()
		if e.node != nil {
			w.afterEvent(e.node)
		}
	}
	w.now = end
}

// publishView publishes a new list. All nodes read it at once, as with a long poll.
func (w *simulation) publishView(change func(m *figview.Member) bool) {
	w.view = figview.NewView(w.view.Version+1, w.members(change))
	for _, n := range w.nodes {
		w.schedule(0, n, n.readService)
	}
}

func always() bool { return true }

func keepAll(*figview.Member) bool { return true }

// members returns the nodes for which change returns true, with its changes applied.
func (w *simulation) members(change func(m *figview.Member) bool) []figview.Member {
	var members []figview.Member
	for _, n := range w.nodes {
		m := figview.Member{Name: n.name, Address: n.name, DataCentre: n.dataCentre}
		if change(&m) {
			members = append(members, m)
		}
	}
	return members
}

// unlisted is the state with which publishState takes a member off the list.
const unlisted = 2

// publishState publishes a list with a new state of one member.
func (w *simulation) publishState(name string, state int) {
	w.publishView(func(m *figview.Member) bool {
		old, listed := w.view.Find(m.Name)
		m.State = old.State
		if m.Name == name {
			m.State = figview.State(state % unlisted)
			listed = state < unlisted
		}
		return listed
	})
}

// limitsOf returns a function for Options.Limits.
func limitsOf(limits *map[string]Limits) func(account string) (Limits, bool) {
	return func(account string) (Limits, bool) {
		l, ok := (*limits)[account]
		return l, ok
	}
}

// callNode carries a message from n to the node called to, and its reply back. handle runs at the
// receiver, done at n; done gets false if no reply arrives within callTimeout.
func (w *simulation) callNode(n *node, to string, handle func(*node), done func(bool)) {
	finished, incarnation := false, n.incarnation
	finish := func(ok bool) {
		if !finished && n.incarnation == incarnation {
			finished = true
			done(ok)
		}
	}
	w.schedule(callTimeout, n, func() { finish(false) })
	peer := w.byName(to)
	if peer == nil || w.partitioned[n.name] != w.partitioned[to] || w.happens(w.network.lossRate) {
		return
	}
	answer := func() {
		handle(peer)
		if w.partitioned[n.name] != w.partitioned[to] || w.happens(w.network.lossRate) {
			return
		}
		w.schedule(w.delay(), n, func() { finish(true) })
	}
	w.deliver(peer, answer)
	if w.happens(w.network.duplicateRate) {
		w.deliver(peer, answer)
	}
}

// deliver runs handle at the node after a network delay, even if the node restarts in between.
func (w *simulation) deliver(peer *node, handle func()) {
	w.schedule(w.delay(), nil, func() {
		if !peer.alive {
			return
		}
		w.schedule(max(0, peer.pausedUntil-w.now), peer, handle)
	})
}

func (w *simulation) delay() time.Duration {
	if w.happens(w.network.delayRate) {
		return time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	return 500*time.Microsecond + time.Duration(w.random.Int64N(int64(time.Millisecond)))
}

func (w *simulation) happens(p float64) bool { return p > 0 && w.random.Float64() < p }

// localTime returns the time on the node's clock.
func (n *node) localTime() time.Time {
	return time.Unix(1e6, 0).Add(time.Duration(float64(n.sim.now) * n.clockRate))
}

// restart starts the node with a new incarnation and no state.
func (n *node) restart() {
	incarnation := uint64(1)
	if n.ledger != nil {
		incarnation = n.incarnation + 1
	}
	n.declarations = n.sim.limits
	n.ledger = newLedger(n.name, incarnation, limitsOf(&n.declarations))
	n.alive, n.pausedUntil, n.credited = true, 0, 0
	n.view, n.confirmedAt, n.newestVersion = nil, time.Time{}, 0
	n.peerViews = map[string]peerView{}
	n.every(300*time.Millisecond, n.readService)
	n.every(time.Second, n.heartbeat)
	n.every(n.tickPeriod, n.runTick)
}

func (n *node) every(d time.Duration, do func()) {
	first := time.Duration(n.sim.random.Int64N(int64(d)))
	var again func()
	again = func() {
		n.sim.schedule(d, n, again)
		do()
	}
	n.sim.schedule(first, n, again)
}
