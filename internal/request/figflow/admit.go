package figflow

import (
	"context"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/request/figlife"
)

// admit reserves the cost of the call. The reservation is settled on what was
// used when the request ends, however it ends.
func (x *run) admit(ctx context.Context) bool {
	if x.Account == nil {
		return x.life.Advance(figlife.Admitted)
	}
	res, err := x.Reserve(ctx, x.Account.ID, x.cost())
	if err != nil {
		x.life.End(budgetCause(err))
		return false
	}
	x.life.Hold("budget", func() { res.Settle(x.used()) })
	return x.life.Advance(figlife.Admitted)
}

func budgetCause(err error) figlife.Cause {
	var r *figbudget.Refusal
	if !errors.As(err, &r) {
		return figlife.CauseOf(figlife.OverBudget, err)
	}
	reason := figlife.OverBudget
	switch r.Reason {
	case figbudget.AboveBurst:
		reason = figlife.OverBurst
	case figbudget.Unavailable:
		reason = figlife.BudgetUnavailable
	case figbudget.UnknownAccount:
		reason = figlife.Unauthorized
	}
	return figlife.Cause{Reason: reason, Err: err, RetryAfter: r.RetryAfter}
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
