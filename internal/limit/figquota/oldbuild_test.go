package figquota

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

// An instance of a build that asks no other owner must get a decision, also from an owner that starts or shuts down.
func TestOlderBuildsGetDecisionOfInstanceThatOwnsNoAccount(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleet(ctx, 2)
		q := f.all["i000"]
		q.MayOwn = func(time.Time) bool { return false }
		c := Charge{Account: "acme", Cost: 1, Limits: limits()}
		v, err := q.Handle(ctx, &c)
		require.NoError(t, err)
		require.Equal(t, Verdict{Decision: figlimiter.WithinLimits}, *v)
		c.AskOn = true
		v, err = q.Handle(ctx, &c)
		require.NoError(t, err)
		require.True(t, v.NotOwner)
	})
}
