package figlimiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What is owed by an account must be passed on with its bucket, also where the bucket has moved before.
func TestOwedChargeOfMovedBucketIsKept(t *testing.T) {
	limits := Limits{Rate: 100, Burst: 1000}
	now := time.Unix(1000, 0)
	l := New()
	l.Take(now, "acme", limits, 10)
	now = now.Add(time.Millisecond)
	states := l.States(now)
	require.Len(t, states, 1)
	l.MoveOut(now, &states[0])
	now = now.Add(500 * time.Millisecond)
	l.MoveIn(now, &State{Account: "acme", Limits: limits, Owed: 200})
	require.Len(t, l.States(now), 1)
}
