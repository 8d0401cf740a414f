package figquota

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/limit/figlimiter"
)

// What an owner grants while it passes a bucket on must not be granted by the next one again.
func TestChargesDuringMoveAreGrantedOnce(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleet(ctx, 2)
		all := limits()
		all.ToleratedBurst, all.ToleratedRate = 0, 0
		a, b := f.all["i000"], f.all["i001"]
		if b.Assigner.IsSelf(b.owners("acme")[0]) {
			a, b = b, a
		}
		// a owns the account.
		charge := Charge{Account: "acme", Cost: 1, Limits: all}
		require.Equal(t, figlimiter.WithinLimits, a.Decide(&charge).Decision)
		<-time.After(2 * time.Second) // the bucket is full
		granted := int64(0)
		grant := func(q *Quota) {
			c := Charge{Account: "acme", Cost: 10_000, Limits: all}
			for q.Decide(&c).Decision != figlimiter.Refused {
				granted += c.Cost
			}
		}
		pass := a.SendMove
		a.SendMove = func(ctx context.Context, to figdiscovery.Member, m *Move) (*MoveAnswer, error) {
			answer, err := pass(ctx, to, m)
			grant(a) // requests that were sent before the move
			return answer, err
		}
		f.setMembers([]string{b.Assigner.Self})
		f.mu.Lock()
		f.members[a.Assigner.Self] = f.members[b.Assigner.Self]
		f.fraction[b.Assigner.Self] = 1
		f.mu.Unlock()
		<-time.After(300 * time.Millisecond)
		grant(b)
		require.LessOrEqual(t, float64(granted), all.Burst+0.3*all.Rate)
	})
}
