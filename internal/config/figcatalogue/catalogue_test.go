package figcatalogue

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

func server(name string, startedAt int64) Server {
	return Server{Server: figview.Server{Name: name, Pool: "p", DataCentre: "east", StartedAt: time.UnixMilli(startedAt)}}
}

func always() bool { return true }

func at(revision uint64) figview.Position { return figview.Position{Revision: revision} }

func version(n uint64) *figroute.Declarations { return &figroute.Declarations{Version: n} }

func noPeer(context.Context, *SnapshotRequest) (*Snapshot, string, error) {
	return nil, "", errors.New("nobody")
}

// newCatalogueAt returns a catalogue whose clock reads now.
func newCatalogueAt(now *time.Time) *Catalogue {
	return New(Options{IsReader: always, Clock: figtimer.Clock{Now: func() time.Time { return *now }}})
}

func TestVersionsOnlyGrow(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	require.Nil(t, c.View().Table)
	for _, n := range []struct{ get, want uint64 }{{5, 5}, {4, 5}, {5, 5}, {9, 9}, {7, 9}} {
		c.Apply([]Change{{Declarations: version(n.get)}}, at(0))
		require.Equal(t, n.want, c.View().Table.Version)
	}
	c.Replace(&Contents{Declarations: version(8)})
	require.EqualValues(t, 9, c.View().Table.Version, "a stale read must not replace newer declarations")
	c.Replace(&Contents{})
	require.EqualValues(t, 9, c.View().Table.Version, "a read without declarations must not remove the active ones")
}

// A live server removed from the list is a last resort for RemovedServerGrace and then dropped; one that had
// announced its shutdown is not. A server that is listed again is usable.
func TestRemovedServers(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Servers: []Server{server("a", 1), server("b", 1)}})
	require.False(t, c.Ready(), "no declarations yet")
	c.Apply([]Change{{Declarations: version(1)}}, at(0))
	require.True(t, c.Ready())
	c.Apply([]Change{{ServerRemoved: "a"}, {ServerRemoved: "nobody"}}, at(0))
	find := func(name string) *Server {
		for i := range c.View().Servers["p"] {
			if s := &c.View().Servers["p"][i]; s.Name == name {
				return s
			}
		}
		return nil
	}
	v := c.View()
	require.False(t, v.Usable(find("a")))
	require.True(t, v.LastResort(find("a"), now))
	require.False(t, v.LastResort(find("b"), now))
	require.False(t, v.LastResort(find("a"), now.Add(RemovedServerGrace)))
	leaving := server("b", 1)
	leaving.State = figview.Leaving
	c.Apply([]Change{{Server: &leaving}, {ServerRemoved: "b"}}, at(0))
	require.False(t, c.View().LastResort(find("b"), now), "a server that was leaving before its removal is no last resort")
	again := server("a", 1)
	c.Apply([]Change{{Server: &again}}, at(0))
	require.True(t, c.View().Usable(find("a")))
	now = now.Add(2 * RemovedServerGrace)
	c.Apply(nil, at(0))
	require.Nil(t, find("b"))
	require.NotNil(t, find("a"))
}

// A restarted server has a new lifetime, and a late entry of the earlier process is rejected.
func TestLifetimes(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	old, restarted := server("a", 1), server("a", 2)
	c.Apply([]Change{{Server: &old}}, at(0))
	c.Apply([]Change{{Server: &restarted}, {Server: &old}}, at(0))
	_, ok := c.View().Find("p", restarted.Lifetime())
	require.True(t, ok)
	_, ok = c.View().Find("p", old.Lifetime())
	require.False(t, ok)
}

func TestDataCentresOut(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	s := server("a", 1)
	c.Apply([]Change{{Server: &s}, {DrainedDataCentre: "east"}}, at(0))
	require.False(t, c.View().Usable(&s))
	c.Replace(&Contents{Servers: []Server{s}, DrainedDataCentres: []string{"west"}})
	require.True(t, c.View().Usable(&s))
	require.True(t, c.View().DrainedDataCentres["west"])
	c.Apply([]Change{{RestoredDataCentre: "west"}, {DecodeError: errors.New("bad"), ServerRemoved: "a"}}, at(0))
	require.Empty(t, c.View().DrainedDataCentres)
	require.False(t, c.View().Usable(&c.View().Servers["p"][0]))
}

