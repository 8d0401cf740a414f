package figcoordinator

import (
	"fmt"
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/place/figreservation"
)

const (
	// minReservingWait is the wait from which a request gets a reservation or is refused at arrival. A shorter one only
	// asks for room that is there now, as with quickWait.
	minReservingWait = 50 * time.Millisecond
	// returnPriority is the least priority in the queue of a request that room is reserved for when it arrives. It takes no
	// room that others could use.
	returnPriority = 1
	// minPromisePriority and maxPromisePriority are the priorities of requests that get a promise: not those beyond their
	// account's rate, nor those that were sent to a server already, whose callers wait.
	minPromisePriority, maxPromisePriority = -1, 0
	// maxDecisionLines bounds the log lines about reservations and refusals at arrival per second.
	maxDecisionLines = 20
)

// rooms holds what runs on the engines of each pool, and the reservations there. It is safe for concurrent use. Its lock is
// taken last.
type rooms struct {
	mu    sync.Mutex
	books map[string]*figreservation.Book
	// largeFactor is figreservation.LargeFactor, except in tests.
	largeFactor float64
	// lineSecond and lines count the log lines of the current second.
	lineSecond int64
	lines      int
}

// attempt is what is remembered of a request between two tries to place it.
type attempt struct {
	request  *Request
	answer   *Answer
	deadline time.Time
	// need is the memory that the request and its expected output need, in tokens.
	need        int64
	reservation *figreservation.Reservation
	// reservedAt is when the request first got a reservation; the zero time if it has had none.
	reservedAt time.Time
	// returned says that room was reserved when the request arrived.
	returned bool
	// promised says that the request was refused and room is kept for its return.
	promised bool
}

// book returns the book of a pool of engines, or nil if the pool has none. r.mu must be held.
func (r *rooms) book(v *figcatalogue.View, pool string) *figreservation.Book {
	if v.Table == nil {
		return nil
	}
	usable := figbalancer.UsableTokens(v.Table.Pool(pool).Engine)
	if usable == 0 {
		return nil
	}
	b := r.books[pool]
	if b == nil {
		b = figreservation.New(r.largeFactor)
		r.books[pool] = b
	}
	b.Usable = usable
	return b
}

// engines yields the lifetimes of the engines on which this instance may place a request.
func (c *Coordinator) engines(v *figcatalogue.View, q *Request) iter.Seq[string] {
	return func(yield func(string) bool) {
		servers, mayPlace := v.Servers[q.Pool], c.Shares.MayPlaceNow(v, q.Pool)
		for i := range servers {
			s := &servers[i]
			if s.Role != figview.Decode || !v.Usable(s) {
				continue
			}
			lifetime := s.Lifetime()
			if mayPlace(lifetime) && !slices.Contains(q.Excluded, lifetime) && !yield(lifetime) {
				return
			}
		}
	}
}

// arrive records the size of a request. It returns a refusal if no engine can have room for it before its deadline.
func (c *Coordinator) arrive(a *attempt) error {
	now, v, q := c.Clock.Now(), c.View(), a.request
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	b := c.rooms.book(v, q.Pool)
	if b == nil {
		return nil
	}
	a.need = q.Tokens + c.outputs.expected(q.Pool, v.Table.Pool(q.Pool).Engine)
	wait := a.deadline.Sub(now)
	if a.reservation = b.Claim(now, callerOf(q), wait, wait >= minReservingWait); a.reservation != nil {
		a.reservedAt, a.returned = a.reservation.MadeAt, true
	}
	// Where a pool has several coordinators, each request first asks them for room that is there now.
	_, engines := c.Shares.Coordinators(v, q.Pool)
	quick := wait < minReservingWait
	if quick == (len(engines) > 1) {
		b.RecordArrival(a.need)
	}
	if quick || a.reservation != nil {
		return nil
	}
	late, in := b.TooLate(now, a.need, wait, c.engines(v, q))
	if !late || c.adopting(q.Pool) {
		return nil
	}
	b.RefusedAtArrival++
	free := b.Free(c.engines(v, q))
	a.answer.Reason = fmt.Sprintf("refused at arrival: no engine of pool %s has room for %d tokens before the deadline in %v; %d are free, room is expected in %v",
		q.Pool, a.need, wait.Round(time.Millisecond), free, in.Round(time.Millisecond))
	c.rooms.log(now, "request refused at arrival", q, "needed", a.need, "free", free, "expected", in, "wait", wait, "age", b.Age(now))
	return &figqueue.Refusal{Account: q.Account, Reason: figqueue.DeadlineUnmet, RetryAfter: in}
}

