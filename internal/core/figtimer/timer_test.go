package figtimer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Ticks must come at the interval, a slow subscriber must receive only the latest tick, and the
// channel must be closed when the context ends.
func TestSubscribe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		ticks := New(System()).Subscribe(ctx, time.Second)
		first := <-ticks
		require.Equal(t, time.Second, (<-ticks).Sub(first))
		<-time.After(10500 * time.Millisecond)
		require.Equal(t, 11*time.Second, (<-ticks).Sub(first))
		cancel()
		_, open := <-ticks
		require.False(t, open)
	})
}

func TestSleepAndAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(System())
		begun := m.Now()
		require.NoError(t, m.Sleep(t.Context(), time.Minute))
		require.Equal(t, time.Minute, m.Now().Sub(begun))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, m.Sleep(ctx, time.Minute), context.DeadlineExceeded)
		called := false
		stop := m.After(time.Second, func() { called = true })
		require.True(t, stop())
		<-time.After(2 * time.Second)
		require.False(t, called)
	})
}

func TestBackoff(t *testing.T) {
	b := Backoff{Base: 10 * time.Millisecond, Limit: 70 * time.Millisecond, Rand: func() float64 { return 0.5 }}
	for attempt, want := range []int64{5, 10, 20, 35, 35} {
		require.Equal(t, want, b.Delay(attempt).Milliseconds())
	}
	require.Equal(t, 35*time.Millisecond, b.Delay(1000))
	b.Rand = nil
	require.LessOrEqual(t, b.Delay(0), b.Base)
}
