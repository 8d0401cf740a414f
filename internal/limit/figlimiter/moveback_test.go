package figlimiter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A bucket that comes back soon after it moved must not be replaced by a new one.
func TestBucketThatMovesBackSoonIsKept(t *testing.T) {
	limits := Limits{Rate: 100, Burst: 1000}
	now := time.Unix(1000, 0)
	l := New()
	l.Take(now, "acme", limits, 10)
	now = now.Add(time.Millisecond)
	l.MoveOut(now, &l.States(now)[0])
	now = now.Add(500 * time.Millisecond)
	l.MoveIn(now, &State{Account: "acme", Limits: limits, Level: -200})
	require.Len(t, l.States(now), 1, "moves on to the next owner")
	now = now.Add(800 * time.Millisecond)
	d, _ := l.Take(now, "acme", limits, 200)
	require.Equal(t, Refused, d, "in debt")
}