// isGone reports whether the caller has ended a request.
func (c *Coordinator) isGone(r *request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.ended
}

// blocked returns the engines whose room is reserved for others than a request.
func (c *Coordinator) blocked(now time.Time, v *figcatalogue.View, a *attempt) []string {
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	if b := c.rooms.book(v, a.request.Pool); b != nil {
		return b.Blocked(now, a.need, a.reservation)
	}
	return nil
}

// pickUnreserved picks a server whose room isn't reserved for another request. Reserved engines count as full.
func (c *Coordinator) pickUnreserved(now time.Time, v *figcatalogue.View, a *attempt, query *figbalancer.Query) (*figcatalogue.Server, error) {
	blocked := c.blocked(now, v, a)
	if len(blocked) == 0 {
		return c.picker.Pick(now, query)
	}
	only, skipped := query.Only, false
	query.Only = func(s *figcatalogue.Server) bool {
		if !only(s) {
			return false
		}
		lifetime := s.Lifetime()
		reserved := slices.Contains(blocked, lifetime)
		skipped = skipped || reserved && !slices.Contains(query.ExcludedLifetimes, lifetime)
		return !reserved
	}
	s, err := c.picker.Pick(now, query)
	var none *figbalancer.NoServerError
	if skipped && errors.As(err, &none) && !none.NoCapacity {
		none.NoCapacity, none.Reason = true, "the servers of pool "+query.Pool+" with room are reserved for larger requests"
	}
	return s, err
}

// reserve reserves an engine for a large request that found no room, and returns the result of the try to place it.
func (c *Coordinator) reserve(now time.Time, v *figcatalogue.View, a *attempt) figqueue.PlaceResult {
	q := a.request
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	b := c.rooms.book(v, q.Pool)
	if b == nil || !a.reservation.Active() && (!b.IsLarge(now, a.need) || q.Wait < minReservingWait) {
		return figqueue.NoCapacity
	}
	if a.reservation.Active() && !c.mayUse(v, q.Pool, a.reservation.Lifetime) {
		b.Drop(a.reservation)
	}
	if b.Confirm(now, a.reservation) {
		return figqueue.Reserved
	}
	if r := a.reservation; r != nil {
		c.rooms.log(now, "reservation lost", q, "engine", r.Lifetime, "needed", r.Need, "held", now.Sub(r.MadeAt), "age", b.Age(now))
		a.reservation = nil
	}
	if !a.reservedAt.IsZero() && now.Sub(a.reservedAt) >= figreservation.MaxTime {
		return figqueue.NoCapacity // no second reservation beyond the bound
	}
	r := b.Reserve(now, callerOf(q), a.need, a.deadline.Sub(now), c.engines(v, q))
	if r == nil {
		return figqueue.NoCapacity
	}
	a.reservation = r
	if a.reservedAt.IsZero() {
		a.reservedAt = now
	}
	c.rooms.log(now, "engine reserved", q, "engine", r.Lifetime, "needed", r.Need, "free", r.Free, "expected", r.RoomIn,
		"until", r.Until.Sub(now), "age", b.Age(now))
	return figqueue.Reserved
}

// mayUse reports whether this instance may still place a request on an engine.
func (c *Coordinator) mayUse(v *figcatalogue.View, pool, lifetime string) bool {
	s, ok := v.Find(pool, lifetime)
	return ok && v.Usable(s) && s.Role == figview.Decode && c.Shares.MayPlace(v, pool, lifetime)
}

