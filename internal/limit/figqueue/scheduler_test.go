package figqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// mustPush requires that push accepts the item.
func mustPush(t *testing.T, s *scheduler, item Item, now time.Time) *entry {
	t.Helper()
	e, refusal := s.push(t.Context(), item, now)
	require.Nil(t, refusal)
	return e
}

// requirePushRefused requires that push refuses the item for the reason want, and returns the refusal's RetryAfter.
func requirePushRefused(t *testing.T, s *scheduler, item Item, now time.Time, want Reason) time.Duration {
	t.Helper()
	_, refusal := s.push(t.Context(), item, now)
	require.NotNil(t, refusal)
	require.Equal(t, want, refusal.Reason)
	return refusal.RetryAfter
}

// fill returns a scheduler in which account a has as many waiting requests as it may.
func fill(t *testing.T) *scheduler {
	t.Helper()
	s := newScheduler(testOptions())
	for range 4 {
		mustPush(t, s, Item{Account: "a", Tokens: 10, Bytes: 10}, start)
	}
	return s
}

func TestPushRefusesBeyondLimits(t *testing.T) {
	s := fill(t)
	requirePushRefused(t, s, Item{Account: "a"}, start, AccountQueueFull)
	requirePushRefused(t, s, Item{Account: "b", Bytes: 401}, start, AccountQueueFull)
	mustPush(t, s, Item{Account: "b", Tokens: 10, Bytes: 400}, start)
	require.Positive(t, requirePushRefused(t, s, Item{Account: "c", Tokens: 50, Bytes: 161}, start, QueueFull))
}

func TestPushEvictsFromTheLargestAccount(t *testing.T) {
	s := fill(t)
	last := s.flows["a"].waiting[3]
	mustPush(t, s, Item{Account: "b", Tokens: 10}, start)
	mustPush(t, s, Item{Account: "b", Tokens: 10}, start)
	mustPush(t, s, Item{Account: "c", Tokens: 10}, start)
	require.Equal(t, QueueFull, last.refusal.Reason)
	require.Len(t, s.flows["a"].waiting, 3)
	require.Equal(t, 6, s.waitingCount)
}

func TestPopOrdersByPriorityAndAges(t *testing.T) {
	s := newScheduler(testOptions())
	low := mustPush(t, s, Item{Account: "a", Priority: 0}, start)
	later := start.Add(agingInterval)
	high := mustPush(t, s, Item{Account: "b", Priority: 1}, later.Add(-time.Second))
	own := mustPush(t, s, Item{Account: "b", Priority: 5}, later.Add(-time.Second))
	require.Same(t, own, s.pop(later))
	require.Same(t, low, s.pop(later))
	require.Same(t, high, s.pop(later))
	require.Nil(t, s.pop(later))
}

func TestPushRefusesADeadlineThatCannotBeMet(t *testing.T) {
	s := newScheduler(testOptions())
	now := start
	for range 20 {
		s.refusePopped(pushAndPop(t, s, Item{Account: "a", Tokens: 1}, now), ContextDone)
		e := pushAndPop(t, s, Item{Account: "a", Tokens: 100}, now)
		now = now.Add(100 * time.Millisecond)
		s.finishPlaced(e, now)
	}
	require.InDelta(t, 1000, s.rate.perSecond(), 100)
	mustPush(t, s, Item{Account: "a", Tokens: 3000}, now)
	retryAfter := requirePushRefused(t, s, Item{Account: "a", Tokens: 10, Deadline: now.Add(2 * time.Second)}, now,
		DeadlineUnmet)
	require.InDelta(t, 3, retryAfter.Seconds(), 0.5)
	mustPush(t, s, Item{Account: "b", Tokens: 10, Deadline: now.Add(2 * time.Second)}, now)
	requirePushRefused(t, s, Item{Account: "c", Deadline: now}, now, DeadlineUnmet)
}

// pushAndPop pushes an item and returns the next entry.
func pushAndPop(t *testing.T, s *scheduler, item Item, now time.Time) *entry {
	t.Helper()
	mustPush(t, s, item, now)
	return s.pop(now)
}

// TestSchedulerTotalsMatchItsEntries runs random operations and compares the scheduler's totals with sums over its
// entries.
func TestSchedulerTotalsMatchItsEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScheduler(testOptions())
		now := start
		var taken []*entry
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				account := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account"))
				item := Item{
					Account:  account,
					Tokens:   rapid.Int64Range(0, 100).Draw(t, "tokens"),
					Bytes:    rapid.Int64Range(0, 200).Draw(t, "bytes"),
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
				}
				_, _ = s.push(nil, item, now) //nolint:staticcheck // the scheduler only stores the context
			},
			"pop": func(*rapid.T) {
				if e := s.pop(now); e != nil {
					taken = append(taken, e)
				}
			},
			"end": func(t *rapid.T) {
				if len(taken) == 0 {
					return
				}
				e := taken[0]
				taken = taken[1:]
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					s.finishPlaced(e, now)
				case 1:
					s.refusePopped(e, ContextDone)
				default:
					s.requeue(e)
				}
			},
			"advance": func(*rapid.T) { now = now.Add(time.Second) },
			"":        func(t *rapid.T) { checkTotals(t, s) },
		})
	})
}

// checkTotals compares the totals with sums over the waiting entries of all flows.
func checkTotals(t *rapid.T, s *scheduler) {
	var count int
	var bytes, tokens int64
	for account, f := range s.flows {
		require.Equal(t, account, f.account)
		require.LessOrEqual(t, len(f.waiting), s.opts.MaxAccountRequests+s.opts.MaxConcurrentPlacements)
		for _, e := range f.waiting {
			require.Same(t, f, e.flow)
			count++
			bytes += e.item.Bytes
			tokens += e.item.Tokens
		}
	}
	require.Equal(t, []int64{int64(count), bytes, tokens}, []int64{int64(s.waitingCount), s.bytes, s.tokens})
	if count == 0 {
		require.LessOrEqual(t, len(s.flows), 4)
	}
}
