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
)

// String returns the reason's name in metrics and status.
func (r Reason) String() string {
	return [...]string{"queueFull", "accountQueueFull", "deadline", "unplaceable", "ended"}[r]
}

// MarshalText returns the name, so that counts by reason have it as their key in JSON.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Refusal is the error of a request that was not placed.
type Refusal struct {
	// Account is the client account of the request.
	Account string
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter estimates how long placing all requests that wait now takes, from 100 ms to 30 s; it is 100 ms if the
	// rate isn't known. It is zero only if the caller's context had ended before the request was queued.
	RetryAfter time.Duration
}

// Error returns a text with the account and the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request of account %s refused by the queue: %s", r.Account, r.Reason)
}
