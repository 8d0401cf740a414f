package figreservation

import "time"

const (
	// overduePart is the least time that a running request is expected to last still, as a part of the mean.
	overduePart = 8
	// spread is how many mean absolute deviations below the mean the shortest durations are: 2.4 standard deviations of a
	// normal distribution, and more than the whole range of a uniform one.
	spread = 3
	// farAway is the time of room of an engine that is not considered.
	farAway = 1 << 62
)

// end is when a running request is expected to end, and what it frees.
type end struct {
	left   time.Duration
	tokens int64
}

// usual returns the mean duration of requests at an engine.
func (b *Book) usual(e *engine) time.Duration { return b.atEngine(e, b.durations.mean) }

// atEngine returns a duration in seconds as it is at an engine.
func (b *Book) atEngine(e *engine, seconds float64) time.Duration {
	return time.Duration(seconds * e.slownessFactor() * float64(time.Second))
}

// slownessFactor returns the duration of requests at the engine as a multiple of the pool's mean.
func (e *engine) slownessFactor() float64 {
	if e.slowness.count < minMeasuredAtEngine {
		return 1
	}
	return min(max(e.slowness.mean, minSlowness), maxSlowness)
}

// expectedIn returns when an engine is expected to have room for need tokens if nothing more is placed there.
func (b *Book) expectedIn(now time.Time, e *engine, need int64) time.Duration {
	free, need := b.Usable-e.held, min(max(need, 0), b.Usable)
	if e.held <= 0 || free >= need {
		return 0
	}
	at, usual := b.offset(now), b.usual(e)
	ends := b.ends[:0]
	for _, p := range e.running {
		ends = insert(ends, end{p.expectedLeft(at, usual), p.tokens})
	}
	b.ends = ends
	return roomIn(ends, free, need)
}

// soonestIn is like expectedIn if all that runs there lasts as short as the shortest requests.
func (b *Book) soonestIn(now time.Time, e *engine, need int64) time.Duration {
	free, need := b.Usable-e.held, min(max(need, 0), b.Usable)
	if e.held <= 0 || free >= need {
		return 0
	}
	at, shortest := b.offset(now), b.atEngine(e, b.durations.mean-spread*b.durations.deviation)
	ends := b.ends[:0]
	for _, p := range e.running {
		ends = insert(ends, end{p.shortestLeft(at, shortest), p.tokens})
	}
	b.ends = ends
	return roomIn(ends, free, need)
}

// insert adds an end in order. The requests are nearly in the order of their ends, in which an insertion sort takes linear
// time.
func insert(ends []end, x end) []end {
	ends = append(ends, x)
	for i := len(ends) - 1; i > 0 && ends[i].left < ends[i-1].left; i-- {
		ends[i], ends[i-1] = ends[i-1], ends[i]
	}
	return ends
}

// roomIn returns when free memory has grown to need by the ends of requests.
func roomIn(ends []end, free, need int64) time.Duration {
	for i := range ends {
		if free += ends[i].tokens; free >= need {
			return ends[i].left
		}
	}
	return farAway // the memory has been declared smaller than what runs
}

// expectedLeft returns how long a request is expected to run still. One that has run longer than the mean is expected to
// last as long again as it has lasted beyond it, so that one whose end is lost counts less and less.
func (p *Placement) expectedLeft(at, usual time.Duration) time.Duration {
	age := max(at-p.startedAt, 0)
	if p.adopted {
		age += usual / 2
	}
	left := usual - age
	if least := usual / overduePart; left < least {
		left = max(least, age-usual)
	}
	return min(left, max(p.until-at, 0))
}

// shortestLeft returns how soon a request may end that lasts as short as the shortest do.
func (p *Placement) shortestLeft(at, shortest time.Duration) time.Duration {
	if p.adopted {
		return 0
	}
	return min(max(shortest-max(at-p.startedAt, 0), 0), max(p.until-at, 0))
}

// offset returns a time as the time since the first one, bounded so that differences don't overflow.
func (b *Book) offset(t time.Time) time.Duration {
	if b.base.IsZero() {
		b.base = t
	}
	return min(max(t.Sub(b.base), -farAway/2), farAway/2)
}

// wellFounded reports whether enough was measured, lately, to decide anything.
func (b *Book) wellFounded(now time.Time) bool {
	return b.Usable > 0 && b.needs.count >= minMeasured && b.durations.count >= minMeasured && now.Sub(b.measuredAt) <= maxAge
}

// IsLarge reports whether a request needs so much more than the mean that an engine is reserved for it.
func (b *Book) IsLarge(now time.Time, need int64) bool {
	return b.wellFounded(now) && float64(need) > max(b.largeFactor*b.needs.mean, largeShare*float64(b.Usable))
}

// Age returns the age of the newest measurement.
func (b *Book) Age(now time.Time) time.Duration { return now.Sub(b.measuredAt) }
