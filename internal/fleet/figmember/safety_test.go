package figmember

import (
	"context"
	"fmt"
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
	// drift is how far a clock may run fast or slow.
	drift = 0.01
	// moreThanFreshness is the freshness bound on the slowest clock.
	moreThanFreshness = time.Duration(float64(DefaultFreshness) * (1 + 2*drift))
)

// held is a version that a process held from a time on.
type held struct {
	view uint64
	from time.Duration
}

// process is one incarnation of an instance in the world.
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

// message is a beat on the way, in either direction.
type message struct {
	from, to *process
	sent     time.Time
	beat     *Beat
	answer   bool
}

// reading is an answer of the service on its way to a reader.
type reading struct {
	by    *process
	asked time.Time
	view  *figview.View
}

// world is a fleet in which time, messages, pauses and restarts are drawn.
type world struct {
	now       time.Duration
	lists     []*figview.View
	published []time.Duration
	listed    []bool
	up        []*process
	history   map[string][]held
	links     map[[2]string]bool
	messages  []message
	readings  []reading
	starts    uint64
}

func (p *process) clock(w *world) time.Time {
	return p.origin.Add(time.Duration(float64(w.now) * p.rate))
}

func (p *process) take(w *world, v *figview.View) {
	if v.Version > p.view.Version {
		p.view = v
		w.history[p.name] = append(w.history[p.name], held{v.Version, w.now})
	}
}

// heldSince says whether a process of that name held exactly a version at some
// time from then on.
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
	w.settle()
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

func (w *world) cut(a, b string) bool { return w.links[[2]string{a, b}] || w.links[[2]string{b, a}] }

// send puts a beat on the way, as the duty of a process does at its interval.
func (w *world) send(from *process, to string) {
	peer := w.find(to)
	w.messages = append(w.messages, message{
		from: from, to: peer, sent: from.clock(w), beat: from.members.beatTo(to),
	})
}

// deliver hands over one message, however old it is. Those of dead processes and
// over cut links are lost.
func (w *world) deliver(i int) {
	m := w.messages[i]
	w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
	if m.to.paused || w.find(m.to.name) != m.to || w.cut(m.from.name, m.to.name) {
		return
	}
	if m.answer {
		m.to.members.finish(figview.Member{Name: m.from.name}, m.sent, m.beat)
		return
	}
	r, _ := m.to.members.Answer(context.Background(), m.beat)
	w.messages = append(w.messages, message{from: m.to, to: m.from, sent: m.sent, beat: r, answer: true})
}

func (w *world) finishReading(i int) {
	r := w.readings[i]
	w.readings = append(w.readings[:i:i], w.readings[i+1:]...)
	if r.by.paused || w.find(r.by.name) != r.by || w.cut(r.by.name, "service") {
		return
	}
	r.by.take(w, r.view)
	if r.view.Version == r.by.view.Version && r.asked.After(r.by.confirmed) {
		r.by.confirmed = r.asked
	}
}

// act does one drawn thing.
func (w *world) act(t *rapid.T) {
	i := rapid.IntRange(0, worldSize-1).Draw(t, "who")
	j := rapid.IntRange(0, worldSize-1).Draw(t, "whom")
	p, q := w.up[i], w.up[j]
	switch rapid.SampledFrom([]string{
		"beat", "beat", "beat", "beat", "deliver", "deliver", "deliver", "deliver", "read", "read", "answer", "answer",
		"relay", "pass", "pass", "pass", "pause", "publish", "restart", "cut", "round", "round", "settle",
	}).Draw(t, "act") {
	case "beat":
		if i != j && !p.paused {
			w.send(p, q.name)
		}
	case "deliver":
		if n := len(w.messages); n > 0 {
			w.deliver(rapid.IntRange(0, n-1).Draw(t, "message"))
		}
	case "read":
		if !p.paused && !w.cut(p.name, "service") {
			w.readings = append(w.readings, reading{p, p.clock(w), w.lists[len(w.lists)-1]})
		}
	case "answer":
		if n := len(w.readings); n > 0 {
			w.finishReading(rapid.IntRange(0, n-1).Draw(t, "reading"))
		}
	case "relay":
		if !p.paused && !q.paused && !w.cut(p.name, q.name) {
			p.take(w, q.view)
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
		w.settle()
	}
}

// settle lets those that reach the service read it at once, and all exchange beats.
func (w *world) settle() {
	for _, p := range w.up {
		if !p.paused && !w.cut(p.name, "service") {
			w.readings = append(w.readings, reading{p, p.clock(w), w.lists[len(w.lists)-1]})
			w.finishReading(len(w.readings) - 1)
		}
	}
	w.round()
	w.round()
}

// round lets all exchange beats with all, without delay.
func (w *world) round() {
	for _, p := range w.up {
		for _, q := range w.up {
			if p != q && !p.paused {
				w.send(p, q.name)
				w.deliver(len(w.messages) - 1)
				if n := len(w.messages); n > 0 && w.messages[n-1].answer {
					w.deliver(n - 1)
				}
			}
		}
	}
}

// tally counts how often the properties had something to say.
type tally struct{ acked, fresh, outdated, majority int }

// checkAcked requires that what AllAcked says of the others is so, or that the
// one spoken of has restarted and can't act on its older list.
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
		require.False(t, acts && q.members.Fresh(), "%s acts on an older list", q.name)
	}
}

// checkFresh requires that an outdated list is fresh for no longer than the
// bound, but where a majority was heard that held it.
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
			w.act(t)
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
