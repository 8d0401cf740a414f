package figqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused.
type Reason uint8

const (
	// Full means that the queue is full.
	QueueFull Reason = iota
	// AccountFull means that the account's part of the queue is full.
	AccountQueueFull
	// Late means that the deadline has passed or can't be met.
	DeadlineUnmet
	// Unplaceable means that Place has rejected the request.
	Unplaceable
	// Ended means that the caller's context ended first.
	Ended
)

// String returns the reason as metrics write it.
func (r Reason) String() string {
	return [...]string{"queueFull", "accountQueueFull", "deadline", "unplaceable", "ended"}[r]
}

// MarshalText lets JSON show counts by name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Refusal is the error of a request that was not placed.
type Refusal struct {
	// Account is the client account.
	Account string
	// Reason says why.
	Reason Reason
	// RetryAfter is the time after which the queue has worked off what waits
	// now; zero if that isn't known.
	RetryAfter time.Duration
}

// Error names account and reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("queue for %s: %s", r.Account, r.Reason)
}
