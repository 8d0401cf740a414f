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
		Clock:       figtimer.System(),
		MaxRequests: 6, MaxBytes: 600,
		MaxAccountRequests: 4, MaxAccountBytes: 400,
		MaxConcurrentPlacements: 2,
	}
}

// fakeServer is a server with a number of free slots. placed lists the names of the placed requests in order.
type fakeServer struct {
	mu     sync.Mutex
	free   int
	placed []string
}

// place returns a Place function that takes a free slot, or returns NoCapacity if there is none.
func (r *fakeServer) place(name string) func(context.Context) PlaceResult {
	return func(context.Context) PlaceResult {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.free == 0 {
			return NoCapacity
		}
		r.free--
		r.placed = append(r.placed, name)
		return Placed
	}
}

// release frees slots and wakes the queue.
func (r *fakeServer) release(q *Queue, slots int) {
	r.mu.Lock()
	r.free += slots
	r.mu.Unlock()
	q.Wake()
}

// doAsync calls Do in a goroutine and returns a channel with its result.
func doAsync(ctx context.Context, q *Queue, item Item) <-chan error {
	got := make(chan error, 1)
	go func() { got <- q.Do(ctx, item) }()
	return got
}

// requireRefusal requires that err is a *Refusal for the reason want.
func requireRefusal(t *testing.T, err error, want Reason) {
	t.Helper()
	var r *Refusal
	require.ErrorAs(t, err, &r)
	require.Equal(t, want.String(), r.Reason.String())
}

func TestDoPlacesAtOnceWithCapacity(t *testing.T) {
	q, r := New(testOptions()), &fakeServer{free: 1}
	require.NoError(t, q.Do(t.Context(), Item{Account: "a", Place: r.place("a")}))
	require.EqualValues(t, 1, q.Status().Placed)
}

func TestDoSharesByTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := testOptions()
		o.MaxConcurrentPlacements = 1
		q, r := New(o), &fakeServer{}
		names := []string{"a1", "a2", "a3", "b1", "b2"}
		ends := make([]<-chan error, 0, len(names))
		for _, name := range names {
			account := name[:1]
			tokens := map[string]int64{"a": 100, "b": 250}[account]
			ends = append(ends, doAsync(t.Context(), q, Item{Account: account, Weight: 1, Tokens: tokens, Place: r.place(name)}))
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

func TestDoReturnsAtOnceWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, r := New(testOptions()), &fakeServer{}
		ctx, cancel := context.WithCancel(t.Context())
		got := doAsync(ctx, q, Item{Account: "a", Bytes: 10, Place: r.place("a")})
		synctest.Wait()
		require.Equal(t, 1, q.Status().Waiting)
		cancel()
		synctest.Wait()
		require.Len(t, got, 1)
		requireRefusal(t, <-got, ContextDone)
		require.Zero(t, q.Status().Waiting)
		require.Zero(t, q.Status().Bytes)
		require.Empty(t, q.scheduler.flows)
		requireRefusal(t, q.Do(ctx, Item{Account: "a"}), ContextDone)
	})
}

// While Place runs, either the caller's context ends or Wake is called. Do must return nil if Place returns Placed
// afterwards, and the Wake must not be lost if Place returns NoCapacity.
func TestEventsDuringPlace(t *testing.T) {
	for name, answers := range map[string][]PlaceResult{"leave": {Placed}, "wake": {NoCapacity, Placed}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(testOptions())
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				answer := make(chan PlaceResult)
				got := doAsync(ctx, q, Item{Account: "a", Place: func(context.Context) PlaceResult { return <-answer }})
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

func TestRunRetriesAndRefusesExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q, r := New(testOptions()), &fakeServer{}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = q.Run(ctx, figtimer.New(figtimer.System())) }()
		start := time.Now()
		item := Item{Account: "a", Deadline: start.Add(time.Second), Place: r.place("a")}
		requireRefusal(t, q.Do(ctx, item), DeadlineUnmet)
		require.Less(t, time.Since(start), time.Second+2*tickInterval)

		got := doAsync(ctx, q, Item{Account: "b", Place: r.place("b")})
		synctest.Wait()
		r.mu.Lock()
		r.free = 1
		r.mu.Unlock()
		require.NoError(t, <-got)
	})
}

// After NoCapacity the queue tries again only when the pause is over, so that other instances can use capacity that is
// freed meanwhile. A Wake ends the pause at once. The pause doesn't apply to a request that arrives at the empty queue.
func TestPauseDelaysRetryUntilWake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 200 * time.Millisecond
		opts := testOptions()
		opts.RetryPause = func() time.Duration { return pause }
		q := New(opts)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = q.Run(ctx, figtimer.New(figtimer.System())) }()
		r := &fakeServer{}
		freeSlot := func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.free++
		}
		startedAt := time.Now()
		first := doAsync(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("first")})
		time.Sleep(2 * tickInterval)
		freeSlot() // freed by another instance, so nothing wakes this queue
		require.NoError(t, <-first)
		require.InDelta(t, pause, time.Since(startedAt), float64(2*tickInterval))

		startedAt = time.Now()
		second := doAsync(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("second")})
		time.Sleep(tickInterval / 2)
		r.release(q, 1)
		require.NoError(t, <-second)
		require.Less(t, time.Since(startedAt), tickInterval)

		third := doAsync(ctx, q, Item{Account: "a", Tokens: 1, Deadline: time.Now().Add(tickInterval), Place: r.place("third")})
		requireRefusal(t, <-third, DeadlineUnmet)
		freeSlot()
		startedAt = time.Now()
		require.NoError(t, <-doAsync(ctx, q, Item{Account: "a", Tokens: 1, Place: r.place("fourth")}))
		require.Zero(t, time.Since(startedAt), "a request that arrives at an empty queue doesn't wait for the pause")
		stop()
		synctest.Wait()
	})
}

func TestRejectedRequestIsRefused(t *testing.T) {
	q := New(testOptions())
	item := Item{Account: "a", Place: func(context.Context) PlaceResult { return Rejected }}
	requireRefusal(t, q.Do(t.Context(), item), Unplaceable)
}
