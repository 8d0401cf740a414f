package figmemory

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// testBudget is a budget of 800 KiB, of which large bodies may use 600 and large answers 700, with a clock of its own.
type testBudget struct {
	*Budget

	now     time.Time
	evicted []string
}

func newTestBudget() *testBudget {
	b := &testBudget{now: time.Unix(1000, 0)}
	b.Budget = New(Options{TotalBytes: 800 << 10, Now: func() time.Time { return b.now }})
	return b
}

// hold opens a holding that releases its bytes when it is evicted.
func (b *testBudget) hold(name string, p Phase, size int64) *Holding {
	var h *Holding
	h = b.Open(func(Phase) {
		b.evicted = append(b.evicted, name)
		h.Close()
	})
	h.Enter(p)
	h.Charge(Bodies, size)
	return h
}

// Large bodies must leave room to large answers, and both to small ones.
func TestReserve(t *testing.T) {
	b := newTestBudget()
	h := b.hold("a", Receiving, 0)
	require.False(t, h.TryGrow(Bodies, 601<<10))
	require.True(t, h.TryGrow(Bodies, 600<<10))
	require.False(t, b.hold("b", Receiving, 0).TryGrow(Bodies, SmallBytes+1))
	require.True(t, h.TryGrow(Answers, 100<<10))
	require.False(t, h.TryGrow(Answers, 1))
	require.True(t, b.hold("c", Receiving, 0).TryGrow(Bodies, SmallBytes))
	require.False(t, b.hold("d", Receiving, 0).TryGrow(Bodies, SmallBytes))
	require.EqualValues(t, 4, b.Refused.Load())
	require.Empty(t, b.evicted)
}

// A full budget must evict the holder that held most for longest without progress, and none that runs or makes progress.
func TestEviction(t *testing.T) {
	b := newTestBudget()
	b.hold("running", Running, 200<<10)
	b.hold("small", Receiving, 10<<10)
	moving := b.hold("moving", Sending, 100<<10)
	b.hold("large", Receiving, 200<<10)
	trickling := b.hold("trickling", Receiving, 60<<10)
	for range 4 {
		b.now = b.now.Add(time.Second)
		moving.Progress(sendProgressBytes)
		trickling.Progress(1)
	}
	h := b.hold("new", Receiving, 0)
	require.False(t, h.TryGrow(Bodies, 100<<10))
	require.Equal(t, []string{"large"}, b.evicted)
	require.True(t, h.TryGrow(Bodies, 100<<10))
	require.True(t, h.TryGrow(Bodies, 100<<10))
	require.False(t, h.TryGrow(Bodies, 90<<10))
	require.Equal(t, []string{"large", "trickling"}, b.evicted)
}

// A connection beyond the limit must take the place of an idle one, however much others hold.
func TestIdleHoldersMakeRoom(t *testing.T) {
	b := newTestBudget()
	b.hold("large", Receiving, 200<<10)
	b.hold("idle first", Idle, 0)
	b.now = b.now.Add(time.Second)
	b.hold("idle later", Idle, 0)
	require.False(t, b.EvictOne())
	b.now = b.now.Add(3 * time.Second)
	b.hold("idle now", Idle, 0)
	for range 3 {
		require.True(t, b.EvictOne())
	}
	require.False(t, b.EvictOne())
	require.Equal(t, []string{"idle first", "idle later", "large"}, b.evicted)
}

// A reservation that waits must get the room that another holder releases, and end with its context.
func TestGrowWaits(t *testing.T) {
	b := New(Options{TotalBytes: 800 << 10, Now: time.Now})
	first, second := b.Open(nil), b.Open(nil)
	require.True(t, first.TryGrow(Answers, 600<<10))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- second.Grow(ctx, Answers, 600<<10) }()
	first.Close()
	require.NoError(t, <-ended)
	go func() { ended <- first.Grow(ctx, Answers, 1) }()
	cancel()
	require.ErrorIs(t, <-ended, ErrFull)
}

// However holders grow, are evicted and end, the held bytes must stay within the budget and be released in the end.
func TestRandomHolders(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := newTestBudget()
	var all []*Holding
	for range 20_000 {
		b.now = b.now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		switch n := random.IntN(4); {
		case n == 0 || len(all) == 0:
			all = append(all, b.hold("", Phase(random.IntN(4)), 0))
		case n == 1:
			at := random.IntN(len(all))
			all[at].Close()
			all = append(all[:at], all[at+1:]...)
		default:
			all[random.IntN(len(all))].TryGrow(Kind(random.IntN(int(kinds))), int64(random.IntN(200<<10)))
		}
		b.mu.Lock()
		require.LessOrEqual(t, b.total(), b.opts.TotalBytes)
		require.GreaterOrEqual(t, b.leaving, int64(0))
		b.mu.Unlock()
	}
	for _, h := range all {
		h.Close()
	}
	require.Zero(t, b.total())
	require.Empty(t, b.open)
}

// Memory for an answer must be taken from the holding of the context, and wait for room until the context ends.
func TestHoldAnswer(t *testing.T) {
	b := New(Options{TotalBytes: 800 << 10, Now: time.Now})
	h := b.Open(nil)
	ctx, cancel := context.WithCancel(h.WithContext(t.Context()))
	require.NoError(t, HoldAnswer(ctx, 600<<10))
	require.NoError(t, HoldAnswer(ctx, -200<<10))
	require.EqualValues(t, 400<<10, h.Held(Answers))
	cancel()
	require.ErrorIs(t, HoldAnswer(ctx, 700<<10), ErrFull)
	require.EqualValues(t, 400<<10, h.Held(Answers))
	require.NoError(t, HoldAnswer(t.Context(), 1<<40), "without a holding")
}
