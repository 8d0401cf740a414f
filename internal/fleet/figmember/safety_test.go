package figmember

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	worldSize = 5
	steps     = 150
	// outageDraws makes outages rare, as they leave lists outdated for a long time. The highest draw
	// starts one, because rapid draws low values more often.
	outageDraws = 50
	// drift is the maximum relative error of a clock's rate.
	drift = 0.01
	// moreThanFreshness is the freshness bound as measured by the slowest clock, with a margin.
	moreThanFreshness = time.Duration(float64(DefaultFreshness) * (1 + 2*drift))
)

// held is a version that a process held, with the time from which it did.
type held struct {
	view uint64
	from time.Duration
}

// process is one incarnation of an instance in the simulation.
type process struct {
	name        string
	incarnation uint64
	members     *Membership
	view        *figview.View
	confirmed   time.Time
	rate        float64
	origin      time.Time
	paused      bool
}

// world is a simulated fleet with randomly drawn delays, messages, pauses and restarts.
type world struct {
	now       time.Duration
	lists     []*figview.View
	published []time.Duration
	listed    []bool
	up        []*process
	history   map[string][]held
	links     map[[2]string]bool
	// inFlight holds the delivery functions of messages in flight: heartbeats, their answers and
	// answers of the service.
	inFlight []func()
	starts   uint64
}

func (p *process) clock(w *world) time.Time {
	return p.origin.Add(time.Duration(float64(w.now) * p.rate))
}

func (p *process) setView(w *world, v *figview.View) {
	if v.Version > p.view.Version {
		p.view = v
		w.history[p.name] = append(w.history[p.name], held{v.Version, w.now})
	}
}

// heldSince reports whether a process of that name held exactly this version at some time at or
// after then.
func (w *world) heldSince(name string, version uint64, then time.Duration) bool {
	history := w.history[name]
	for i, h := range history {
		last := i == len(history)-1
		if h.view == version && (last || history[i+1].from >= then) {
			return true
		}
	}
	return false
}

func newWorld(t *rapid.T) *world {
	w := &world{history: map[string][]held{}, links: map[[2]string]bool{}, listed: make([]bool, worldSize), up: make([]*process, worldSize)}
	for i := range worldSize {
		w.listed[i] = true
	}
	w.publish()
	for i := range worldSize {
		w.start(t, i)
	}
	w.converge()
	return w
}

func (w *world) start(t *rapid.T, i int) {
	w.starts++
	p := &process{
		name:        fmt.Sprint("i", i),
		incarnation: w.starts,
		view:        figview.NewView(0, nil),
		rate:        1 + drift*float64(rapid.IntRange(-1, 1).Draw(t, "drift")),
		origin:      time.Unix(rapid.Int64Range(0, 1000).Draw(t, "origin"), 0),
	}
	p.members = New(Options{
		Self: figview.Member{Name: p.name}, Incarnation: w.starts,
		Clock:     figtimer.Clock{Now: func() time.Time { return p.clock(w) }},
		Random:    func() float64 { return 0 },
		View:      func() *figview.View { return p.view },
		Confirmed: func() time.Time { return p.confirmed },
	})
	w.up[i] = p
	w.history[p.name] = append(w.history[p.name], held{0, w.now})
}

func (w *world) publish() {
	var members []figview.Member
	for i, listed := range w.listed {
		if listed {
			members = append(members, figview.Member{Name: fmt.Sprint("i", i)})
		}
	}
	w.lists = append(w.lists, figview.NewView(uint64(len(w.lists)+1), members))
	w.published = append(w.published, w.now)
}

func (w *world) find(name string) *process {
	for _, p := range w.up {
		if p.name == name {
			return p
		}
	}
	return nil
}

// reaches reports whether p is the current process of its name, is not paused and has a link to
// other.
func (w *world) reaches(p *process, other string) bool {
	cut := w.links[[2]string{p.name, other}] || w.links[[2]string{other, p.name}]
	return !p.paused && !cut && w.find(p.name) == p
}

// enqueue queues the delivery of a message from another process to p. The message is lost if p can't
// be reached at delivery time.
func (w *world) enqueue(p *process, from string, arrive func()) {
	w.inFlight = append(w.inFlight, func() {
		if w.reaches(p, from) {
			arrive()
		}
	})
}

func (w *world) deliver(i int) {
	arrive := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	arrive()
}

// deliverFrom delivers all messages in flight from a queue index on.
func (w *world) deliverFrom(first int) {
	for len(w.inFlight) > first {
		w.deliver(first)
	}
}

// send sends a heartbeat, as Membership.Run does at its interval.
func (w *world) send(p *process, to string) {
	peer, sent, beat := w.find(to), p.clock(w), p.members.newHeartbeat(to)
	w.enqueue(peer, p.name, func() {
		r, _ := peer.members.HandleHeartbeat(context.Background(), beat)
		w.enqueue(p, to, func() { p.members.finishHeartbeat(figview.Member{Name: to}, sent, r) })
	})
}