// scriptedSource answers each watch with the next function; once none is left, watches end without changes.
type scriptedSource struct {
	mu      sync.Mutex
	reads   int
	watches []func() ([]Change, figview.Position, error)
}

func (s *scriptedSource) source() Source {
	return Source{
		Name: "test",
		Read: func(context.Context) (*Contents, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			return &Contents{Declarations: version(uint64(s.reads)), Position: at(uint64(10 * s.reads))}, nil
		},
		Watch: func(ctx context.Context, _ figview.Position, wait time.Duration) ([]Change, figview.Position, error) {
			s.mu.Lock()
			var f func() ([]Change, figview.Position, error)
			if len(s.watches) > 0 {
				f = s.watches[0]
				s.watches = s.watches[1:]
			}
			s.mu.Unlock()
			if f != nil {
				return f()
			}
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
			return nil, at(0), ctx.Err()
		},
	}
}

// After a failed watch, whatever the reason, all contents are read again within half of the 2 s in which a change
// must be active.
func TestReadsAllAgain(t *testing.T) {
	for name, failure := range map[string]error{"history lost": ErrHistoryLost, "cut": errors.New("cut")} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSource{watches: []func() ([]Change, figview.Position, error){
					func() ([]Change, figview.Position, error) { return []Change{{Declarations: version(1)}}, at(11), nil },
					func() ([]Change, figview.Position, error) { return nil, at(0), failure },
				}}
				c := New(Options{IsReader: always, Source: s.source(), Clock: figtimer.System(), QueryPeer: noPeer})
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
				<-time.After(time.Second)
				synctest.Wait()
				require.EqualValues(t, 2, c.View().Table.Version)
				require.Equal(t, !errors.Is(failure, ErrHistoryLost), c.Failures.Load() == 1)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// While the source fails, an instance applies the contents of another instance if they are newer, and never older
// ones.
func TestFetchFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		other := newCatalogueAt(&now)
		cold := server("a", 1)
		cold.ColdStartEnd = now.Add(time.Second)
		other.Replace(&Contents{Declarations: version(7), Servers: []Server{cold, server("b", 1)}, DrainedDataCentres: []string{"west"}, Position: at(70)})
		other.Apply([]Change{{ServerRemoved: "b"}}, at(71))
		failing := Source{Name: "test", Read: func(context.Context) (*Contents, error) { return nil, errors.New("busy") }}
		c := New(Options{IsReader: always, Source: failing, Clock: figtimer.System(), QueryPeer: func(ctx context.Context, q *SnapshotRequest) (*Snapshot, string, error) {
			s, err := other.Answer(ctx, q)
			return s, "other", err
		}})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
		<-time.After(time.Second)
		synctest.Wait()
		v := c.View()
		require.EqualValues(t, 7, v.Table.Version)
		require.True(t, v.DrainedDataCentres["west"])
		require.Len(t, v.Servers["p"], 1)
		require.WithinDuration(t, cold.ColdStartEnd, v.Servers["p"][0].ColdStartEnd, time.Second)
		other.Apply([]Change{{Declarations: version(8)}}, at(72))
		<-time.After(time.Second)
		synctest.Wait()
		require.EqualValues(t, 8, c.View().Table.Version)
		s, err := other.Answer(ctx, &SnapshotRequest{HeldRevision: 72})
		require.NoError(t, err)
		require.Zero(t, s.Revision)
		cancel()
		synctest.Wait()
	})
}

// Changes in quick succession cost few calls, and each is active soon.
func TestBurstCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst = 4 * time.Second
		started := time.Now()
		calls := 0
		source := (&scriptedSource{}).source()
		source.Watch = func(context.Context, figview.Position, time.Duration) ([]Change, figview.Position, error) {
			calls++
			<-time.After(20 * time.Millisecond)
			n := uint64(time.Since(started) / (20 * time.Millisecond))
			return []Change{{Declarations: version(n)}}, at(n), nil
		}
		c := New(Options{IsReader: always, Source: source, Clock: figtimer.System(), QueryPeer: noPeer})
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
		<-time.After(burst)
		synctest.Wait()
		require.LessOrEqual(t, calls, 20)
		require.GreaterOrEqual(t, c.View().Table.Version, uint64((burst-2*batchDelay)/(20*time.Millisecond)))
		cancel()
		synctest.Wait()
	})
}
