package figbudget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// world is a small fleet in virtual time: ledgers, a network between them that
// loses, delays and doubles messages, and a published list that each node reads
// for itself. Membership follows the rules that Options.Fresh and AllAcked state.
type world struct {
	random *rand.Rand
	now    time.Duration
	// events are those to come, the first one first.
	events  []event
	serial  uint64
	nodes   []*node
	view    *figview.View
	limits  map[string]Limits
	network network
	// serviceDown keeps all nodes from the published list.
	serviceDown bool
	// majority lets nodes without the service rely on a majority of their view.
	majority bool
	// apart holds the nodes on the far side of a partition.
	apart map[string]bool
	// observe is called after every event at a node.
	observe func(*node)
	// messages and failures count calls of the budget protocol.
	messages, failures int
}

// network holds the probabilities of faults, per message.
type network struct {
	lose, double, late float64
}

// node is one instance.
type node struct {
	*ledger
	world  *world
	name   string
	centre string
	// speed is the rate of its clock, ticks the time between its ticks.
	speed       float64
	ticks       time.Duration
	alive       bool
	pausedUntil time.Duration
	cutOff      bool
	known       *figview.View
	confirmed   time.Time
	newest      uint64
	heard       map[string]heard
	declared    map[string]Limits
	credited    int64
}

// heard is what a node knows of another one.
type heard struct {
	incarnation, version uint64
	at                   time.Time
}

type event struct {
	at     time.Duration
	serial uint64
	node   *node
	life   uint64
	run    func()
}

func (e event) compare(other event) int {
	return cmp.Or(cmp.Compare(e.at, other.at), cmp.Compare(e.serial, other.serial))
}

func newWorld(random *rand.Rand, centres []string, limits map[string]Limits) *world {
	w := &world{random: random, limits: limits, apart: map[string]bool{}, observe: func(*node) {}}
	for i, c := range centres {
		n := &node{world: w, name: string(rune('a' + i)), centre: c, speed: 1, ticks: tickTime}
		w.nodes = append(w.nodes, n)
	}
	w.view = figview.NewView(1, w.members(everyone))
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

// at schedules run at a node, or nowhere for a nil node. It is dropped if the
// node has restarted by then, and put off while the node is paused.
func (w *world) at(after time.Duration, n *node, run func()) {
	w.serial++
	e := event{at: w.now + after, serial: w.serial, node: n, run: run}
	if n != nil {
		e.life = n.incarnation
	}
	w.push(e)
}

func (w *world) push(e event) {
	i, _ := slices.BinarySearchFunc(w.events, e, event.compare)
	w.events = slices.Insert(w.events, i, e)
}

// advance runs all events of the next d.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = max(w.now, e.at)
		if e.node != nil {
			if !e.node.alive || e.node.incarnation != e.life {
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
			w.observe(e.node)
		}
	}
	w.now = end
}

// publish puts a new list in force. Nodes wait for it in a long poll.
func (w *world) publish(change func(m *figview.Member) bool) {
	w.view = figview.NewView(w.view.Version+1, w.members(change))
	for _, n := range w.nodes {
		w.at(0, n, n.read)
	}
}

func always() bool { return true }

func everyone(*figview.Member) bool { return true }

// members returns the nodes that change keeps, as it has changed them.
func (w *world) members(change func(m *figview.Member) bool) []figview.Member {
	var members []figview.Member
	for _, n := range w.nodes {
		m := figview.Member{Name: n.name, Address: n.name, DataCentre: n.centre}
		if change(&m) {
			members = append(members, m)
		}
	}
	return members
}

// unlisted is the state of a member that list takes off the list.
const unlisted = 2

// list publishes a change of one member.
func (w *world) list(name string, state int) {
	w.publish(func(m *figview.Member) bool {
		old, listed := w.view.Find(m.Name)
		m.State = old.State
		if m.Name == name {
			m.State = figview.State(state % unlisted)
			listed = state < unlisted
		}
		return listed
	})
}

// declared returns the limits of an account as Options.Limits does.
func declared(limits *map[string]Limits) func(account string) (Limits, bool) {
	return func(account string) (Limits, bool) {
		l, ok := (*limits)[account]
		return l, ok
	}
}

// call carries a message from n to the node called to and its answer back.
// handle runs there, done here; done gets false if no answer came in time.
func (w *world) call(n *node, to string, handle func(*node), done func(bool)) {
	over, life := false, n.incarnation
	finish := func(ok bool) {
		if !over && n.incarnation == life {
			over = true
			done(ok)
		}
	}
	w.at(askTimeout, n, func() { finish(false) })
	peer := w.byName(to)
	if peer == nil || w.apart[n.name] != w.apart[to] || w.chance(w.network.lose) {
		return
	}
	answer := func() {
		handle(peer)
		if w.apart[n.name] != w.apart[to] || w.chance(w.network.lose) {
			return
		}
		w.at(w.delay(), n, func() { finish(true) })
	}
	w.arrive(peer, answer)
	if w.chance(w.network.double) {
		w.arrive(peer, answer)
	}
}

// arrive runs handle at the node, whatever its incarnation is by then.
func (w *world) arrive(peer *node, handle func()) {
	w.at(w.delay(), nil, func() {
		if !peer.alive {
			return
		}
		w.at(max(0, peer.pausedUntil-w.now), peer, handle)
	})
}

func (w *world) delay() time.Duration {
	if w.chance(w.network.late) {
		return time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	return 500*time.Microsecond + time.Duration(w.random.Int64N(int64(time.Millisecond)))
}

func (w *world) chance(p float64) bool { return p > 0 && w.random.Float64() < p }

// clock returns the node's own time.
func (n *node) clock() time.Time {
	return time.Unix(1e6, 0).Add(time.Duration(float64(n.world.now) * n.speed))
}

// start begins a new life of the node, without any memory.
func (n *node) start() {
	incarnation := uint64(1)
	if n.ledger != nil {
		incarnation = n.incarnation + 1
	}
	n.declared = n.world.limits
	n.ledger = newLedger(n.name, incarnation, declared(&n.declared))
	n.alive, n.pausedUntil, n.credited = true, 0, 0
	n.known, n.confirmed, n.newest = nil, time.Time{}, 0
	n.heard = map[string]heard{}
	n.every(300*time.Millisecond, n.read)
	n.every(time.Second, n.beat)
	n.every(n.ticks, n.tickNow)
}

func (n *node) every(d time.Duration, do func()) {
	first := time.Duration(n.world.random.Int64N(int64(d)))
	var again func()
	again = func() {
		n.world.at(d, n, again)
		do()
	}
	n.world.at(first, n, again)
}
