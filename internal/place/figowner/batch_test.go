package figowner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestBatchFitsStepTime(t *testing.T) {
	var b BatchModel
	step := func(n int) time.Duration { return 14*time.Millisecond + time.Duration(n)*800*time.Microsecond }
	require.True(t, b.Allows(50, 34*time.Millisecond))
	for i := range 40 {
		b.AddSample(5+i%10, step(5+i%10))
	}
	for n := 1; n < 60; n++ {
		want := n <= minBatch || float64(step(n)) <= targetFraction*float64(34*time.Millisecond)
		require.Equal(t, want, b.Allows(n, 34*time.Millisecond), n)
	}
}

// A target time that the server misses even at the smallest batch must not limit the batch, and
// neither must a step time that doesn't depend on the batch size. Samples at a constant batch size
// must not discard the slope found before.
func TestBatchLimitNeedsReachableTarget(t *testing.T) {
	tests := []struct {
		name     string
		target   time.Duration
		step     func(n int) time.Duration
		wantSize int
	}{
		{"out of reach", 10 * time.Millisecond, func(n int) time.Duration { return time.Duration(20+n) * time.Millisecond }, 100},
		{"flat", 10 * time.Millisecond, func(int) time.Duration { return 12 * time.Millisecond }, 100},
		{"within reach", 40 * time.Millisecond, func(n int) time.Duration { return time.Duration(10+n) * time.Millisecond }, 27},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			var b BatchModel
			n := 1
			for range 400 {
				b.AddSample(n, x.step(n))
				if n < 100 && b.Allows(n+1, x.target) {
					n++
				}
			}
			require.Equal(t, x.wantSize, n)
		})
	}
}

// A longer step of a larger batch must not count as lost speed, before and after the fit has a slope.
func TestLargerBatchIsNotSlow(t *testing.T) {
	step := func(n int) time.Duration { return 10*time.Millisecond + time.Duration(n)*time.Millisecond }
	var b BatchModel
	for range 20 {
		b.AddSample(1, step(1))
	}
	require.False(t, b.Slow(64, step(64)))
	require.True(t, b.Slow(1, 4*step(1)))
	for n := range 20 {
		b.AddSample(1+n, step(1+n))
	}
	require.False(t, b.Slow(64, step(64)))
	require.True(t, b.Slow(64, 4*step(64)))
}
