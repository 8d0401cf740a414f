package figreservation

import (
	"slices"
	"time"
)

const (
	// LargeFactor is how many times the mean need of a pool's requests a request must exceed to get a reservation, and
	// largeShare the fraction of an engine's usable memory. Smaller requests find room when one or two others end, and
	// reservations for them only kept room idle.
	LargeFactor = 2.0
	largeShare  = 0.3
	// minMeasured is the number of requests that must have arrived, and of those that must have ended, before anything is
	// decided. With fewer, the deviation of their durations isn't known.
	minMeasured = 32
	// minMeasuredAtEngine is the number of ends from which an engine's own speed counts.
	minMeasuredAtEngine = 8
	// minSlowness and maxSlowness bound the duration of requests at an engine, as a multiple of the pool's mean.
	minSlowness, maxSlowness = 0.25, 4
	// maxTokens bounds a request's size, so that sums of absurd sizes don't overflow.
	maxTokens = int64(1) << 40
	// maxDuration bounds a measured duration; requests last 30 s at most.
	maxDuration = time.Minute
	// idleTime is how long an engine without requests is remembered.
	idleTime = time.Minute
)

// Book holds what runs on the engines of one pool and the reservations there. It is not safe for concurrent use. Time
// comes as an argument.
type Book struct {
	// Usable is the memory of an engine that requests may use, in tokens.
	Usable int64
	// Counters count what has become of reservations and requests.
	Counters

	largeFactor  float64
	engines      map[string]*engine
	reservations []*Reservation
	// needs and durations are averages over arrived requests, in tokens, and over ended ones, in seconds.
	needs, durations average
	// base is the time that offsets count from.
	base time.Time
	// measuredAt is when the last duration was added.
	measuredAt time.Time
	// ends is the scratch space of expectedIn and soonestIn.
	ends []end
}

// Counters counts decisions since the Book was made.
type Counters struct {
	// Made counts reservations; Kept those whose request was placed, Expired those that reached their time bound or whose
	// engine left, failed or isn't coordinated any more.
	Made, Kept, Expired uint64
	// Promised counts the refusals after which room was kept for the return of the caller.
	Promised uint64
	// Backfilled counts requests that were placed on an engine that was reserved for another one.
	Backfilled uint64
	// RefusedAtArrival counts requests that were refused because no engine would have had room before their deadline.
	RefusedAtArrival uint64
}

// Add adds the counts of another Book.
func (c *Counters) Add(o *Counters) {
	c.Made += o.Made
	c.Kept += o.Kept
	c.Expired += o.Expired
	c.Promised += o.Promised
	c.Backfilled += o.Backfilled
	c.RefusedAtArrival += o.RefusedAtArrival
}

// engine is one lifetime of an engine.
type engine struct {
	// running is in order of start.
	running []*Placement
	held    int64
	// slowness is the average of measured durations as a multiple of the pool's mean.
	slowness    average
	reservation *Reservation
	failedUntil time.Time
	usedAt      time.Time
}

// Placement is a request that runs on an engine.
type Placement struct {
	engine *engine
	tokens int64
	// startedAt and until are the offsets of the start and of when the request is forgotten.
	startedAt, until time.Duration
	// adopted says that the start isn't known; startedAt is then when it was reported.
	adopted bool
}

// New returns an empty Book.
func New(largeFactor float64) *Book {
	return &Book{largeFactor: largeFactor, engines: map[string]*engine{}}
}

// RecordArrival adds the need of a request to the mean.
func (b *Book) RecordArrival(need int64) { b.needs.add(float64(min(max(need, 0), maxTokens))) }

// Start records that a request runs on an engine from now on, until the given time at most. own is its reservation or nil;
// it ends with this.
func (b *Book) Start(now time.Time, lifetime string, tokens int64, until time.Time, own *Reservation) *Placement {
	if own != nil && own.lapse() {
		b.remove(own)
		b.Kept++
	}
	e := b.engine(lifetime)
	if e.reservation != nil {
		b.Backfilled++
	}
	return b.add(now, e, &Placement{tokens: tokens, startedAt: b.offset(now), until: b.offset(until)})
}

// Adopt records a request that has run on an engine for an unknown time.
func (b *Book) Adopt(now time.Time, lifetime string, tokens int64, until time.Time) *Placement {
	return b.add(now, b.engine(lifetime), &Placement{tokens: tokens, startedAt: b.offset(now), until: b.offset(until), adopted: true})
}

// End records that a request doesn't run any more. measured says that it has run to its end, so that its duration counts.
// A second End does nothing.
func (b *Book) End(now time.Time, p *Placement, measured bool) {
	if p == nil || p.engine == nil {
		return
	}
	e := p.engine
	p.engine = nil
	e.held -= p.tokens
	if i := slices.Index(e.running, p); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
	}
	took := b.offset(now) - p.startedAt
	if !measured || p.adopted || took <= 0 || took > maxDuration {
		return
	}
	e.usedAt = now
	b.durations.add(took.Seconds())
	b.measuredAt = now
	if b.durations.count >= minMeasured {
		e.slowness.add(took.Seconds() / b.durations.mean)
	}
}

// Fail ends the reservation of an engine that has failed a request or refused one, and makes none there for failPause.
func (b *Book) Fail(now time.Time, lifetime string) {
	e := b.engine(lifetime)
	e.failedUntil = now.Add(failPause)
	if e.reservation != nil {
		b.expire(e.reservation)
	}
}

// Sweep ends the reservations that are over or for whose engines mayUse returns false, and forgets engines without requests.
func (b *Book) Sweep(now time.Time, mayUse func(lifetime string) bool) {
	b.expireAt(now)
	for _, r := range slices.Clone(b.reservations) {
		if !mayUse(r.Lifetime) {
			b.expire(r)
		}
	}
	for lifetime, e := range b.engines {
		if len(e.running) == 0 && e.reservation == nil && now.Sub(e.usedAt) > idleTime {
			delete(b.engines, lifetime)
		}
	}
}

// engine returns the record of an engine, which it creates if there is none.
func (b *Book) engine(lifetime string) *engine {
	e := b.engines[lifetime]
	if e == nil {
		e = &engine{}
		b.engines[lifetime] = e
	}
	return e
}

func (b *Book) add(now time.Time, e *engine, p *Placement) *Placement {
	p.engine, p.tokens = e, min(max(p.tokens, 0), maxTokens)
	e.running = append(e.running, p)
	e.held += p.tokens
	e.usedAt = now
	return p
}
