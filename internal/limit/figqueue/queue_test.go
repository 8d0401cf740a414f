package figqueue

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

func testOptions() Options {
	return Options{
		Clock:    figtimer.System(),
		Requests: 6, Bytes: 600,
		AccountRequests: 4, AccountBytes: 400,
		Placing: 2,
	}
}

// room is a server with a number of free places.
type room struct {
	mu     sync.Mutex
	free   int
	placed []string
}

func (r *room) place(name string) func(context.Context) Verdict {
	return func(context.Context) Verdict {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.free == 0 {
			return NoRoom
		}
		r.free--
		r.placed = append(r.placed, name)
		return Placed
	}
}

func (r *room) release(q *Queue, places int) {
	r.mu.Lock()
	r.free += places
	r.mu.Unlock()
	q.Wake()
}

func requireRefusal(t *testing.T, err error, want Reason) {
	t.Helper()
	var r *Refusal
	require.ErrorAs(t, err, &r)
	require.Equal(t, want.String(), r.Reason.String())
}

func TestDoPlacesAtOnceWhereThereIsRoom(t *testing.T) {
	q, r := New(testOptions()), &room{free: 1}
	require.NoError(t, q.Do(t.Context(), Item{Account: "a", Place: r.place("a")}))
	require.EqualValues(t, 1, q.Status().Placed)
}

func TestDoSharesByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.Placing = 1
		q, r := New(o), &room{}
		var callers sync.WaitGroup
		enter := func(name, account string, weight, tokens int64) {
			callers.Go(func() {
				item := Item{Account: account, Weight: weight, Tokens: tokens, Place: r.place(name)}
				require.NoError(t, q.Do(t.Context(), item))
			})
			synctest.Wait()
		}
		enter("a1", "a", 1, 100)
		enter("a2", "a", 1, 100)
		enter("a3", "a", 1, 100)
		enter("b1", "b", 1, 250)
		enter("b2", "b", 1, 250)
		for range 5 {
			r.release(q, 1)
			synctest.Wait()
		}
		callers.Wait()
		require.Equal(t, []string{"a1", "b1", "a2", "a3", "b2"}, r.placed)
	})
}

func TestDoNoticesAtOnceThatACallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, r := New(testOptions()), &room{}
		ctx, cancel := context.WithCancel(t.Context())
		var got error
		go func() { got = q.Do(ctx, Item{Account: "a", Bytes: 10, Place: r.place("a")}) }()
		synctest.Wait()
		require.Equal(t, 1, q.Status().Waiting)
		cancel()
		synctest.Wait()
		requireRefusal(t, got, Ended)
		require.Zero(t, q.Status().Waiting)
		require.Zero(t, q.Status().Bytes)
		require.Empty(t, q.core.flows)
		requireRefusal(t, q.Do(ctx, Item{Account: "a"}), Ended)
	})
}

func TestDoReturnsPlacedToACallerThatLeftMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(testOptions())
		ctx, cancel := context.WithCancel(t.Context())
		answer := make(chan Verdict)
		got := make(chan error, 1)
		go func() {
			got <- q.Do(ctx, Item{Account: "a", Place: func(context.Context) Verdict { return <-answer }})
		}()
		synctest.Wait()
		cancel()
		synctest.Wait()
		require.Empty(t, got)
		answer <- Placed
		require.NoError(t, <-got)
	})
}

func TestWakeDuringPlaceIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := New(testOptions())
		answer := make(chan Verdict)
		got := make(chan error, 1)
		go func() {
			got <- q.Do(t.Context(), Item{Account: "a", Place: func(context.Context) Verdict { return <-answer }})
		}()
		synctest.Wait()
		q.Wake()
		answer <- NoRoom
		answer <- Placed
		require.NoError(t, <-got)
	})
}

func TestRunTriesAgainAndRefusesTheLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, r := New(testOptions()), &room{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = q.Run(ctx, figtimer.New(figtimer.System())) }()
		start := time.Now()
		item := Item{Account: "a", Deadline: start.Add(time.Second), Place: r.place("a")}
		requireRefusal(t, q.Do(ctx, item), Late)
		require.Less(t, time.Since(start), time.Second+2*tickTime)

		got := make(chan error, 1)
		go func() { got <- q.Do(ctx, Item{Account: "b", Place: r.place("b")}) }()
		synctest.Wait()
		r.mu.Lock()
		r.free = 1
		r.mu.Unlock()
		require.NoError(t, <-got)
	})
}

func TestRejectedIsRefused(t *testing.T) {
	q := New(testOptions())
	item := Item{Account: "a", Place: func(context.Context) Verdict { return Rejected }}
	requireRefusal(t, q.Do(t.Context(), item), Unplaceable)
}
