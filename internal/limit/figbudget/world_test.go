package figbudget

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// world is a small fleet in virtual time: ledgers, a network between them that
// loses, delays and doubles messages, and a published list that each node reads
// for itself. Membership follows the rules that Options.Fresh and AllAcked state.
type world struct {
	random  *rand.Rand
	now     time.Duration
	events  events
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

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newWorld(random *rand.Rand, centres []string, limits map[string]Limits) *world {
	w := &world{random: random, limits: limits, apart: map[string]bool{}, observe: func(*node) {}}
	members := make([]figview.Member, 0, len(centres))
	for i, c := range centres {
		n := &node{world: w, name: string(rune('a' + i)), centre: c, speed: 1, ticks: tickTime}
		w.nodes = append(w.nodes, n)
		members = append(members, figview.Member{Name: n.name, Address: n.name, DataCentre: c})
	}
	w.view = figview.NewView(1, members)
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
	heap.Push(&w.events, e)
}

// advance runs all events of the next d.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = max(w.now, e.at)
		if e.node != nil {
			if !e.node.alive || e.node.incarnation != e.life {
				continue
			}
			if e.node.pausedUntil > w.now {
				e.at = e.node.pausedUntil
				heap.Push(&w.events, e)
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
	var members []figview.Member
	for _, n := range w.nodes {
		m := figview.Member{Name: n.name, Address: n.name, DataCentre: n.centre}
		if change(&m) {
			members = append(members, m)
		}
	}
	w.view = figview.NewView(w.view.Version+1, members)
	for _, n := range w.nodes {
		w.at(0, n, n.read)
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
	i := slices.IndexFunc(w.nodes, func(m *node) bool { return m.name == to })
	if i < 0 {
		return
	}
	peer := w.nodes[i]
	if w.apart[n.name] != w.apart[to] || w.chance(w.network.lose) {
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
	n.ledger = newLedger(n.name, incarnation, func(account string) (Limits, bool) {
		l, ok := n.declared[account]
		return l, ok
	})
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
