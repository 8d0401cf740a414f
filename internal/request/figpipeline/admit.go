package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

const (
	// budgetRetryTimeout is how long a request waits for a budget that can't be spent
	// from; it leaves most of the time to the first token.
	budgetRetryTimeout = 500 * time.Millisecond
	// budgetRetryInterval is the time between two asks.
	budgetRetryInterval = 50 * time.Millisecond
)

// admit reserves the cost of the call. The reservation is settled on what was
// used when the request ends, however it ends.
func (x *activeRequest) admit(ctx context.Context) bool {
	if x.Account == nil {
		return x.lifecycle.Advance(figlifecycle.Admitted)
	}
	res, err := x.reserve(ctx)
	if err != nil {
		x.lifecycle.End(budgetCause(err))
		return false
	}
	x.lifecycle.Hold("budget", func() { res.Settle(x.finalCharge()) })
	return x.lifecycle.Advance(figlifecycle.Admitted)
}

// reserve asks the budget, again for a short while if it can't be spent from
// right now: a holder that is just being replaced, or a view that is being
// confirmed, is no reason to refuse a caller who is within the rate.
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

// finalCharge returns what the request is charged in the end: nothing if no server can
// have worked on it, else the prompt and the tokens that were generated.
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
