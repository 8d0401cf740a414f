package figbalancer

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// The load of the larger site in a burst that doesn't end: 18 model requests a second
// for 20 s over nine instances, prompts of 5,200 tokens, answers of 67 events of 52 ms
// each, on six decode servers. It asks for 90 in 100 of their memory.
const (
	loadRate      = 18.0
	loadInstances = 9
	loadServers   = 6
	loadFor       = 20 * time.Second
	loadPrompt    = 5200
	eventPause    = 52 * time.Millisecond
	// tellDelay is the time until the others hear of a change.
	tellDelay = 10 * time.Millisecond
	// beatPause is the time between two messages of all that is held.
	beatPause = 400 * time.Millisecond
	// waitMost is how long a request waits for room before it is refused.
	waitMost = 600 * time.Millisecond
	// waitStep is the time between two tries to place it.
	waitStep = 20 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type agenda []event

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// outcome counts what callers got.
type outcome struct {
	// inTime counts requests that were placed in time on a server with room, full
	// those that their server had no room for, refused those that found no place.
	inTime, full, refused int
}

// world plays the load in virtual time.
type world struct {
	*rand.Rand

	agenda  agenda
	pickers []*Picker
	view    *figcatalogue.View
	// used is the memory that is really taken at each server.
	used map[string]int64
	told bool
	got  outcome
}

func (w *world) after(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&w.agenda, event{now.Add(d), do})
}

func play(seed uint64, told bool) outcome {
	w := &world{Rand: rand.New(rand.NewPCG(seed, 1)), view: engineView(loadServers, 0, nil), used: map[string]int64{}, told: told}
	now := start
	for i := range loadInstances {
		p := newPicker(loadInstances)
		p.opts.Random = w.Float64
		p.opts.Changed = func(lifetime string, h figview.Held) { w.tell(now, i, lifetime, h) }
		w.pickers = append(w.pickers, p)
	}
	for at := time.Duration(0); at < loadFor; at += time.Duration(w.ExpFloat64() / loadRate * float64(time.Second)) {
		w.after(start, at, func(now time.Time) { w.arrive(now, w.pickers[w.IntN(loadInstances)], now.Add(waitMost)) })
	}
	for at := time.Duration(0); told && at < loadFor; at += beatPause {
		w.after(start, at, w.beat)
	}
	for w.agenda.Len() > 0 {
		e := heap.Pop(&w.agenda).(event)
		now = e.at
		e.do(now)
	}
	return w.got
}

// tell carries a change to the other instances.
func (w *world) tell(now time.Time, from int, lifetime string, h figview.Held) {
	if !w.told {
		return
	}
	w.after(now, tellDelay, func(now time.Time) {
		for i, p := range w.pickers {
			if i != from {
				p.Heard(now, string(rune('a'+from)), 1, map[string]figview.Held{lifetime: h}, false)
			}
		}
	})
}

// beat has every instance tell all that it holds, with the progress since it began.
func (w *world) beat(now time.Time) {
	for i, from := range w.pickers {
		held := from.Held()
		w.after(now, tellDelay, func(now time.Time) {
			for j, p := range w.pickers {
				if i != j {
					p.Heard(now, string(rune('a'+i)), 1, held, true)
				}
			}
		})
	}
}

// arrive places a request, again after a while if there is no room.
func (w *world) arrive(now time.Time, p *Picker, until time.Time) {
	prompt := int64(loadPrompt/2 + w.IntN(loadPrompt))
	s, err := p.Pick(now, decodeQuery(w.view, prompt))
	if err != nil {
		if now.Add(waitStep).After(until) {
			w.got.refused++
			return
		}
		w.after(now, waitStep, func(now time.Time) { w.arrive(now, p, until) })
		return
	}
	use := p.Begin(now, w.view, s, prompt)
	if w.used[s.Name]+prompt > memory {
		w.got.full++
		use.End(now, Result{Full: true})
		return
	}
	w.got.inTime++
	w.used[s.Name] += prompt
	w.run(now, use, s.Name, prompt, 20+w.IntN(94))
}

// run lets the answer grow, and frees its memory at the end.
func (w *world) run(now time.Time, use *Use, name string, held int64, events int) {
	if events == 0 {
		w.used[name] -= held
		use.End(now, Result{})
		return
	}
	w.after(now, eventPause, func(now time.Time) {
		w.used[name] += 11
		use.Grow(11)
		w.run(now, use, name, held+11, events-1)
	})
}

// In a burst that asks for nearly all memory, callers must be served by engines that
// have the room, and hardly anybody may be sent to a full one: a prompt that was read
// for nothing delays others. Instances that don't tell each other what they hold send
// more than twice as many to full engines.
func TestBurst(t *testing.T) {
	var alone, told outcome
	for seed := range uint64(6) {
		alone.add(play(seed, false))
		told.add(play(seed, true))
	}
	t.Logf("alone %+v, told %+v", alone, told)
	all := told.inTime + told.full + told.refused
	require.LessOrEqual(t, told.full*100, 3*all, "sent to a full engine")
	require.GreaterOrEqual(t, told.inTime*100, 95*all, "served in time")
	require.Greater(t, alone.full, 2*told.full, "the news is what keeps requests from full engines")
}

func (o *outcome) add(n outcome) {
	o.inTime += n.inTime
	o.full += n.full
	o.refused += n.refused
}
