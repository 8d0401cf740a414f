package figqueue

import (
	"slices"
	"time"
)

// Reserved means that no server has capacity now and that the request keeps room that becomes free at one of them. It stays
// queued, and the next requests are tried. Beyond maxReserved requests it has the effect of NoCapacity.
const Reserved PlaceResult = Rejected + 1

// maxReserved bounds the requests that let others pass, so that a queue of large requests isn't searched through.
const maxReserved = 8

// reservedEntries holds the entries whose last Place returned Reserved. They have left their flows and have been charged.
type reservedEntries struct {
	// waiting are tried again at the next Wake or Tick, before all others; next are to be tried now.
	waiting, next []*entry
}

// retry makes all entries to be tried now.
func (r *reservedEntries) retry() {
	r.next = append(r.next, r.waiting...)
	r.waiting = nil
}

// len returns the number of entries.
func (r *reservedEntries) len() int { return len(r.waiting) + len(r.next) }

// remove removes an entry, and returns false if it isn't there.
func (r *reservedEntries) remove(e *entry) bool {
	n := r.len()
	is := func(o *entry) bool { return o == e }
	r.waiting, r.next = slices.DeleteFunc(r.waiting, is), slices.DeleteFunc(r.next, is)
	return r.len() < n
}

// keepReserved keeps an entry whose Place returned Reserved. It returns false if there are too many. The caller holds q.mu.
func (q *Queue) keepReserved(e *entry, wakes uint64) bool {
	if q.reserved.len() >= maxReserved {
		return false
	}
	if wakes == q.wakes {
		q.reserved.waiting = append(q.reserved.waiting, e)
	} else { // capacity may have been freed after Place checked for it
		q.reserved.next = append(q.reserved.next, e)
	}
	q.signalNotEmpty()
	return true
}

// next returns the entry to be tried next: a reserved one, or the first one of the scheduler. The caller holds q.mu.
func (q *Queue) next(now time.Time) *entry {
	if len(q.reserved.next) > 0 {
		e := q.reserved.next[0]
		q.reserved.next = q.reserved.next[1:]
		return e
	}
	return q.scheduler.pop(now)
}

// refuseReserved refuses an entry if it is a reserved one. The caller holds q.mu.
func (q *Queue) refuseReserved(e *entry, reason Reason) {
	if q.reserved.remove(e) {
		q.scheduler.refusePopped(e, reason)
	}
}

// expireReserved refuses the reserved entries whose deadline has passed, and makes the others to be tried now. The caller
// holds q.mu.
func (q *Queue) expireReserved(now time.Time) {
	q.reserved.retry()
	for _, e := range slices.Clone(q.reserved.next) {
		if !e.item.Deadline.IsZero() && !now.Before(e.item.Deadline) {
			q.refuseReserved(e, DeadlineUnmet)
		}
	}
}
