package figring

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPolicies(t *testing.T) {
	for _, c := range []struct {
		name   string
		policy Policy
		pushed bool
		want   []int
	}{
		{"refuse keeps the oldest", Refuse, false, []int{1, 2}},
		{"drop keeps the newest", DropOldest, true, []int{2, 3}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New[int](2, c.policy)
			require.True(t, r.Push(1))
			require.True(t, r.Push(2))
			require.Equal(t, c.pushed, r.Push(3))
			require.Equal(t, uint64(1), r.Dropped())
			for _, w := range c.want {
				v, ok := r.TryPop()
				require.True(t, ok)
				require.Equal(t, w, v)
			}
			_, ok := r.TryPop()
			require.False(t, ok)
		})
	}
}

func TestPopEndsWithContext(t *testing.T) {
	r := New[int](1, Refuse)
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := r.Pop(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.True(t, r.Push(1))
	require.ErrorIs(t, r.PushWait(ctx, 2), context.DeadlineExceeded)
}

// Every item must be delivered exactly once, with several producers and consumers that wait on a
// small ring. A lost wake-up would leave items undelivered.
func TestManyProducersAndConsumers(t *testing.T) {
	const producers, consumers, each = 4, 3, 500
	r := New[int](3, Refuse)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var mu sync.Mutex
	seen := map[int]int{}
	var w sync.WaitGroup
	for p := range producers {
		w.Go(func() {
			for i := range each {
				if r.PushWait(ctx, p*each+i) != nil {
					return
				}
			}
		})
	}
	done := make(chan struct{})
	for range consumers {
		w.Go(func() {
			for {
				v, err := r.Pop(ctx)
				if err != nil {
					return
				}
				mu.Lock()
				seen[v]++
				if len(seen) == producers*each {
					close(done)
				}
				mu.Unlock()
			}
		})
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	cancel()
	w.Wait()
	require.Len(t, seen, producers*each)
}
