package figbudget

import (
	"fmt"
	"time"
)

// Reason says why a reservation was refused.
type Reason uint8

const (
	// OverBudget means that the budget has too few tokens left. RetryAfter is the time until it has
	// enough if no other request spends from it.
	OverBudget Reason = iota
	// AboveBurst means that the cost exceeds the burst: the reservation can't succeed under the
	// current limits.
	AboveBurst
	// Unavailable means that a part of the budget can't be spent now: the holder of a slot can't be
	// reached, doesn't have a fresh view, or has only just gained the slot.
	Unavailable
	// UnknownAccount means that no such client account is declared.
	UnknownAccount
	// ContextEnded means that the caller's context ended first.
	ContextEnded
)

// String returns the reason's name in metrics.
func (r Reason) String() string {
	return [...]string{"overBudget", "aboveBurst", "unavailable", "unknownAccount", "ended"}[r]
}

// Refusal is the error of a reservation that was not made. Nothing was charged.
type Refusal struct {
	// Account is the client account.
	Account string
	// Reason says why the reservation was refused.
	Reason Reason
	// RetryAfter is the time after which a new attempt may succeed. Zero means that the refusal
	// gives no such time.
	RetryAfter time.Duration
}

// Error names the account and the reason.
func (r *Refusal) Error() string {
	return fmt.Sprintf("budget of account %s: reservation refused: %s", r.Account, r.Reason)
}

const (
	// minRetryAfter is the shortest RetryAfter of an OverBudget refusal.
	minRetryAfter = 100 * time.Millisecond
	// unavailableRetryAfter is the RetryAfter of an Unavailable refusal.
	unavailableRetryAfter = time.Second
)

// refuse returns a Refusal. missing is the number of tokens that the budget lacks for the reservation,
// from which the RetryAfter of an OverBudget refusal follows.
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
