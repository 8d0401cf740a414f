package figqueue

import (
	"context"
	"time"
)

// newEntry returns the entry of an item. A further attempt keeps the place that the arrival of its caller's first attempt
// gives it. It isn't put into the class of late requests only because its target has passed: it stands behind the
// requests of its importance that are on time. A caller that returns before the time that it was told counts as one that
// arrives now, behind those on time.
func (s *scheduler) newEntry(ctx context.Context, item Item, now time.Time) *entry {
	item, outside := bounded(item, now)
	if outside {
		s.counters.Bounded++
	}
	e := &entry{item: item, ctx: ctx, enqueuedAt: now, arrivedAt: item.ArrivedAt, done: make(chan struct{})}
	s.counters.PromisesMissed += int64(s.ledger.expire(now))
	if now.Sub(item.ArrivedAt) < minAge {
		return e
	}
	e.returning = true
	due, early := s.returned(&item, now)
	switch {
	case early:
		s.counters.ReturnsEarly++
		e.late, e.notBefore = true, due
		e.arrivedAt = now
	case item.Priority == classLate:
		e.late = true
		e.item.Priority = classNormal
	}
	return e
}

// returned returns the time that the caller of an item was told, and whether that is still to come. The promise ends with
// it, except for a probe, which is followed by another item of the same attempt.
func (s *scheduler) returned(item *Item, now time.Time) (due time.Time, early bool) {
	i := s.ledger.find(item)
	if i < 0 {
		return time.Time{}, false
	}
	due = s.ledger.promises[i].due
	early = now.Before(due.Add(-dueTolerance))
	if !item.Probe {
		s.ledger.keep(i)
		if !early {
			s.counters.PromisesKept++
		}
	}
	return due, early
}

// endProbe ends the promise of a probe that was placed.
func (s *scheduler) endProbe(e *entry) {
	if !e.item.Probe || !e.returning {
		return
	}
	if i := s.ledger.find(&e.item); i >= 0 {
		s.ledger.keep(i)
		s.counters.PromisesKept++
	}
}

// refusalOf returns the refusal of an entry that doesn't wait any more, and records when its caller was told to return.
func (s *scheduler) refusalOf(e *entry, reason Reason) *Refusal {
	item := &e.item
	s.counters.Refused[reason]++
	ahead, promised := s.waitingTokens(item.Importance), s.ledger.promised(item.Importance)
	wait := max(s.timeAt(item.Importance, float64(ahead)+promised), minRetryAfter, e.notBefore.Sub(s.now))
	r := &Refusal{
		Account: item.Account, Reason: reason, RetryAfter: min(wait, maxRetryAfter), Importance: item.Importance,
		Tokens: item.Tokens, Ahead: ahead, Promised: int64(promised),
	}
	if !s.placedLast.IsZero() {
		r.SincePlaced = s.now.Sub(s.placedLast)
	}
	waitEnded := !item.Deadline.IsZero() && !s.now.Before(item.Deadline)
	if item.Probe || item.Tokens == 0 || reason == Unplaceable || reason == ContextDone && !waitEnded {
		return r
	}
	p := promise{
		account: item.Account, importance: item.Importance, tokens: item.Tokens, arrivedAt: item.ArrivedAt,
		due: s.now.Add(r.RetryAfter),
	}
	if !s.ledger.record(p) {
		s.counters.PromisesDropped++
	}
	return r
}

// waitingTokens returns the tokens of the waiting requests of at least the given importance.
func (s *scheduler) waitingTokens(importance int) int64 {
	sum := int64(0)
	for _, n := range s.tokensAt[:importance+1] {
		sum += n
	}
	return sum
}

// timeAt returns how long placing tokens takes for requests of an importance, at the measured rate less that of the
// requests that are more important, but at least at the floor. It is zero while the rate isn't known.
func (s *scheduler) timeAt(importance int, tokens float64) time.Duration {
	if s.rate.tokens <= 0 {
		return 0
	}
	above := 0.0
	for _, n := range s.placedAt[:importance] {
		above += n
	}
	return s.rate.timeFor(tokens / max(1-above/s.rate.tokens, floorFraction))
}
