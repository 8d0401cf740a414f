package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

const (
	// budgetRetryTimeout is how long a request is retried while its budget is unavailable. It leaves
	// most of the time until the first token is due.
	budgetRetryTimeout = 500 * time.Millisecond
	// budgetRetryInterval is the delay between two of these retries.
	budgetRetryInterval = 50 * time.Millisecond
)

// admit reserves the estimated cost of the call and returns true if the request may go on. When the
// request ends, the reservation is settled with the final charge, whatever the outcome.
func (x *activeRequest) admit(ctx context.Context) bool {
	if x.Account == nil {
		return x.lifecycle.Advance(figlifecycle.Admitted)
	}
	res, err := x.reserve(ctx)
	if err != nil {
		x.lifecycle.End(budgetCause(err))
		return false
	}
	x.lifecycle.RegisterRelease("budget", func() { res.Settle(x.finalCharge()) })
	return x.lifecycle.Advance(figlifecycle.Admitted)
}

// reserve asks for a reservation, and retries for up to budgetRetryTimeout if the budget is
// unavailable. Budgets are unavailable for a short time while the instance that holds one is being
// replaced or a fleet view is being confirmed; callers within their rate should not be refused for
// that.
func (x *activeRequest) reserve(ctx context.Context) (*figbudget.Reservation, error) {
	until := x.Clock.Now().Add(budgetRetryTimeout)
	for {
		res, err := x.Reserve(ctx, x.Account.ID, x.estimatedCost())
		var r *figbudget.Refusal
		if !errors.As(err, &r) || r.Reason != figbudget.Unavailable || x.Clock.Now().After(until) {
			return res, err
		}
		if x.Timer.Sleep(ctx, budgetRetryInterval) != nil {
			return res, err
		}
	}
}

// budgetCause returns the cause with which a request ends when Reserve returned err.
func budgetCause(err error) figlifecycle.Cause {
	var r *figbudget.Refusal
	if !errors.As(err, &r) {
		return figlifecycle.CauseOf(figlifecycle.OverBudget, err)
	}
	reason := figlifecycle.OverBudget
	switch r.Reason {
	case figbudget.AboveBurst:
		reason = figlifecycle.OverBurst
	case figbudget.Unavailable:
		reason = figlifecycle.BudgetUnavailable
	case figbudget.UnknownAccount:
		reason = figlifecycle.Unauthorized
	}
	return figlifecycle.Cause{Reason: reason, Err: err, RetryAfter: r.RetryAfter}
}

// finalCharge returns the tokens that the client account is charged: none if no server can have worked
// on the request, the fixed cost for a plain call, and the prompt plus the generated tokens for a
// model request.
func (x *activeRequest) finalCharge() int64 {
	if !x.mayHaveRun.Load() {
		return 0
	}
	if x.Model == nil {
		return x.estimatedCost()
	}
	prompt := x.promptTokens.Load()
	if prompt == 0 {
		prompt = x.Model.PromptTokens
	}
	return prompt + x.outputTokens.Load()
}
