package figqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func mustPush(t *testing.T, c *core, item Item, now time.Time) *entry {
	t.Helper()
	e, refusal := c.push(t.Context(), item, now)
	require.Nil(t, refusal)
	return e
}

// mustRefuse returns when the caller may come back.
func mustRefuse(t *testing.T, c *core, item Item, now time.Time, want Reason) time.Duration {
	t.Helper()
	_, refusal := c.push(t.Context(), item, now)
	require.NotNil(t, refusal)
	require.Equal(t, want, refusal.Reason)
	return refusal.RetryAfter
}

// fill returns a core in which account a holds as many requests as it may.
func fill(t *testing.T) *core {
	t.Helper()
	c := newCore(testOptions())
	for range 4 {
		mustPush(t, c, Item{Account: "a", Tokens: 10, Bytes: 10}, start)
	}
	return c
}

func TestPushKeepsTheBounds(t *testing.T) {
	c := fill(t)
	mustRefuse(t, c, Item{Account: "a"}, start, AccountFull)
	mustRefuse(t, c, Item{Account: "b", Bytes: 401}, start, AccountFull)
	mustPush(t, c, Item{Account: "b", Tokens: 10, Bytes: 400}, start)
	require.Positive(t, mustRefuse(t, c, Item{Account: "c", Tokens: 50, Bytes: 161}, start, Full))
}

func TestPushMakesRoomAtTheCostOfTheLargest(t *testing.T) {
	c := fill(t)
	last := c.flows["a"].waiting[3]
	mustPush(t, c, Item{Account: "b", Tokens: 10}, start)
	mustPush(t, c, Item{Account: "b", Tokens: 10}, start)
	mustPush(t, c, Item{Account: "c", Tokens: 10}, start)
	require.Equal(t, Full, last.refusal.Reason)
	require.Len(t, c.flows["a"].waiting, 3)
	require.Equal(t, 6, c.count)
}

func TestPopOrdersByPriorityAndAges(t *testing.T) {
	c := newCore(testOptions())
	low := mustPush(t, c, Item{Account: "a", Priority: 0}, start)
	later := start.Add(agingTime)
	high := mustPush(t, c, Item{Account: "b", Priority: 1}, later.Add(-time.Second))
	own := mustPush(t, c, Item{Account: "b", Priority: 5}, later.Add(-time.Second))
	require.Same(t, own, c.pop(later))
	require.Same(t, low, c.pop(later))
	require.Same(t, high, c.pop(later))
	require.Nil(t, c.pop(later))
}

func TestPushRefusesADeadlineThatCannotBeMet(t *testing.T) {
	c := newCore(testOptions())
	now := start
	for range 20 {
		c.drop(popped(t, c, Item{Account: "a", Tokens: 1}, now), Ended)
		e := popped(t, c, Item{Account: "a", Tokens: 100}, now)
		now = now.Add(100 * time.Millisecond)
		c.placed(e, now)
	}
	require.InDelta(t, 1000, c.rate.perSecond(), 100)
	mustPush(t, c, Item{Account: "a", Tokens: 3000}, now)
	after := mustRefuse(t, c, Item{Account: "a", Tokens: 10, Deadline: now.Add(2 * time.Second)}, now, Late)
	require.InDelta(t, 3, after.Seconds(), 0.5)
	mustPush(t, c, Item{Account: "b", Tokens: 10, Deadline: now.Add(2 * time.Second)}, now)
	mustRefuse(t, c, Item{Account: "c", Deadline: now}, now, Late)
}

func popped(t *testing.T, c *core, item Item, now time.Time) *entry {
	t.Helper()
	mustPush(t, c, item, now)
	return c.pop(now)
}

// TestCoreKeepsItsSums drives the core at random and compares its sums with
// those of a plain list.
func TestCoreKeepsItsSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCore(testOptions())
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
				_, _ = c.push(nil, item, now) //nolint:staticcheck // the core only keeps the context
			},
			"pop": func(*rapid.T) {
				if e := c.pop(now); e != nil {
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
					c.placed(e, now)
				case 1:
					c.drop(e, Ended)
				default:
					c.unpop(e)
				}
			},
			"advance": func(*rapid.T) { now = now.Add(time.Second) },
			"":        func(t *rapid.T) { checkSums(t, c) },
		})
	})
}

func checkSums(t *rapid.T, c *core) {
	var count int
	var bytes, tokens int64
	for account, f := range c.flows {
		require.Equal(t, account, f.account)
		require.LessOrEqual(t, len(f.waiting), c.opts.AccountRequests+c.opts.Placing)
		for _, e := range f.waiting {
			require.Same(t, f, e.flow)
			count++
			bytes += e.item.Bytes
			tokens += e.item.Tokens
		}
	}
	require.Equal(t, []int64{int64(count), bytes, tokens}, []int64{int64(c.count), c.bytes, c.tokens})
	if count == 0 {
		require.LessOrEqual(t, len(c.flows), 4)
	}
}
