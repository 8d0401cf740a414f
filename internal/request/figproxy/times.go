package figproxy

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

const (
	// minStepEvents is the number of events from which a stream's mean time per step is known.
	minStepEvents = 8
	// maxCallerShare is the share of a stream's duration in which the caller may keep the router from reading it. Of a
	// stream that its caller reads more slowly, the time per step is the caller's, not the server's.
	maxCallerShare = 0.1
)

// stepTimer measures the mean time between the events of a stream.
type stepTimer struct {
	events          int
	firstAt, lastAt time.Time
	// callerTime is the time between an event and the search for the next one.
	callerTime time.Duration
}

// event records that an event was read.
func (s *stepTimer) event(now time.Time) {
	if s.events == 0 {
		s.firstAt = now
	}
	s.events++
	s.lastAt = now
}

// next records that the next event is awaited.
func (s *stepTimer) next(now time.Time) {
	if s.events > 0 {
		s.callerTime += now.Sub(s.lastAt)
	}
}

// stepTime returns the mean time between two events, or 0 if unknown.
func (s *stepTimer) stepTime() time.Duration {
	duration := s.lastAt.Sub(s.firstAt)
	if s.events < minStepEvents || float64(s.callerTime) > maxCallerShare*float64(duration) {
		return 0
	}
	return duration / time.Duration(s.events-1)
}

// addTimes adds to the result of a send how long the server took, and the work figure of a whole answer. That of a
// stream is as old as its beginning.
func (a *attempt) addTimes(now time.Time, r *figbalancer.Result, metadata AnswerMetadata, err error) {
	if a.steps.events > 0 {
		r.StepTime = a.steps.stepTime()
		return
	}
	r.WorkPercent = metadata.WorkPercent
	if err == nil && a.server.Role != figview.Decode {
		r.Took = now.Sub(a.startedAt)
	}
}
