package figbudget

import (
	"fmt"
	"time"
)

// Reason says why a reservation was refused.
type Reason uint8

const (
	// OverBudget means that the budget has too little left. RetryAfter says when
	// it will have enough if nobody else spends.
	OverBudget Reason = iota
	// AboveBurst means that the cost is above the whole burst: it can never be
	// admitted under the limits in force.
	AboveBurst
	// Unavailable means that a part of the budget could not be spent now: its
	// holder can't be reached, isn't sure of its place, or has only just gained it.
	Unavailable
	// UnknownAccount means that no such client account is declared.
	UnknownAccount
	// Ended means that the caller's context ended first.
	ContextEnded
)

// String returns the reason as metrics write it.
func (r Reason) String() string {
	return [...]string{"overBudget", "aboveBurst", "unavailable", "unknownAccount", "ended"}[r]
}

// Refusal is the error of a reservation that was not made. Nothing is charged.
type Refusal struct {
	// Account is the client account.
	Account string
	// Reason says why.
	Reason Reason
	// RetryAfter is the time after which a new attempt may succeed; zero if none will.
	RetryAfter time.Duration
}

// Error names account and reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget of %s: %s", r.Account, r.Reason)
}

const (
	// leastRetry is the shortest pause that a caller is told.
	minRetryAfter = 100 * time.Millisecond
	// unavailableRetry is the pause that a caller is told when holders are missing.
	unavailableRetryAfter = time.Second
)

// refuse returns the refusal of a cost of which short tokens are missing.
func refuse(account string, reason Reason, missing int64, l Limits) *Refusal {
	r := &Refusal{Account: account, Reason: reason}
	switch {
	case reason == Unavailable:
		r.RetryAfter = unavailableRetryAfter
	case reason == OverBudget && l.TokensPerSecond > 0:
		wait := float64(missing) / float64(l.TokensPerSecond) * float64(time.Second)
		r.RetryAfter = max(minRetryAfter, time.Duration(wait))
	}
	return r
}
