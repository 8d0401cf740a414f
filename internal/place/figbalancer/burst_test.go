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
	loadDuration  = 20 * time.Second
	loadPrompt    = 5200
	eventInterval = 52 * time.Millisecond
	// gossipDelay is the time until the others hear of a change.
	gossipDelay = 10 * time.Millisecond
	// heartbeatInterval is the time between two messages of all that is held.
	heartbeatInterval = 400 * time.Millisecond
	// placementTimeout is how long a request waits for room before it is refused.
	placementTimeout = 600 * time.Millisecond
	// placementRetryInterval is the time between two tries to place it.
	placementRetryInterval = 20 * time.Millisecond
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func(now time.Time)
}

type eventQueue []event

func (a eventQueue) Len() int           { return len(a) }
func (a eventQueue) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventQueue) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
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

// burst plays the load in virtual time.
type burst struct {
	*rand.Rand

	eventQueue eventQueue
	pickers    []*Picker
	view       *figcatalogue.View
	// used is the memory that is really taken at each server.
	used    map[string]int64
	gossip  bool
	outcome outcome
}

func (w *burst) schedule(now time.Time, d time.Duration, do func(time.Time)) {
	heap.Push(&w.eventQueue, event{now.Add(d), do})
}

func simulateBurst(seed uint64, gossip bool) outcome {
	w := &burst{Rand: rand.New(rand.NewPCG(seed, 1)), view: engineView(loadServers, 0, nil), used: map[string]int64{}, gossip: gossip}
	now := start
	for i := range loadInstances {
		p := newPicker(loadInstances)
		p.opts.Random = w.Float64
		p.opts.Changed = func(lifetime string, h figview.Held) { w.sendChange(now, i, lifetime, h) }
		w.pickers = append(w.pickers, p)
	}
	for at := time.Duration(0); at < loadDuration; at += time.Duration(w.ExpFloat64() / loadRate * float64(time.Second)) {
		w.schedule(start, at, func(now time.Time) { w.place(now, w.pickers[w.IntN(loadInstances)], now.Add(placementTimeout)) })
	}
	for at := time.Duration(0); gossip && at < loadDuration; at += heartbeatInterval {
		w.schedule(start, at, w.heartbeat)
	}
	for w.eventQueue.Len() > 0 {
		e := heap.Pop(&w.eventQueue).(event)
		now = e.at
		e.do(now)
	}
	return w.outcome
}

// sendChange carries a change to the other instances.
func (w *burst) sendChange(now time.Time, from int, lifetime string, h figview.Held) {
	if !w.gossip {
		return
	}
	w.schedule(now, gossipDelay, func(now time.Time) {
		for i, p := range w.pickers {
			if i != from {
				p.Heard(now, string(rune('a'+from)), 1, map[string]figview.Held{lifetime: h}, false)
			}
		}
	})
}

// heartbeat has every instance tell all that it holds, with the progress since it began.
func (w *burst) heartbeat(now time.Time) {
	for i, from := range w.pickers {
		held := from.Held()
		w.schedule(now, gossipDelay, func(now time.Time) {
			for j, p := range w.pickers {
				if i != j {
					p.Heard(now, string(rune('a'+i)), 1, held, true)
				}
			}
		})
	}
}

// place places a request, again after a while if there is no room.
func (w *burst) place(now time.Time, p *Picker, until time.Time) {
	prompt := int64(loadPrompt/2 + w.IntN(loadPrompt))
	s, err := p.Pick(now, decodeQuery(w.view, prompt))
	if err != nil {
		if now.Add(placementRetryInterval).After(until) {
			w.outcome.refused++
			return
		}
		w.schedule(now, placementRetryInterval, func(now time.Time) { w.place(now, p, until) })
		return
	}
	use := p.Begin(now, w.view, s, prompt)
	if w.used[s.Name]+prompt > memory {
		w.outcome.full++
		use.End(now, Result{Full: true})
		return
	}
	w.outcome.inTime++
	w.used[s.Name] += prompt
	w.run(now, use, s.Name, prompt, 20+w.IntN(94))
}

// run lets the answer grow, and frees its memory at the end.
func (w *burst) run(now time.Time, use *Use, name string, held int64, events int) {
	if events == 0 {
		w.used[name] -= held
		use.End(now, Result{})
		return
	}
	w.schedule(now, eventInterval, func(now time.Time) {
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
	var withoutGossip, gossip outcome
	for seed := range uint64(6) {
		withoutGossip.add(simulateBurst(seed, false))
		gossip.add(simulateBurst(seed, true))
	}
	t.Logf("withoutGossip %+v, gossip %+v", withoutGossip, gossip)
	all := gossip.inTime + gossip.full + gossip.refused
	require.LessOrEqual(t, gossip.full*100, 3*all, "sent to a full engine")
	require.GreaterOrEqual(t, gossip.inTime*100, 95*all, "served in time")
	require.Greater(t, withoutGossip.full, 2*gossip.full, "the news is what keeps requests from full engines")
}

func (o *outcome) add(n outcome) {
	o.inTime += n.inTime
	o.full += n.full
	o.refused += n.refused
}
