package figsimulator

import (
	"container/heap"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// epoch is the time of the virtual clock at the start of a run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Sim is a discrete-event scheduler with a virtual clock. It runs events in the order of their virtual time, and
// events of the same time in the order in which they were added. It isn't safe for concurrent use.
type Sim struct {
	now    time.Duration
	count  uint64
	events events
}

// Clock returns the virtual clock.
func (s *Sim) Clock() figtimer.Clock { return figtimer.Clock{Now: s.Now} }

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return epoch.Add(s.now) }

// After schedules f after d of virtual time. A negative d counts as zero.
func (s *Sim) After(d time.Duration, f func()) {
	s.count++
	heap.Push(&s.events, event{at: s.now + max(0, d), order: s.count, run: f})
}

// Every schedules f at intervals of d, first after d.
func (s *Sim) Every(d time.Duration, f func()) {
	s.After(d, func() {
		f()
		s.Every(d, f)
	})
}

// Run runs all events up to and including end, which counts from the start of the run, and sets the clock to end.
func (s *Sim) Run(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// event is a function that is scheduled for a virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap for container/heap, ordered by time and then by order.
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