// read makes a process request the list from the service, if it can reach the service.
func (w *world) read(p *process) {
	if !w.reaches(p, "service") {
		return
	}
	asked, v := p.clock(w), w.lists[len(w.lists)-1]
	w.enqueue(p, "service", func() {
		p.setView(w, v)
		if v.Version == p.view.Version && asked.After(p.confirmed) {
			p.confirmed = asked
		}
	})
}

// step performs one randomly drawn action.
func (w *world) step(t *rapid.T) {
	i := rapid.IntRange(0, worldSize-1).Draw(t, "who")
	j := rapid.IntRange(0, worldSize-1).Draw(t, "whom")
	p, q := w.up[i], w.up[j]
	switch rapid.SampledFrom([]string{
		"beat", "beat", "beat", "beat", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "read", "read",
		"relay", "pass", "pass", "pass", "pause", "publish", "restart", "cut", "round", "round", "settle", "outage",
	}).Draw(t, "act") {
	case "beat":
		if i != j && !p.paused {
			w.send(p, q.name)
		}
	case "deliver":
		if n := len(w.inFlight); n > 0 {
			w.deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
		}
	case "read":
		w.read(p)
	case "relay":
		if !q.paused && w.reaches(p, q.name) {
			p.setView(w, q.view)
		}
	case "pass":
		w.now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "millis")) * time.Millisecond
	case "pause":
		p.paused = !p.paused
	case "publish":
		w.listed[j] = !w.listed[j] || j == 0
		w.publish()
	case "restart":
		w.start(t, i)
	case "cut":
		other := rapid.SampledFrom([]string{q.name, "service"}).Draw(t, "link")
		w.links[[2]string{p.name, other}] = !w.links[[2]string{p.name, other}]
	case "round":
		w.round()
	case "settle":
		w.converge()
	case "outage":
		if rapid.IntRange(1, outageDraws).Draw(t, "outage") == outageDraws {
			w.startOutage()
		}
	}
}

// converge lets all processes that reach the service read the list at once, then exchanges
// heartbeats twice.
func (w *world) converge() {
	for _, p := range w.up {
		first := len(w.inFlight)
		w.read(p)
		w.deliverFrom(first)
	}
	w.round()
	w.round()
}

// startOutage makes the service publish a list and then unreachable for all processes, for longer than
// an earlier confirmation is valid.
func (w *world) startOutage() {
	for _, p := range w.up {
		w.links[[2]string{p.name, "service"}] = true
	}
	w.publish()
	w.now += moreThanFreshness + time.Second
	w.round()
}

// round exchanges heartbeats between all processes without delay.
func (w *world) round() {
	for _, p := range w.up {
		for _, q := range w.up {
			if p != q && !p.paused {
				first := len(w.inFlight)
				w.send(p, q.name)
				w.deliverFrom(first)
			}
		}
	}
}

// tally counts how often each property was actually checked.
type tally struct{ acked, fresh, outdated, majority int }

// checkAcked requires that every listed member that AllAcked covers holds that version, or has
// restarted and cannot act on its older list.
func (w *world) checkAcked(t *rapid.T, p *process, n *tally) {
	v := p.view
	if _, ok := p.members.AllAcked(v.Version); !ok {
		return
	}
	n.acked++
	for _, m := range v.Members {
		q := w.find(m.Name)
		if q == p || q.view.Version >= v.Version {
			continue
		}
		require.Greater(t, q.incarnation, p.members.state.acks[hashOf(q.name)].incarnation)
		_, acts := q.members.AllAcked(q.view.Version)
		require.False(t, acts && q.members.Fresh(), "%s can act on an older list", q.name)
	}
}

// checkFresh requires that an outdated list is fresh for no longer than the freshness bound,
// unless a majority that held it was heard.
func (w *world) checkFresh(t *rapid.T, p *process, n *tally) {
	if !p.members.Fresh() {
		return
	}
	n.fresh++
	v := p.view
	if v.Version == uint64(len(w.lists)) {
		return
	}
	n.outdated++
	if w.now-w.published[v.Version] <= moreThanFreshness {
		return
	}
	n.majority++
	holders := 0
	for _, m := range v.Members {
		if w.heldSince(m.Name, v.Version, w.now-moreThanFreshness) || m.Name == p.name {
			holders++
		}
	}
	require.Greater(t, 2*holders, len(v.Members), "%s is fresh on an outdated list", p.name)
}

func TestSafety(t *testing.T) {
	var n tally
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range steps {
			w.step(t)
			for _, p := range w.up {
				if !p.paused {
					w.checkAcked(t, p, &n)
					w.checkFresh(t, p, &n)
				}
			}
		}
	})
	t.Logf("checked: %+v", n)
	require.Positive(t, n.acked)
	require.Positive(t, n.outdated)
	require.Positive(t, n.majority)
}
