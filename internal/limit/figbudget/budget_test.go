package figbudget

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// localFleet is a set of Budgets that call each other directly.
type localFleet struct {
	mu      sync.Mutex
	now     time.Time
	view    *figview.View
	budgets map[string]*Budget
	limits  map[string]Limits
	down    map[string]bool
}

func newFleet(size int, limits map[string]Limits) *localFleet {
	f := &localFleet{
		now:     time.Now(),
		budgets: map[string]*Budget{},
		limits:  limits,
		down:    map[string]bool{},
	}
	members := make([]figview.Member, 0, size)
	for i := range size {
		name := fmt.Sprintf("i%d", i)
		members = append(members, figview.Member{
			Name: name, Address: name, DataCentre: fmt.Sprintf("d%d", i%3),
		})
		f.budgets[name] = f.start(name)
	}
	f.view = figview.NewView(1, members)
	return f
}

// fullFleet returns a fleet whose slots are full.
func fullFleet(size int) *localFleet {
	f := newFleet(size, map[string]Limits{"a": {TokensPerSecond: 300, Burst: 900}})
	f.advance(20 * time.Second)
	return f
}

func (f *localFleet) start(name string) *Budget {
	return New(Options{
		Self:        name,
		Incarnation: 1,
		Clock:       figtimer.Clock{Now: f.time},
		View:        func() *figview.View { return f.view },
		Fresh:       func() bool { return true },
		AllAcked:    func(uint64) (time.Time, bool) { return time.Time{}, true },
		Limits:      limitsOf(&f.limits),
		Call:        f.ask,
	})
}

func (f *localFleet) time() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *localFleet) ask(ctx context.Context, m figview.Member, q *Request) (*Reply, error) {
	f.mu.Lock()
	down := f.down[m.Name]
	f.mu.Unlock()
	if down {
		return nil, figerror.New("budget", m.Name, "unreachable")
	}
	return f.budgets[m.Name].Answer(ctx, q)
}

func (f *localFleet) moveClock(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}

// advance moves the clock by d in ticks.
func (f *localFleet) advance(d time.Duration) {
	for end := f.time().Add(d); f.time().Before(end); {
		f.moveClock(tickInterval)
		for _, b := range f.budgets {
			b.Tick()
		}
	}
}

func TestReserveSpendsWholeBurstFromOneInstance(t *testing.T) {
	f := newFleet(9, map[string]Limits{"a": {TokensPerSecond: 100, Burst: 1000}})
	ctx := t.Context()
	b := f.budgets["i0"]

	_, err := b.Reserve(ctx, "a", 1)
	_ = requireRefusal(t, err, Unavailable)

	f.advance(20 * time.Second)
	_, err = b.Reserve(ctx, "a", 1001)
	_ = requireRefusal(t, err, AboveBurst)
	_, err = b.Reserve(ctx, "nobody", 1)
	_ = requireRefusal(t, err, UnknownAccount)

	r, err := b.Reserve(ctx, "a", 1000)
	require.NoError(t, err)
	require.EqualValues(t, 1000, r.Tokens())
	for _, other := range f.budgets {
		_, err = other.Reserve(ctx, "a", 1)
		refusal := requireRefusal(t, err, OverBudget)
		require.Positive(t, refusal.RetryAfter)
	}
}

func TestSettleRefundsOnce(t *testing.T) {
	f := newFleet(9, map[string]Limits{"a": {TokensPerSecond: 3, Burst: 900}})
	f.advance(400 * time.Second)
	b := f.budgets["i1"]
	r, err := b.Reserve(t.Context(), "a", 900)
	require.NoError(t, err)
	f.advance(2 * time.Second)
	r.Settle(500)
	r.Settle(0)
	require.Eventually(t, func() bool {
		f.advance(tickInterval)
		return f.credited() == 400
	}, 5*time.Second, time.Millisecond)
	f.advance(time.Second)
	require.EqualValues(t, 400, f.credited())
}

func (f *localFleet) credited() int64 {
	sum := int64(0)
	for _, b := range f.budgets {
		sum += b.Status().Credited
	}
	return sum
}

func TestReserveAvoidsUnreachableHolder(t *testing.T) {
	f := fullFleet(9)
	holder, ok := newPlacement(f.view).holder(slotID{"a", 0})
	require.True(t, ok)
	f.down[holder.Name] = true
	for name, b := range f.budgets {
		if name == holder.Name {
			continue
		}
		r, err := b.Reserve(t.Context(), "a", 60)
		require.NoError(t, err)
		r.Settle(60)
	}
}

// TestPauseWhileReadingViewMakesItStale pauses the process while it reads its view or an
// acknowledgement. Their results are outdated after the pause and must not permit spending.
func TestPauseWhileReadingViewMakesItStale(t *testing.T) {
	f := newFleet(1, map[string]Limits{"a": {TokensPerSecond: 300, Burst: 900}})
	pause := func() { f.moveClock(time.Minute) }
	b := f.budgets["i0"]
	b.opts.AllAcked = func(uint64) (time.Time, bool) {
		pause()
		return time.Time{}, true
	}
	b.Tick()
	_, err := b.Reserve(t.Context(), "a", 1)
	_ = requireRefusal(t, err, Unavailable)
	f.advance(20 * time.Second)
	_, err = b.Reserve(t.Context(), "a", 1)
	require.NoError(t, err)

	b.opts.Fresh = func() bool {
		pause()
		return true
	}
	_, err = b.Reserve(t.Context(), "a", 1)
	_ = requireRefusal(t, err, Unavailable)
}

func TestReserveReturnsWhenContextEnds(t *testing.T) {
	f := fullFleet(9)
	ctx, cancel := context.WithCancel(t.Context())
	var asker *Budget
	for name, b := range f.budgets {
		if _, holds := slotOf(f.view, name, "a"); !holds {
			asker = b
		}
	}
	asker.opts.Call = func(ctx context.Context, _ figview.Member, _ *Request) (*Reply, error) {
		cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	_, err := asker.Reserve(ctx, "a", 60)
	_ = requireRefusal(t, err, ContextEnded)
}

// slotOf returns a slot of the account that the instance called name holds.
func slotOf(v *figview.View, name, account string) (id slotID, ok bool) {
	p := newPlacement(v)
	for i := range SlotCount {
		if id = (slotID{account, i}); p.holds(name, id) {
			return id, true
		}
	}
	return id, false
}

func TestIdleAccountsLeaveNoState(t *testing.T) {
	f := fullFleet(3)
	r, err := f.budgets["i0"].Reserve(t.Context(), "a", 60)
	require.NoError(t, err)
	r.Settle(30)
	f.advance(20 * time.Second)
	for _, b := range f.budgets {
		require.Empty(t, b.ledger.slots)
		require.Empty(t, b.ledger.accounts)
	}
}

func requireRefusal(t *testing.T, err error, want Reason) *Refusal {
	t.Helper()
	var r *Refusal
	require.ErrorAs(t, err, &r)
	require.Equal(t, want, r.Reason)
	return r
}
