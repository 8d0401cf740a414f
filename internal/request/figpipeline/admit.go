package figpipeline

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

const (
	// unavailableWait is how long a request waits for a budget that can't be spent
	// from; it leaves most of the time to the first token.
	unavailableWait = 500 * time.Millisecond
	// unavailablePause is the time between two asks.
	unavailablePause = 50 * time.Millisecond
)

// admit reserves the cost of the call. The reservation is settled on what was
// used when the request ends, however it ends.
func (x *run) admit(ctx context.Context) bool {
	if x.Account == nil {
		return x.life.Advance(figlifecycle.Admitted)
	}
	res, err := x.reserve(ctx)
	if err != nil {
		x.life.End(budgetCause(err))
		return false
	}
	x.life.Hold("budget", func() { res.Settle(x.used()) })
	return x.life.Advance(figlifecycle.Admitted)
}

// reserve asks the budget, again for a short while if it can't be spent from
// right now: a holder that is just being replaced, or a view that is being
// confirmed, is no reason to refuse a caller who is within the rate.
func (x *run) reserve(ctx context.Context) (*figbudget.Reservation, error) {
	until := x.Clock.Now().Add(unavailableWait)
	for {
		res, err := x.Reserve(ctx, x.Account.ID, x.cost())
		var r *figbudget.Refusal
		if !errors.As(err, &r) || r.Reason != figbudget.Unavailable || x.Clock.Now().After(until) {
			return res, err
		}
		if x.Timer.Sleep(ctx, unavailablePause) != nil {
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

// used returns what the request is charged in the end: nothing if no server can
// have worked on it, else the prompt and the tokens that were generated.
func (x *run) used() int64 {
	if !x.sent.Load() {
		return 0
	}
	if x.Model == nil {
		return x.cost()
	}
	prompt := x.promptTokens.Load()
	if prompt == 0 {
		prompt = x.Model.PromptTokens
	}
	return prompt + x.outputTokens.Load()
}
