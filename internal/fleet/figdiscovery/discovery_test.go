package figdiscovery

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

var errUnreachable = errors.New("instance unreachable")

// net is a simulated network that delivers calls between instances by address.
type net struct {
	t *testing.T

	mu  sync.Mutex
	all map[string]*Discovery
	// load is what LocalLoad returns at each instance, by instance. Received load is recorded there too.
	load map[string]map[string]figview.ServerLoad
	// cut reports whether the link between two addresses is down.
	cut func(a, b string) bool
	// seen is called with every message; nil for none.
	seen func(m any)
}

func (n *net) note(messages ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range messages {
		if n.seen != nil {
			n.seen(m)
		}
	}
}

func newNet(t *testing.T) *net {
	return &net{t: t, all: map[string]*Discovery{}, load: map[string]map[string]figview.ServerLoad{}, cut: func(string, string) bool { return false }}
}

func (n *net) peer(from, to string) (*Discovery, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b, ok := n.all[to]
	if !ok || n.cut(from, to) {
		return nil, errUnreachable
	}
	return b, nil
}

// start runs an instance until the returned stop function is called.
func (n *net) start(name string, incarnation uint64, seeds ...string) (b *Discovery, stop func()) {
	ctx, cancel := context.WithCancel(n.t.Context())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.load[name] = map[string]figview.ServerLoad{}
	b = New(Options{
		Self:  Member{Name: name, Address: name, DataCentre: "east", Incarnation: incarnation},
		Clock: figtimer.System(),
		Seeds: func() []string { return seeds },
		Exchange: func(ctx context.Context, m figview.Member, q *Heartbeat) (*Heartbeat, error) {
			p, err := n.peer(name, m.Address)
			if err != nil {
				return nil, err
			}
			r, err := p.HandleHeartbeat(ctx, q)
			n.note(q, r)
			return r, err
		},
		SendUpdate: func(ctx context.Context, m figview.Member, q *LoadUpdate) (*Ack, error) {
			p, err := n.peer(name, m.Address)
			if err != nil {
				return nil, err
			}
			r, err := p.HandleUpdate(ctx, q)
			n.note(q, r)
			return r, err
		},
		Spent:   func(time.Time) map[string]int64 { return nil },
		OnSpent: func(time.Time, string, uint64, map[string]int64) {},
		LocalLoad: func() map[string]figview.ServerLoad {
			n.mu.Lock()
			defer n.mu.Unlock()
			return maps.Clone(n.load[name])
		},
		InitialMembers: 1,
		OnPeerLoad: func(_ time.Time, from string, _ uint64, load map[string]figview.ServerLoad, _ bool) {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.seen != nil {
				return // the test sets the load itself
			}
			for server, h := range load {
				n.load[name][from+"/"+server] = h
			}
		},
	})
	n.all[name] = b
	timer := figtimer.New(figtimer.System())
	go func() { _ = b.Run(ctx, timer) }()
	go func() { _ = b.RunUpdates(ctx, timer) }()
	return b, func() {
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.all, name)
	}
}

func (n *net) setCut(cut func(a, b string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Nine instances of which each has one valid seed among outdated ones must discover each other
// within two seconds, and a restarted instance without seeds must be discovered by the other
// eight.
func TestDiscovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t)
		stops := map[string]func(){}
		for i := range 9 {
			name := fmt.Sprintf("i%d", i)
			_, stops[name] = n.start(name, 1, "gone", "i4", "stale")
		}
		advance(2 * time.Second)
		for name, b := range maps.Clone(n.all) {
			require.Equal(t, 9, b.MaxMembers(time.Now()), name)
			require.Len(t, b.Status(), 8)
			require.False(t, b.Isolated(time.Now()))
		}
		stops["i4"]()
		_, stops["i4"] = n.start("i4", 2)
		advance(2 * time.Second)
		require.Equal(t, 9, n.all["i4"].MaxMembers(time.Now()), "other instances must contact one without seeds")
		for _, stop := range stops {
			stop()
		}
		advance(time.Second)
	})
}

// After a network partition, both sides must divide shared limits by the old number of members for
// maximumWindow, and only the smaller side is isolated. Otherwise both sides together would exceed
// the limits during an outage.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t)
		stops := make([]func(), 0, 9)
		for i := range 9 {
			_, stop := n.start(fmt.Sprintf("i%d", i), 1, "i0")
			stops = append(stops, stop)
		}
		advance(2 * time.Second)
		n.setCut(func(a, b string) bool { return (a < "i3") != (b < "i3") })
		advance(4 * time.Second)
		require.True(t, n.all["i0"].Isolated(time.Now()))
		require.False(t, n.all["i5"].Isolated(time.Now()))
		require.Equal(t, 9, n.all["i0"].MaxMembers(time.Now()))
		advance(maximumWindow)
		require.Equal(t, 3, n.all["i0"].MaxMembers(time.Now()))
		require.Equal(t, 6, n.all["i5"].MaxMembers(time.Now()))
		n.setCut(func(string, string) bool { return false })
		advance(2 * time.Second)
		require.Equal(t, 9, n.all["i0"].MaxMembers(time.Now()), "the seed must reconnect both sides")
		require.Positive(t, n.all["i0"].FailedExchanges.Load())
		for _, stop := range stops {
			stop()
		}
		advance(time.Second)
	})
}

// A load update must arrive within milliseconds, with the latest value only, and an instance that
// announces its shutdown must no longer count as a member.
func TestLoadUpdateAndLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t)
		a, stopA := n.start("a", 1)
		b, stopB := n.start("b", 1, "a")
		advance(2 * time.Second)
		a.QueueLoadUpdate("s@1", figview.ServerLoad{Requests: 1, Tokens: 5000})
		a.QueueLoadUpdate("s@1", figview.ServerLoad{Requests: 2, Tokens: 9000})
		advance(2 * updateBatchDelay)
		n.mu.Lock()
		require.Equal(t, figview.ServerLoad{Requests: 2, Tokens: 9000}, n.load["b"]["a/s@1"])
		n.mu.Unlock()
		require.Equal(t, 2, b.MaxMembers(time.Now()))
		a.SetLeaving()
		advance(maximumWindow + 2*Interval)
		require.Equal(t, 1, b.MaxMembers(time.Now()))
		require.True(t, b.Status()[0].Leaving)
		stopA()
		advance(removeAfter + time.Second)
		require.Empty(t, b.Status())
		stopB()
		advance(time.Second)
	})
}

// An instance that receives no heartbeat must use only its own part of shared limits, but the
// whole of them during startupGrace, because all instances of a fleet may have been killed and
// restarted together.
func TestLimitShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNet(t)
		alone, stopAlone := n.start("a", 1, "gone")
		alone.mu.Lock()
		alone.opts.InitialMembers, alone.maxMembers = 9, 9
		alone.mu.Unlock()
		require.InDelta(t, 1, alone.LimitShare(time.Now()), 0)
		advance(startupGrace)
		require.InDelta(t, 1.0/9, alone.LimitShare(time.Now()), 0.001)
		require.True(t, alone.Isolated(time.Now()))
		_, stopOther := n.start("b", 1, "a")
		advance(Interval)
		require.InDelta(t, 1, alone.LimitShare(time.Now()), 0)
		stopAlone()
		stopOther()
		advance(time.Second)
	})
}