// depart ends the reservation of a request that was refused. If that was for lack of room and its caller is still there, the
// room is kept for its return, and the answer says when that is.
func (c *Coordinator) depart(a *attempt, full, gone bool) {
	now, v, q := c.Clock.Now(), c.View(), a.request
	c.rooms.mu.Lock()
	b := c.rooms.book(v, q.Pool)
	if b == nil {
		c.rooms.mu.Unlock()
		return
	}
	// A caller returns once, so that a second attempt gets no promise. A quick question only keeps one.
	quick := q.Wait < minReservingWait
	mayPromise := q.Age <= 0 && q.Priority >= minPromisePriority && q.Priority <= maxPromisePriority
	if full && !gone && (quick || mayPromise) {
		if r, in := b.Promise(now, a.reservation, callerOf(q), a.need, !quick, c.engines(v, q)); r != nil {
			a.answer.RetryAfter, a.promised = in, true
			c.rooms.log(now, "room kept for a return", q, "engine", r.Lifetime, "needed", r.Need, "free", r.Free, "expected", in,
				"age", b.Age(now))
		}
	}
	ended := !a.promised && b.Cancel(a.reservation)
	c.rooms.mu.Unlock()
	if ended {
		c.queues.ForPool(q.Pool).Wake()
	}
}

// callerOf returns what a returning request has in common with its first attempt.
func callerOf(q *Request) figreservation.Caller {
	return figreservation.Caller{Account: q.Account, PromptTokens: q.PromptTokens, Tokens: q.Tokens}
}

// begin records that a request runs on an engine, which ends its reservation.
func (c *Coordinator) begin(now time.Time, v *figcatalogue.View, a *attempt, p *placed, s *figcatalogue.Server) {
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	b := c.rooms.book(v, p.pool)
	if b == nil || s.Role != figview.Decode {
		return
	}
	elsewhere := a.reservation.Active() && a.reservation.Lifetime != s.Lifetime()
	p.room, p.lifetime = b.Start(now, s.Lifetime(), a.need, p.until, a.reservation), s.Lifetime()
	if elsewhere {
		c.Timer.After(0, c.queues.ForPool(p.pool).Wake)
	}
	if !a.reservedAt.IsZero() {
		a.answer.Reserved = true
		c.rooms.log(now, "placed after a reservation", a.request, "engine", p.lifetime, "needed", a.need,
			"waited", now.Sub(a.reservedAt), "age", b.Age(now))
	}
}

// adopt records a request that runs on an engine already.
func (r *rooms) adopt(now time.Time, v *figcatalogue.View, p *placed, s *figcatalogue.Server, tokens int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b := r.book(v, p.pool); b != nil && s.Role == figview.Decode {
		p.room, p.lifetime = b.Adopt(now, s.Lifetime(), tokens, p.until), s.Lifetime()
	}
}

// end records that a placement has ended with a result, or without one if e is nil.
func (r *rooms) end(now time.Time, p *placed, e *End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.books[p.pool]
	if b == nil || p.room == nil {
		return
	}
	failed := e != nil && !e.NoResult &&
		(e.Result.Failed || e.Result.Unreachable || e.Result.NoCapacity || e.Result.WrongServer || e.Result.Leaving)
	b.End(now, p.room, e != nil && !e.NoResult && !failed)
	if failed {
		b.Fail(now, p.lifetime)
	}
}

// sweepRooms ends reservations that are over or whose engine can't be used any more, and forgets pools that aren't declared
// any more.
func (c *Coordinator) sweepRooms(now time.Time) {
	v := c.View()
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	for pool, b := range c.rooms.books {
		b.Sweep(now, func(lifetime string) bool { return c.mayUse(v, pool, lifetime) })
		if v.Table != nil && c.rooms.book(v, pool) == nil && b.Len() == 0 {
			delete(c.rooms.books, pool)
		}
	}
}

// log writes a line about a decision, unless there were maxDecisionLines in this second. r.mu must be held.
func (r *rooms) log(now time.Time, text string, q *Request, fields ...any) {
	if second := now.Unix(); second != r.lineSecond {
		r.lineSecond, r.lines = second, 0
	}
	if r.lines++; r.lines <= maxDecisionLines {
		klog.InfoS(text, append([]any{"pool", q.Pool, "instance", q.Instance, "number", q.Number}, fields...)...)
	}
}

// ReservationStatus returns the number of reservations in force and the sums of the counters of all pools.
func (c *Coordinator) ReservationStatus() (int, figreservation.Counters) {
	c.rooms.mu.Lock()
	defer c.rooms.mu.Unlock()
	active, sum := 0, figreservation.Counters{}
	for _, b := range c.rooms.books {
		active += b.Len()
		sum.Add(&b.Counters)
	}
	return active, sum
}
