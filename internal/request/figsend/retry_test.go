package figsend

import (
	"slices"
	"testing"
	"time"
	"unsafe"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &RetryBudget{Fraction: 0.2, MinRetries: rapid.IntRange(0, 3).Draw(t, "floor")}
		now := time.Unix(1_000_000, 0)
		var successes, retries []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "millis")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(now)
				successes = append(successes, now)
				continue
			}
			available := b.Available(now)
			require.Equal(t, available, b.Allow(now))
			if !available {
				continue
			}
			retries = append(retries, now)
			// The window ends within the slot of now, so it is at most budgetSlots and at least budgetSlots-1 slots
			// long.
			outer := now.Add(-budgetSlots * budgetSlot)
			inner := now.Add(-(budgetSlots - 1) * budgetSlot)
			allowed := float64(b.MinRetries) + b.Fraction*float64(countAfter(successes, outer))
			require.LessOrEqual(t, float64(countAfter(retries, inner)), allowed)
		}
	})
}

func countAfter(times []time.Time, since time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(since) {
			n++
		}
	}
	return n
}

func TestRetryBudgetRecovers(t *testing.T) {
	b := &RetryBudget{Fraction: 0.5, MinRetries: 1}
	now := time.Unix(1_000_000, 0)
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now))
	b.RecordSuccess(now)
	b.RecordSuccess(now)
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now))
	require.True(t, b.Allow(now.Add(budgetSlots*budgetSlot)))
}

// withClockMoved returns t with its wall clock moved and its monotonic clock unchanged, as a time is that was
// taken after the system clock had jumped.
func withClockMoved(t time.Time, seconds int64) time.Time {
	// A time with a monotonic reading starts with a word that holds the wall seconds above 30 bits of
	// nanoseconds.
	word := (*uint64)(unsafe.Pointer(&t))
	*word = uint64(int64(*word) + seconds<<30)
	return t
}

// A jump of the system clock must neither give back retries nor make the budget stay spent.
func TestRetryBudgetIgnoresClockJumps(t *testing.T) {
	b := &RetryBudget{MinRetries: 2}
	now := time.Now()
	jumped := withClockMoved(now, 2400)
	require.Equal(t, 2400*time.Second, jumped.Round(0).Sub(now.Round(0)))
	require.Zero(t, jumped.Sub(now))
	require.True(t, b.Allow(now))
	require.True(t, b.Allow(jumped))
	require.False(t, b.Allow(withClockMoved(now, -2400)))
	later := now.Add((budgetSlots + 1) * budgetSlot)
	require.True(t, b.Allow(later))
	require.True(t, b.Allow(later))
	require.False(t, b.Allow(later))
}

func TestRepeatable(t *testing.T) {
	repeatable := []Kind{KindConnect, KindBusy, KindRefused, KindTimeout, KindStalled, KindIncomplete, KindMismatched, KindMalformed}
	for k := range KindStatus + 1 {
		require.Equal(t, slices.Contains(repeatable, k), Retryable(&Failure{Kind: k}), k)
	}
	require.False(t, Retryable(errors.New("other")))
}
