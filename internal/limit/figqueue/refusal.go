package figqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

const (
	// QueueFull means that the queue is full, or that the request was evicted from the full queue for another account.
	QueueFull Reason = iota
	// AccountQueueFull means that the account has as many requests or bytes waiting as it may.
	AccountQueueFull
	// DeadlineUnmet means that the deadline has passed or that the estimated wait exceeds it.
	DeadlineUnmet
	// Unplaceable means that Place returned Rejected.
	Unplaceable
	// ContextDone means that the caller's context ended before the request was placed.
	ContextDone
	// Displaced means that the request waited and was refused because more important ones need its place or go before it
	// until its deadline.
	Displaced
)

// String returns the reason's name in metrics and status.
func (r Reason) String() string {
	return [...]string{"queueFull", "accountQueueFull", "deadline", "unplaceable", "ended", "displaced"}[r]
}

// MarshalText returns the name, so that counts by reason have it as their key in JSON.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Refusal is the error of a request that was not placed.
type Refusal struct {
	// Account is the client account of the request.
	Account string
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter estimates when there is room for the request, from 100 ms to 30 s: after what waits of at least its
	// importance and what was promised to such requests. It is 100 ms if the rate isn't known. It is zero only if the
	// caller's context had ended before the request was queued.
	RetryAfter time.Duration
	// Importance and Tokens are the request's own. Ahead and Promised are the tokens of at least its importance that wait
	// and that refused callers are expected back with.
	Importance              int
	Tokens, Ahead, Promised int64
	// SincePlaced is the time since the queue placed its last request, and so the age of the rate that RetryAfter is
	// computed from; 0 if it has placed none.
	SincePlaced time.Duration
}

// Error returns a text with the account, the reason and the figures behind it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request of account %s refused by the queue: %s, importance %d, needs %d tokens, %d wait ahead, %d promised, last placed %v ago",
		r.Account, r.Reason, r.Importance, r.Tokens, r.Ahead, r.Promised, r.SincePlaced.Round(time.Millisecond))
}
