package figreservation

import (
	"iter"
	"slices"
	"time"
)

const (
	// maxReserved bounds the reservations of a pool, and reservedPart the engines that are reserved, as a part of all, so
	// that most of the pool's memory remains in use.
	maxReserved  = 16
	reservedPart = 3
	// MaxTime bounds a reservation, from its making to the return of its caller. Callers come back after 4.6 s at most.
	MaxTime = 5 * time.Second
	// failPause is how long no reservation is made on an engine that has failed or refused a request: the refusal of an
	// engine whose role changes repeats for some seconds, that of a full one ends with its next request.
	failPause = time.Second
	// stuckTime is how long an engine may have room by the book that its request doesn't get: the end of a request is
	// recorded here a moment before figbalancer frees its memory.
	stuckTime = 50 * time.Millisecond
	// maxAge is the age of the newest measurement from which nothing is decided.
	maxAge = 30 * time.Second
	// returnTime is how long promised room is kept after the caller was to return: a new connection, another instance and
	// the time of an answer that was late.
	returnTime = 500 * time.Millisecond
	// minRefusalMargin and refusalPart are how far the time of room must lie beyond a request's deadline for a refusal at
	// arrival: the larger one of a time and a part of the mean duration.
	minRefusalMargin = 100 * time.Millisecond
	refusalPart      = 8
	// minRetryAfter is the least time after which a refused caller is to return.
	minRetryAfter = 100 * time.Millisecond
)

// Reservation keeps the room of one engine for one request.
type Reservation struct {
	// Lifetime identifies the engine, and Need is the memory that the request needs, in tokens.
	Lifetime string
	Need     int64
	// Free is what was free on the engine, and RoomIn when room was expected there, at MadeAt.
	Free   int64
	RoomIn time.Duration
	MadeAt time.Time
	// Until is when the reservation ends at the latest.
	Until time.Time
	// Caller is whom the room is for.
	Caller Caller

	// roomSince is since when the engine has had room that the request didn't get.
	roomSince time.Time
	// promised says that the request was refused and the room is kept for its return, claimed that it has returned.
	promised, claimed, ended bool
}

// Caller tells the requests of a pool apart as far as they differ in what they need. A caller that returns has a new request
// id; a request that is taken for another one of the same account and sizes does no harm.
type Caller struct {
	Account              string
	PromptTokens, Tokens int64
}

// Active reports whether the reservation is in force.
func (r *Reservation) Active() bool { return r != nil && !r.ended }

// lapse marks the reservation as ended; it returns false if it was.
func (r *Reservation) lapse() bool {
	if r.ended {
		return false
	}
	r.ended = true
	return true
}

// Len returns the number of reservations in force.
func (b *Book) Len() int { return len(b.reservations) }

// Reserved returns the lifetimes of the engines that are reserved.
func (b *Book) Reserved() []string {
	names := make([]string, 0, len(b.reservations))
	for _, r := range b.reservations {
		names = append(names, r.Lifetime)
	}
	return names
}

// Reserve reserves the engine that has room first for a large request that finds none and waits for the given time. It
// returns nil if the request isn't large, too many engines are reserved, or none is expected to have room in time.
func (b *Book) Reserve(now time.Time, c Caller, need int64, wait time.Duration, engines iter.Seq[string]) *Reservation {
	b.expireAt(now)
	if !b.IsLarge(now, need) || wait <= 0 || len(b.reservations) >= maxReserved {
		return nil
	}
	var best *engine
	var lifetime string
	count, soonest := 0, time.Duration(farAway)
	for name := range engines {
		count++
		e := b.engine(name)
		if e.reservation != nil || now.Before(e.failedUntil) {
			continue
		}
		// An engine that has room, but was not used, is limited by something else.
		if in := b.expectedIn(now, e, need); in > 0 && in < soonest {
			best, lifetime, soonest = e, name, in
		}
	}
	if best == nil || soonest > wait || !b.mayReserve(c.Account, count) {
		return nil
	}
	r := &Reservation{
		Lifetime: lifetime, Need: need, Free: b.Usable - best.held, RoomIn: soonest, MadeAt: now,
		Until: now.Add(min(wait, MaxTime)), Caller: c,
	}
	best.reservation = r
	b.reservations = append(b.reservations, r)
	b.Made++
	return r
}

// mayReserve reports whether another one of the given number of engines may be reserved, for an account. One account can't
// have the last reservation beside others of its own.
func (b *Book) mayReserve(account string, engines int) bool {
	bound := min(max(1, engines/reservedPart), maxReserved)
	own := 0
	for _, r := range b.reservations {
		if r.Caller.Account == account {
			own++
		}
	}
	return len(b.reservations) < bound && own < max(1, bound-1)
}

