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

// enter returns how the item ends.
func enter(ctx context.Context, q *Queue, item Item) <-chan error {
	got := make(chan error, 1)
	go func() { got <- q.Do(ctx, item) }()
	return got
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
		names := []string{"a1", "a2", "a3", "b1", "b2"}
		ends := make([]<-chan error, 0, len(names))
		for _, name := range names {
			account := name[:1]
			tokens := map[string]int64{"a": 100, "b": 250}[account]
			ends = append(ends, enter(t.Context(), q, Item{Account: account, Weight: 1, Tokens: tokens, Place: r.place(name)}))
			synctest.Wait()
		}
		for range ends {
			r.release(q, 1)
			synctest.Wait()
		}
		for _, got := range ends {
			require.NoError(t, <-got)
		}
		require.Equal(t, []string{"a1", "b1", "a2", "a3", "b2"}, r.placed)
	})
}

func TestDoNoticesAtOnceThatACallerLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, r := New(testOptions()), &room{}
		ctx, cancel := context.WithCancel(t.Context())
		got := enter(ctx, q, Item{Account: "a", Bytes: 10, Place: r.place("a")})
		synctest.Wait()
		require.Equal(t, 1, q.Status().Waiting)
		cancel()
		synctest.Wait()
		require.Len(t, got, 1)
		requireRefusal(t, <-got, Ended)
		require.Zero(t, q.Status().Waiting)
		require.Zero(t, q.Status().Bytes)
		require.Empty(t, q.core.flows)
		requireRefusal(t, q.Do(ctx, Item{Account: "a"}), Ended)
	})
}

// TestEventsDuringPlace has a caller leave, or a wake come, while Place runs:
// the place is the caller's, and the wake isn't lost.
func TestEventsDuringPlace(t *testing.T) {
	for name, answers := range map[string][]Verdict{"leave": {Placed}, "wake": {NoRoom, Placed}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(testOptions())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				answer := make(chan Verdict)
				got := enter(ctx, q, Item{Account: "a", Place: func(context.Context) Verdict { return <-answer }})
				synctest.Wait()
				if name == "leave" {
					cancel()
				} else {
					q.Wake()
				}
				synctest.Wait()
				require.Empty(t, got)
				for _, v := range answers {
					answer <- v
				}
				require.NoError(t, <-got)
			})
		})
	}
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

		got := enter(ctx, q, Item{Account: "b", Place: r.place("b")})
		synctest.Wait()
		r.mu.Lock()
		r.free = 1
		r.mu.Unlock()
		require.NoError(t, <-got)
	})
}

// A request that found no room leaves what is freed elsewhere to others for the
// pause, but takes at once what a Wake tells of.
func TestPauseLeavesRoomToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 200 * time.Millisecond
		opts := testOptions()
		opts.Pause = func() time.Duration { return pause }
		q := New(opts)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = q.Run(ctx, figtimer.New(figtimer.System())) }()
		r := &room{}
		free := func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.free++
		}
		begun := time.Now()
		first := enter(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("first")})
		time.Sleep(2 * tickTime)
		free() // another instance freed it: nobody wakes this queue
		require.NoError(t, <-first)
		require.InDelta(t, pause, time.Since(begun), float64(2*tickTime))

		begun = time.Now()
		second := enter(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("second")})
		time.Sleep(tickTime / 2)
		r.release(q, 1)
		require.NoError(t, <-second)
		require.Less(t, time.Since(begun), tickTime)

		third := enter(ctx, q, Item{Account: "a", Tokens: 1, Deadline: time.Now().Add(tickTime), Place: r.place("third")})
		requireRefusal(t, <-third, Late)
		free()
		begun = time.Now()
		require.NoError(t, <-enter(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("fourth")}))
		require.Zero(t, time.Since(begun), "an empty queue owes nobody the pause")
		stop()
		synctest.Wait()
	})
}

func TestRejectedIsRefused(t *testing.T) {
	q := New(testOptions())
	item := Item{Account: "a", Place: func(context.Context) Verdict { return Rejected }}
	requireRefusal(t, q.Do(t.Context(), item), Unplaceable)
}
