package figsimulator

import (
	"container/heap"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Sim runs events in the order of their virtual time, those of one time in the
// order in which they were added.
type Sim struct {
	now    time.Duration
	count  uint64
	events events
}

// Clock returns the virtual clock.
func (s *Sim) Clock() figtimer.Clock { return figtimer.Clock{Now: s.Now} }

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

// After runs f when d has passed.
func (s *Sim) After(d time.Duration, f func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now + max(0, d), order: s.count, run: f})
}

// Every runs f at intervals of d.
func (s *Sim) Every(d time.Duration, f func()) {
	s.After(d, func() {
		f()
		s.Every(d, f)
	})
}

// Run runs all events up to end.
func (s *Sim) Run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