// Promise keeps room for the return of a large request that is refused because its wait is over: that of its reservation
// r, or, if it has none and mayReserve is set, of the engine that has room first. It returns the reservation and when the
// caller is to return, and nil if no room is kept.
func (b *Book) Promise(
	now time.Time, r *Reservation, c Caller, need int64, mayReserve bool, engines iter.Seq[string],
) (*Reservation, time.Duration) {
	if !r.Active() {
		if r = nil; mayReserve {
			r = b.Reserve(now, c, need, MaxTime, engines)
		}
		if r == nil {
			return nil, 0
		}
	}
	if r.claimed { // a caller that has returned once may not do so again
		return nil, 0
	}
	in := b.expectedIn(now, b.engine(r.Lifetime), r.Need)
	if in > 0 {
		// A caller that returns too early loses the room, one that returns late costs little.
		in += time.Duration(b.durations.deviation * float64(time.Second))
	}
	r.Until = now.Add(in + returnTime)
	if r.Until.After(r.MadeAt.Add(MaxTime)) {
		b.expire(r)
		return nil, 0
	}
	r.promised = true
	b.Promised++
	return r, max(in, minRetryAfter)
}

// Claim returns the reservation that was promised to a caller that returns and waits for the given time, or nil. Without
// final the promise remains if the request isn't placed.
func (b *Book) Claim(now time.Time, c Caller, wait time.Duration, final bool) *Reservation {
	b.expireAt(now)
	for _, r := range b.reservations {
		if r.promised && r.Caller == c {
			r.promised, r.claimed = false, final
			r.Until = earlier(now.Add(wait), r.MadeAt.Add(MaxTime))
			return r
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Blocked returns the engines that a request of need tokens must not use, because it would delay the request that they
// are reserved for. own is the request's reservation or nil.
func (b *Book) Blocked(now time.Time, need int64, own *Reservation) []string {
	b.expireAt(now)
	var blocked []string
	for _, r := range b.reservations {
		if r != own && !b.mayBackfill(now, r, need) {
			blocked = append(blocked, r.Lifetime)
		}
	}
	return blocked
}

// mayBackfill reports whether a request of need tokens doesn't delay the one that a reservation is for: it ends before, or
// there is room for both then.
func (b *Book) mayBackfill(now time.Time, r *Reservation, need int64) bool {
	e := b.engine(r.Lifetime)
	in := b.expectedIn(now, e, r.Need)
	longest := b.atEngine(e, b.durations.mean+b.durations.deviation)
	if longest < in {
		return true
	}
	// The slack of one usual request makes up for one end that comes later than expected.
	both := r.Need + min(max(need, 0), maxTokens)
	return both <= b.Usable && b.expectedIn(now, e, both+int64(b.needs.mean)) <= in
}

// Confirm reports whether a reservation is in force, after its request has found no room. One whose engine has had room by
// the book for stuckTime ends: something else keeps the request from using it.
func (b *Book) Confirm(now time.Time, r *Reservation) bool {
	b.expireAt(now)
	switch {
	case !r.Active():
		return false
	case b.expectedIn(now, b.engine(r.Lifetime), r.Need) > 0:
		r.roomSince = time.Time{}
	case r.roomSince.IsZero():
		r.roomSince = now
	case now.Sub(r.roomSince) >= stuckTime:
		b.Fail(now, r.Lifetime)
	}
	return r.Active()
}

// Cancel ends the reservation of a request that was refused or whose caller is gone. It reports whether it was in force.
func (b *Book) Cancel(r *Reservation) bool {
	if r == nil || !r.lapse() {
		return false
	}
	b.remove(r)
	return true
}

// Drop ends a reservation whose engine can't be used any more.
func (b *Book) Drop(r *Reservation) {
	if r.Active() {
		b.expire(r)
	}
}

// TooLate reports whether no engine can have room for a request before its wait is over, even if what runs there lasts as
// short as the shortest requests do and nothing else is waiting. It returns when room is expected.
func (b *Book) TooLate(now time.Time, need int64, wait time.Duration, engines iter.Seq[string]) (bool, time.Duration) {
	if !b.wellFounded(now) {
		return false, 0
	}
	margin := max(minRefusalMargin, time.Duration(b.durations.mean*float64(time.Second))/refusalPart)
	soonest := time.Duration(farAway)
	for name := range engines {
		e := b.engines[name]
		if e == nil || b.soonestIn(now, e, need) <= wait+margin {
			return false, 0
		}
		soonest = min(soonest, b.expectedIn(now, e, need))
	}
	if soonest == farAway {
		return false, 0
	}
	return true, soonest
}

// Free returns the largest free memory of an engine, in tokens.
func (b *Book) Free(engines iter.Seq[string]) int64 {
	free := int64(0)
	for name := range engines {
		held := int64(0)
		if e := b.engines[name]; e != nil {
			held = e.held
		}
		free = max(free, b.Usable-held)
	}
	return free
}

// expireAt ends the reservations that have reached their bound.
func (b *Book) expireAt(now time.Time) {
	for i := len(b.reservations) - 1; i >= 0; i-- {
		if r := b.reservations[i]; now.After(r.Until) {
			b.expire(r)
		}
	}
}

// expire ends a reservation that was not kept.
func (b *Book) expire(r *Reservation) {
	r.ended = true
	b.remove(r)
	b.Expired++
}

// remove frees the engine of a reservation.
func (b *Book) remove(r *Reservation) {
	if e := b.engines[r.Lifetime]; e != nil && e.reservation == r {
		e.reservation = nil
	}
	b.reservations = slices.DeleteFunc(b.reservations, func(o *Reservation) bool { return o == r })
}
