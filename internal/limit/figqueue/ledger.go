package figqueue

import (
	"slices"
	"time"
)

const (
	// maxPromises bounds the promises that a ledger holds; further ones are not recorded. It is a few seconds of the
	// refusals of an overloaded pool.
	maxPromises = 1024
	// promiseGrace is how long after its time a promise ends: by then its caller has gone elsewhere.
	promiseGrace = time.Second
	// dueTolerance is how much before its time a caller may return: clocks run unevenly and delays differ.
	dueTolerance = 50 * time.Millisecond
	// arrivalTolerance is how much the arrival of a first attempt may seem to differ between two attempts, because it is
	// computed from the caller's timeout and the time that the attempt took to the queue.
	arrivalTolerance = 200 * time.Millisecond
	// returnWeight is the weight of the newest outcome in the average of kept promises.
	returnWeight = 0.05
	// minAge is the age from which an item counts as a caller's further attempt.
	minAge = time.Millisecond
)

// promise is the time at which a refused request was told to return.
type promise struct {
	account    string
	importance int
	tokens     int64
	arrivedAt  time.Time
	due        time.Time
}

// ledger holds the promises whose callers haven't returned yet. Its loss makes times less exact and nothing else: the
// order of requests comes with them.
type ledger struct {
	promises []promise
	// tokensAt is the sum of the tokens by importance.
	tokensAt [levels]int64
	// returned is the average of the promises whose callers returned, from 0 to 1. It is 0 until a caller has returned,
	// so that times are as without a ledger where callers don't return.
	returned float64
	// nextEnd is no later than the end of the first promise that ends.
	nextEnd time.Time
}

// record adds a promise. It returns false if the ledger is full.
func (l *ledger) record(p promise) bool {
	if len(l.promises) >= maxPromises {
		return false
	}
	end := p.due.Add(promiseGrace)
	if len(l.promises) == 0 || end.Before(l.nextEnd) {
		l.nextEnd = end
	}
	l.promises = append(l.promises, p)
	l.tokensAt[p.importance] += p.tokens
	return true
}

// find returns the index of the promise that was given to the caller of an item, or -1. Of several that fit it returns
// the first one due, so that no caller counts as early because of another one's promise.
func (l *ledger) find(item *Item) int {
	found := -1
	for i := range l.promises {
		p := &l.promises[i]
		if p.tokens == item.Tokens && p.account == item.Account &&
			p.arrivedAt.Sub(item.ArrivedAt).Abs() <= arrivalTolerance &&
			(found < 0 || p.due.Before(l.promises[found].due)) {
			found = i
		}
	}
	return found
}

// keep removes the promise at index i because its caller has returned.
func (l *ledger) keep(i int) {
	l.returned += (1 - l.returned) * returnWeight
	l.tokensAt[l.promises[i].importance] -= l.promises[i].tokens
	last := len(l.promises) - 1
	l.promises[i] = l.promises[last]
	l.promises[last] = promise{}
	l.promises = l.promises[:last]
}

// expire removes the promises that have ended, and returns their number.
func (l *ledger) expire(now time.Time) int {
	if len(l.promises) == 0 || now.Before(l.nextEnd) {
		return 0
	}
	before := len(l.promises)
	var next time.Time
	l.promises = slices.DeleteFunc(l.promises, func(p promise) bool {
		end := p.due.Add(promiseGrace)
		if !now.Before(end) {
			l.returned -= l.returned * returnWeight
			l.tokensAt[p.importance] -= p.tokens
			return true
		}
		if next.IsZero() || end.Before(next) {
			next = end
		}
		return false
	})
	l.nextEnd = next
	return before - len(l.promises)
}

// promised returns the tokens that are expected back of those promised to requests of at least the given importance.
func (l *ledger) promised(importance int) float64 {
	sum := int64(0)
	for _, n := range l.tokensAt[:importance+1] {
		sum += n
	}
	return float64(sum) * l.returned
}
