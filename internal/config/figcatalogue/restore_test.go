package figcatalogue

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// applyLimit is the time within which a change must be active.
const applyLimit = 2 * time.Second

// contactLimit is how long after the source's return instances may still be without a change that was written then.
const contactLimit = 3 * time.Second

func in(epoch, revision uint64) figview.Position {
	return figview.Position{Epoch: epoch, Revision: revision}
}

// The revisions of a restored source go back and are assigned again. Changes written after its return must be active
// in time, whatever their revisions, and cost few calls.
func TestRestoredSourceHidesNoChanges(t *testing.T) {
	for name, c := range map[string]struct {
		lost, written int
		// between says that the source is restored between two watches, none of which fails.
		between bool
	}{
		"lower revision":                   {6, 2, false},
		"same revision":                    {3, 3, false},
		"higher revision":                  {1, 4, false},
		"lower revision between watches":   {6, 2, true},
		"same revision between watches":    {3, 3, true},
		"higher revision between watches":  {3, 5, true},
		"nothing written, between watches": {3, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				s := newFakeStore()
				for n := range uint64(10) {
					s.put(Change{Declarations: version(n + 1)})
				}
				c1 := New(Options{IsReader: always, Source: s.source("a"), Clock: figtimer.System(), QueryPeer: noPeer})
				go func() { _ = c1.Run(ctx, figtimer.New(figtimer.System())) }()
				<-time.After(time.Second)
				if c.between {
					s.put(Change{Declarations: version(11)})
					<-time.After(batchDelay / 2)
				} else {
					s.setRefused("a", true)
					<-time.After(watchWait + time.Second)
					s.setRefused("a", false)
				}
				s.restore(c.lost, "")
				for n := range c.written {
					s.put(Change{Declarations: version(uint64(20 + n))})
				}
				called := s.callsOf("a")
				<-time.After(applyLimit)
				require.LessOrEqual(t, s.callsOf("a")-called, 8)
				s.put(Change{Declarations: version(40)})
				<-time.After(applyLimit)
				require.EqualValues(t, 40, c1.View().Table.Version)
				require.EqualValues(t, 2, c1.View().Epoch)
				cancel()
				<-time.After(10 * time.Second)
			})
		})
	}
}

// Watches of all but one reader hang over the restoration. They end when another instance has read the restored source.
func TestRestorationReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		g := newGroup(ctx, 30)
		for n := range uint64(20) {
			g.store.put(Change{Declarations: version(n + 1)})
		}
		<-time.After(time.Second)
		for round := range uint64(4) {
			<-time.After(time.Duration(round) * 1300 * time.Millisecond)
			g.store.restore(5, g.names[int(round)%groupReaders])
			g.requireVersion(t, 30+2*round, contactLimit, true)
			g.requireVersion(t, 31+2*round, applyLimit, true)
			for _, name := range g.names {
				require.Equal(t, 2+round, g.all[name].Position().Epoch, name)
			}
		}
		cancel()
		<-time.After(20 * time.Second)
	})
}

// Whatever the revision, what is left of an earlier epoch must not replace the contents of a later one.
func TestEarlierEpochsAreIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	a, b := server("a", 1), server("b", 1)
	c.Replace(&Contents{Declarations: version(3), Servers: []Server{a}, Position: in(1, 500)})
	c.Replace(&Contents{Declarations: version(3), Servers: []Server{a}, Position: in(2, 400)})
	c.Replace(&Contents{Servers: []Server{a, b}, Position: in(1, 900)})
	c.Apply([]Change{{Server: &b}}, in(1, 901))
	c.Apply([]Change{{Server: &b}}, in(3, 10))
	c.applyAnswer(&FollowAnswer{Epoch: 1, Revision: 950, All: &Snapshot{Epoch: 1, Revision: 950, Declarations: version(9)}})
	require.Equal(t, in(2, 400), c.Position())
	require.Len(t, c.View().Servers["p"], 1)
	require.EqualValues(t, 3, c.View().Table.Version)
	c.NotePosition(figview.Member{Name: "old"}, in(1, 999))
	require.Nil(t, c.ahead)
	c.NotePosition(figview.Member{Name: "new"}, in(2, 401))
	c.NotePosition(figview.Member{Name: "newer"}, in(3, 5))
	require.Equal(t, "newer", c.ahead.from.Name)
	require.False(t, (&FollowAnswer{Epoch: 1, Revision: 950, Reading: true}).Serves(newFollowRequest(in(2, 400), 0)))
	require.True(t, (&FollowAnswer{Epoch: 3, Revision: 1}).Serves(newFollowRequest(in(2, 400), 0)))
}

// A follower of an earlier epoch gets all contents, and a reader of an earlier epoch keeps no follower waiting.
func TestFollowAcrossEpochs(t *testing.T) {
	now := time.Now()
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(3), Position: in(2, 400)})
	c.Apply([]Change{{Declarations: version(4)}}, in(2, 401))
	a := c.changesAfter(in(1, 400))
	require.NotNil(t, a.All)
	require.Equal(t, in(2, 401), a.Position())
	require.Len(t, c.changesAfter(in(2, 400)).Changes, 1)
	require.Nil(t, c.changesAfter(in(2, 400)).All)
	began := time.Now()
	a, err := c.HandleFollow(t.Context(), newFollowRequest(in(3, 1), followWait))
	require.NoError(t, err)
	require.Less(t, time.Since(began), time.Second)
	require.Equal(t, in(2, 401), a.Position())
	require.Len(t, c.changesAfter(at(400)).Changes, 1, "instances that know no epochs send none")
	require.Empty(t, c.changesAfter(at(401)).Changes)
	require.Nil(t, c.changesAfter(at(401)).All)
}

// Versions only grow. A version with other contents in a later epoch is what the operators wrote last.
func TestDeclarationsOfRestoredSource(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(12), Position: in(1, 50)})
	c.Replace(&Contents{Declarations: version(6), Position: in(2, 40)})
	require.EqualValues(t, 12, c.View().Table.Version)
	other := version(12)
	other.Limits.BodyBytes = 5
	c.Apply([]Change{{Declarations: other}}, in(2, 41))
	require.Equal(t, 5, c.View().Table.Limits.BodyBytes)
	c.Apply([]Change{{Declarations: version(12)}}, in(2, 42))
	require.Equal(t, 5, c.View().Table.Limits.BodyBytes)
}

// What an older copy says of servers must not undo what is known of them: leaving servers stay so, removed ones get
// no work unless they are written again or stay listed, and missing ones stay in use until they are written again.
func TestServersOfRestoredSource(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	usable := func(name string) bool {
		for i := range c.View().Servers["p"] {
			if s := &c.View().Servers["p"][i]; s.Name == name {
				return c.View().Usable(s)
			}
		}
		return false
	}
	names := []string{"live", "leaving", "left", "removed", "removedButBack", "new", "newButGone"}
	entries := map[string]*Server{}
	first := make([]Server, 0, len(names))
	for _, name := range names {
		s := server(name, 1)
		entries[name] = &s
		first = append(first, s)
	}
	c.Replace(&Contents{Declarations: version(1), Servers: first, Position: in(1, 10)})
	for _, name := range []string{"leaving", "left"} {
		s := *entries[name]
		s.State = figview.Leaving
		c.Apply([]Change{{Server: &s}}, in(1, c.Position().Revision+1))
	}
	for _, name := range []string{"left", "removed", "removedButBack"} {
		c.Apply([]Change{{ServerRemoved: name}}, in(1, c.Position().Revision+1))
	}
	now = now.Add(2 * RemovedServerGrace)
	c.Apply(nil, c.Position())
	copied := &Contents{Declarations: version(1), Servers: first[:5], Position: in(2, 10)}
	for range 2 { // read twice, as after a failed watch
		c.Replace(copied)
		for name, want := range map[string]bool{
			"live": true, "leaving": false, "left": false, "removed": false, "removedButBack": false, "new": true, "newButGone": true,
		} {
			require.Equal(t, want, usable(name), name)
		}
	}
	follower := newCatalogueAt(&now)
	follower.applyAnswer(c.changesAfter(in(0, 0)))
	require.Empty(t, len(follower.View().Servers["p"])-5, "what the source lacks is not passed on")
	require.LessOrEqual(t, c.maxWait(time.Minute), restoredGrace, "a watch must not outlast the time for that")
	c.Apply([]Change{{Server: entries["removedButBack"]}, {Server: entries["new"]}}, in(2, 11))
	require.True(t, usable("removedButBack"))
	now = now.Add(restoredGrace)
	c.Apply(nil, in(2, 11))
	require.True(t, usable("new"))
	require.False(t, usable("newButGone"))
	require.False(t, usable("removed"))
	now = now.Add(departedDoubt - restoredGrace)
	c.Apply(nil, in(2, 11))
	require.True(t, usable("removed"), "a server that stays listed is in use again")
	require.False(t, usable("left"))
	require.False(t, usable("leaving"))
	require.Equal(t, time.Minute, c.maxWait(time.Minute))
	again := server("left", 2)
	c.Apply([]Change{{Server: &again}}, in(2, 12))
	require.True(t, usable("left"), "a new process of a server that left is in use")
}

// A data centre that was drained before the source was restored stays drained until operators have had the time to drain
// it again.
func TestDrainedDataCentresOfRestoredSource(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(1), DrainedDataCentres: []string{"east", "west"}, Position: in(1, 10)})
	c.Replace(&Contents{Position: in(2, 8)})
	c.Replace(&Contents{Position: in(2, 8)})
	require.Len(t, c.View().DrainedDataCentres, 2)
	c.Apply([]Change{{DrainedDataCentre: "east"}}, in(2, 9))
	now = now.Add(restoredGrace)
	c.Apply(nil, in(2, 9))
	require.Equal(t, map[string]bool{"east": true}, c.View().DrainedDataCentres)
	c.Apply([]Change{{RestoredDataCentre: "east"}}, in(2, 10))
	require.Empty(t, c.View().DrainedDataCentres)
}

// An instance that starts must not take an older copy's declarations while another instance knows later ones, and
// must start without others.
func TestStartFromRestoredSource(t *testing.T) {
	for name, c := range map[string]struct {
		peer bool
		want uint64
	}{"beside others": {true, 12}, "alone": {false, 6}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				now := time.Now()
				other := newCatalogueAt(&now)
				other.Replace(&Contents{Declarations: version(12), Position: in(1, 50)})
				other.Replace(&Contents{Declarations: version(6), Position: in(2, 40)})
				s := newFakeStore()
				for range 41 {
					s.put(Change{Declarations: version(6)})
				}
				s.epoch = 2
				c1 := New(Options{
					IsReader: always, Source: s.source("a"), Clock: figtimer.System(),
					QueryPeer: func(ctx context.Context, q *SnapshotRequest) (*Snapshot, string, error) {
						if !c.peer {
							<-ctx.Done()
							return nil, "", ctx.Err()
						}
						answer, err := other.Answer(ctx, q)
						return answer, "other", err
					},
				})
				go func() { _ = c1.Run(ctx, figtimer.New(figtimer.System())) }()
				<-time.After(time.Second)
				require.Equal(t, c.want, c1.View().Table.Version)
				cancel()
				<-time.After(10 * time.Second)
			})
		})
	}
}

// An answer without an epoch counts as one of the current epoch, and a late one of an earlier epoch is a failure.
func TestAnswersWithoutEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		positions := []figview.Position{in(2, 11), in(0, 12), in(1, 900)}
		reads := 0
		c := New(Options{IsReader: always, Clock: figtimer.System(), QueryPeer: noPeer, Source: Source{
			Read: func(context.Context) (*Contents, error) {
				reads++
				return &Contents{Declarations: version(1), Position: in(2, 10)}, nil
			},
			Watch: func(ctx context.Context, _ figview.Position, _ time.Duration) ([]Change, figview.Position, error) {
				if len(positions) > 0 {
					next := positions[0]
					positions = positions[1:]
					return []Change{{Declarations: version(next.Revision)}}, next, nil
				}
				<-ctx.Done()
				return nil, at(0), ctx.Err()
			},
		}})
		go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
		<-time.After(time.Second)
		require.Equal(t, in(2, 12), c.Position())
		require.EqualValues(t, 12, c.View().Table.Version)
		require.Equal(t, 2, reads)
		require.EqualValues(t, 1, c.Failures.Load())
		cancel()
		synctest.Wait()
	})
}

// A source that has the changes after no revision costs few calls.
func TestLostHistoryCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := New(Options{IsReader: always, Clock: figtimer.System(), QueryPeer: noPeer, Source: Source{
			Read: func(context.Context) (*Contents, error) {
				return &Contents{Declarations: version(1), Position: in(2, 10)}, nil
			},
			Watch: func(context.Context, figview.Position, time.Duration) ([]Change, figview.Position, error) {
				return nil, at(0), ErrHistoryLost
			},
		}})
		go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
		<-time.After(10 * time.Second)
		require.LessOrEqual(t, c.Calls.Load(), uint64(200))
		cancel()
		synctest.Wait()
	})
}

// A server that names no start time may be another process each time, which is in use again.
func TestServerWithoutStartTimeReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	c := newCatalogueAt(&now)
	s := Server{Server: figview.Server{Name: "a", Pool: "p"}}
	leaving := s
	leaving.State = figview.Leaving
	for n := range uint64(2) {
		c.Apply([]Change{{Server: &s}}, in(1, 10*n+1))
		require.Equal(t, figview.Live, c.View().Servers["p"][0].State)
		c.Apply([]Change{{Server: &leaving}, {ServerRemoved: "a"}}, in(1, 10*n+2))
	}
}

// A version that the operator writes with other contents after a restoration must reach followers that held the one before.
func TestSameVersionReachesFollowers(t *testing.T) {
	now := time.Unix(1000, 0)
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(13), Position: in(1, 50)})
	f.applyAnswer(r.changesAfter(in(0, 0)))
	r.Replace(&Contents{Declarations: version(10), Position: in(2, 40)})
	f.applyAnswer(r.changesAfter(f.Position()))
	other := version(13)
	other.Limits.BodyBytes = 5
	r.Apply([]Change{{Declarations: other}}, in(2, 41))
	f.applyAnswer(r.changesAfter(f.Position()))
	require.Equal(t, r.Position(), f.Position())
	require.Equal(t, 5, r.View().Table.Limits.BodyBytes, "reader")
	require.Equal(t, 5, f.View().Table.Limits.BodyBytes, "follower")
}

// A restored source may give out a version again whose list of accounts is there but empty. Followers must require keys
// then too.
func TestKeysAreRequiredAfterRestoration(t *testing.T) {
	now := time.Unix(1000, 0)
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(13), Position: in(1, 50)})
	f.applyAnswer(r.changesAfter(in(0, 0)))
	require.False(t, f.View().Table.NeedsKey(&figroute.Route{}))
	emptied := version(13)
	emptied.KeysRequired = true
	r.Replace(&Contents{Declarations: emptied, Position: in(2, 40)})
	f.applyAnswer(r.changesAfter(f.Position()))
	require.True(t, r.View().Table.NeedsKey(&figroute.Route{}), "reader")
	require.True(t, f.View().Table.NeedsKey(&figroute.Route{}), "follower")
}

// An instance that starts must not use a server that the instance it asks keeps from work.
func TestDoubtedServerIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	r := newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	r.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10)})
	v := r.View()
	require.False(t, v.Usable(&v.Servers["p"][0]), "reader")
	f := newCatalogueAt(&now)
	f.applyAnswer(r.changesAfter(in(0, 0)))
	v = f.View()
	require.False(t, v.Usable(&v.Servers["p"][0]), "fresh instance")
}

// A server that was leaving before the restoration stays so, however often the copy is read, until it is written again.
func TestLeavingServerIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	leaving := s
	leaving.State = figview.Leaving
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	c.Apply([]Change{{Server: &leaving}}, in(1, 11))
	for revision := range uint64(3) {
		c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10+revision)})
		require.Equal(t, figview.Leaving, c.View().Servers["p"][0].State)
	}
	c.Apply([]Change{{Server: &s}}, in(2, 14))
	require.Equal(t, figview.Live, c.View().Servers["p"][0].State)
}

// A server that leaves stays leaving at an instance that has the restored source's contents from another instance, and then
// reads the older copy itself.
func TestLeavingServerOfPeerStaysLeaving(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	leaving := s
	leaving.State = figview.Leaving
	for name, starts := range map[string]bool{"knows the notice": false, "starts": true} {
		t.Run(name, func(t *testing.T) {
			other, c := newCatalogueAt(&now), newCatalogueAt(&now)
			notified := []*Catalogue{other, c}
			if starts {
				notified = notified[:1]
			}
			for _, n := range notified {
				n.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
				n.Apply([]Change{{Server: &leaving}}, in(1, 11))
			}
			other.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10)})
			c.applyAnswer(other.changesAfter(c.Position()))
			c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10)})
			require.Equal(t, figview.Leaving, c.View().Servers["p"][0].State, "after the copy was read")
			c.Apply([]Change{{Server: &s}}, in(2, 11))
			require.Equal(t, figview.Live, c.View().Servers["p"][0].State, "after the server was written again")
		})
	}
}

// A server that had been removed gets no work after a restored source that lists it, however the entry goes away again.
func TestRemovedServerIsRemovedAgain(t *testing.T) {
	for name, remove := range map[string]func(c *Catalogue){
		"by the source":         func(c *Catalogue) { c.Apply([]Change{{ServerRemoved: "s"}}, in(2, 11)) },
		"by a read":             func(c *Catalogue) { c.Replace(&Contents{Position: in(2, 11)}) },
		"by a next restoration": func(c *Catalogue) { c.Replace(&Contents{Position: in(3, 10)}) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := server("s", 1)
			c := newCatalogueAt(&now)
			c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
			c.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
			now = now.Add(2 * RemovedServerGrace)
			c.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
			now = now.Add(departedDoubt - RemovedServerGrace/2)
			remove(c)
			for range 4 {
				v := c.View()
				for i := range v.Servers["p"] {
					require.False(t, v.Usable(&v.Servers["p"][i]))
					require.False(t, v.LastResort(&v.Servers["p"][i], now))
				}
				now = now.Add(RemovedServerGrace / 2)
				c.Apply(nil, c.Position())
			}
		})
	}
}

// usable says whether the server called s gets work.
func usable(c *Catalogue) bool {
	v := c.View()
	for i := range v.Servers["p"] {
		if s := &v.Servers["p"][i]; s.Name == "s" && v.Usable(s) {
			return true
		}
	}
	return false
}

// The process that follows a removed one stays in use when a restored source lists the one before.
func TestRestartedServerIsNotDoubtedForProcessBefore(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := server("s", 1), server("s", 2)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(1), Servers: []Server{first}, Position: in(1, 10)})
	c.Apply([]Change{{ServerRemoved: "s"}, {Server: &second}}, in(1, 12))
	for range 2 { // read twice, as after a failed watch
		c.Replace(&Contents{Servers: []Server{first}, Position: in(2, 10)})
		require.True(t, usable(c))
	}
	now = now.Add(restoredGrace)
	c.Apply([]Change{{Server: &first}}, in(2, 11))
	require.False(t, usable(c), "not written again")
	c.Apply([]Change{{Server: &second}}, in(2, 12))
	require.True(t, usable(c))
}

// A process that the source lists after one that is doubted is in use at once, also if it is found by a read.
func TestRestartedServerIsNotDoubted(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := server("s", 1), server("s", 2)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(1), Servers: []Server{first}, Position: in(1, 10)})
	c.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	c.Replace(&Contents{Servers: []Server{first}, Position: in(2, 10)})
	require.False(t, usable(c))
	c.Replace(&Contents{Servers: []Server{second}, Position: in(2, 11)})
	require.True(t, usable(c))
}

// An instance that starts with a doubted server of another instance doubts it again after the next restoration.
func TestDoubtOfPeerIsRenewed(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	r.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	r.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	now = now.Add(departedDoubt / 2)
	f.applyAnswer(r.changesAfter(in(0, 0)))
	now = now.Add(departedDoubt / 4)
	f.Replace(&Contents{Servers: []Server{s}, Position: in(3, 10)})
	now = now.Add(departedDoubt * 3 / 4)
	f.Apply(nil, f.Position())
	require.False(t, usable(f))
	f.Apply([]Change{{Server: &s}}, in(3, 11))
	require.True(t, usable(f), "after the server was written again")
}

// An instance that starts keeps a server from work for good that had left at the instance that it asks.
func TestServerThatLeftIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	leaving := s
	leaving.State = figview.Leaving
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	r.Apply([]Change{{Server: &leaving}, {ServerRemoved: "s"}}, in(1, 12))
	now = now.Add(2 * RemovedServerGrace)
	r.Apply(nil, r.Position())
	r.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	f.applyAnswer(r.changesAfter(in(0, 0)))
	f.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	now = now.Add(departedDoubt)
	for _, c := range []*Catalogue{r, f} {
		c.Apply(nil, c.Position())
		require.False(t, usable(c))
	}
}

// The copy of a restored source lists a process that was followed by one that has left, so that both are gone.
func TestProcessBeforeRemovedOneGetsNoWork(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := server("s", 1), server("s", 2)
	c := newCatalogueAt(&now)
	c.Replace(&Contents{Declarations: version(1), Servers: []Server{first}, Position: in(1, 10)})
	c.Apply([]Change{{Server: &second}}, in(1, 11))
	c.Apply([]Change{{ServerRemoved: "s"}}, in(1, 12))
	now = now.Add(2 * RemovedServerGrace)
	c.Apply(nil, c.Position())
	for epoch := range uint64(2) {
		c.Replace(&Contents{Servers: []Server{first}, Position: in(2+epoch, 10)})
		require.False(t, usable(c))
		now = now.Add(departedDoubt / 2)
	}
	third := server("s", 3)
	c.Apply([]Change{{Server: &third}}, in(3, 11))
	require.True(t, usable(c))
}

// The first contents of an epoch come from another instance, which passes on none of the entries of a server that it knows
// better. The instance's own read of the copy must not undo that the server has left.
func TestGoneServerThatPeerOmitsStaysGone(t *testing.T) {
	s := server("s", 1)
	leaving := s
	leaving.State = figview.Leaving
	for name, known := range map[string][]Change{
		"leaving": {{Server: &leaving}},
		"removed": {{ServerRemoved: "s"}},
		"left":    {{Server: &leaving}, {ServerRemoved: "s"}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			c := newCatalogueAt(&now)
			c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
			c.Apply(known, in(1, 12))
			now = now.Add(2 * RemovedServerGrace)
			c.Apply(nil, c.Position())
			for epoch := range uint64(2) {
				c.applyAnswer(&FollowAnswer{All: &Snapshot{Epoch: 2 + epoch, Revision: 10, Declarations: version(1)}})
				for range 2 {
					c.Replace(&Contents{Servers: []Server{s}, Position: in(2+epoch, 10)})
					require.False(t, usable(c))
				}
			}
			if name != "left" {
				c.Apply([]Change{{Server: &s}}, in(3, 11))
				require.True(t, usable(c), "written again")
			}
		})
	}
}

// A server that the restored source has removed since is not one that it has lost, for an instance that learns of both from
// another one.
func TestServerRemovedSinceRestorationIsNotKept(t *testing.T) {
	for name, before := range map[string][]Server{"known": {server("s", 1)}, "restarted": {server("s", 1), server("s", 2)}} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			s := before[len(before)-1]
			r, late := newCatalogueAt(&now), newCatalogueAt(&now)
			for _, c := range []*Catalogue{r, late} {
				c.Replace(&Contents{Declarations: version(1), Servers: before[:1], Position: in(1, 10)})
				c.Apply([]Change{{Server: &s}}, in(1, 11))
			}
			r.Replace(&Contents{Servers: before[:1], Position: in(2, 10)})
			r.Apply([]Change{{Server: &s}, {ServerRemoved: "s"}}, in(2, 12))
			late.applyAnswer(r.changesAfter(late.Position()))
			require.False(t, usable(late))
			now = now.Add(2 * RemovedServerGrace)
			late.Apply(nil, late.Position())
			late.Replace(&Contents{Servers: []Server{s}, Position: in(3, 10)})
			require.False(t, usable(late), "listed by the next copy")
		})
	}
}

// An instance that starts after a server has left must not use it when the next restored source lists it.
func TestDepartureIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	r.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	now = now.Add(2 * RemovedServerGrace)
	f.applyAnswer(r.changesAfter(in(0, 0)))
	f.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	require.False(t, usable(f))
	f.Apply([]Change{{Server: &s}}, in(2, 11))
	require.True(t, usable(f), "written again")
}

// What a restored source lacks is kept for a time after the restoration, not after an instance has heard of it.
func TestGraceCountsFromRestoration(t *testing.T) {
	now := time.Unix(1000, 0)
	r, late := newCatalogueAt(&now), newCatalogueAt(&now)
	for _, c := range []*Catalogue{r, late} {
		c.Replace(&Contents{
			Declarations: version(1), Servers: []Server{server("s", 1)}, DrainedDataCentres: []string{"west"}, Position: in(1, 10),
		})
	}
	r.Replace(&Contents{Position: in(2, 9)})
	now = now.Add(restoredGrace - 10*time.Millisecond)
	late.applyAnswer(r.changesAfter(late.Position()))
	require.True(t, usable(r))
	require.True(t, usable(late))
	now = now.Add(10 * time.Millisecond)
	for _, c := range []*Catalogue{r, late} {
		c.Apply(nil, c.Position())
		require.False(t, usable(c))
		require.Empty(t, c.View().DrainedDataCentres)
	}
}

// What is kept against a restored source stays kept while no instance hears from the source: nobody can write again then.
func TestKeptEntriesOutlastSilence(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	r, f := newCatalogueAt(&now), newCatalogueAt(&now)
	r.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, DrainedDataCentres: []string{"west"}, Position: in(1, 10)})
	r.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	f.applyAnswer(r.changesAfter(in(0, 0)))
	for _, c := range []*Catalogue{r, f} {
		c.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	}
	// The reader waits for its watch and believes that it reads the source.
	now = now.Add(departedDoubt + time.Second)
	f.applyAnswer(r.changesAfter(f.Position()))
	require.False(t, usable(f))
	require.NotEmpty(t, f.View().DrainedDataCentres)
	r.Apply(nil, r.Position())
	f.applyAnswer(r.changesAfter(f.Position()))
	require.True(t, usable(f), "listed for as long as it is doubted")
	require.Empty(t, f.View().DrainedDataCentres)
}

// An instance that starts must not use a data centre that the instance it asks keeps drained.
func TestDrainedDataCentreIsPassedOn(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	other, c := newCatalogueAt(&now), newCatalogueAt(&now)
	other.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	other.Apply([]Change{{DrainedDataCentre: "east"}}, in(1, 11))
	other.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10)})
	require.False(t, usable(other), "instance that is asked")
	c.applyAnswer(other.changesAfter(c.Position()))
	require.False(t, usable(c), "instance that starts")
	c.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(2, 10)})
	require.False(t, usable(c), "after its own read")
	now = now.Add(restoredGrace)
	c.Apply(nil, in(2, 10))
	require.True(t, usable(c), "not drained again")
}

// A restored source must not end a cold start that the entry of its copy doesn't know of, nor must a later read of it.
func TestColdStartOutlastsRestoration(t *testing.T) {
	now := time.Unix(1000, 0)
	s := server("s", 1)
	cold := s
	cold.ColdStartEnd = now.Add(20 * time.Second)
	first, c := newCatalogueAt(&now), newCatalogueAt(&now)
	first.Replace(&Contents{Declarations: version(1), Servers: []Server{s}, Position: in(1, 10)})
	first.Apply([]Change{{Server: &cold}}, in(1, 11))
	first.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
	c.applyAnswer(first.changesAfter(c.Position()))
	for name, known := range map[string]*Catalogue{"knows the entry": first, "starts": c} {
		known.Replace(&Contents{Servers: []Server{s}, Position: in(2, 10)})
		require.True(t, known.View().Servers["p"][0].InColdStart(now), name)
		known.Apply([]Change{{Server: &s}}, in(2, 11))
		require.False(t, known.View().Servers["p"][0].InColdStart(now), name+", after the server was written again")
	}
}

// contentsOf returns contents with these servers.
func contentsOf(position figview.Position, servers ...Server) *Contents {
	return &Contents{Declarations: version(1), Servers: servers, Position: position}
}

// An instance that was cut off while something changed, and that reads the restored source itself, must not use what
// others keep from work, nor an older configuration.
func TestCutInstanceReadsRestoredSource(t *testing.T) {
	s := server("s", 1)
	leaving := s
	leaving.State = figview.Leaving
	for name, change := range map[string]Change{
		"leaving":             {Server: &leaving},
		"removed":             {ServerRemoved: "s"},
		"drained data centre": {DrainedDataCentre: "east"},
		"declarations":        {Declarations: version(12)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				now := time.Now()
				other := newCatalogueAt(&now)
				other.Replace(contentsOf(in(1, 10), s))
				other.Apply([]Change{change}, in(1, 11))
				other.Replace(contentsOf(in(2, 10), s))
				c := New(Options{
					IsReader: always, Clock: figtimer.System(),
					Source: Source{
						Read: func(context.Context) (*Contents, error) { return contentsOf(in(2, 10), s), nil },
						Watch: func(ctx context.Context, after figview.Position, wait time.Duration) ([]Change, figview.Position, error) {
							if after.Epoch < 2 {
								return nil, in(2, 0), ErrHistoryLost
							}
							select {
							case <-ctx.Done():
								return nil, at(0), ctx.Err()
							case <-time.After(wait):
								return nil, in(2, 10), nil
							}
						},
					},
					QueryPeer: func(ctx context.Context, q *SnapshotRequest) (*Snapshot, string, error) {
						a, err := other.Answer(ctx, q)
						return a, "other", err
					},
					FetchFrom: func(ctx context.Context, _ figview.Member, q *FollowRequest) (*FollowAnswer, error) {
						return other.HandleFollow(ctx, q)
					},
				})
				c.Replace(contentsOf(in(1, 10), s))
				c.reading.position, c.reading.complete = in(1, 10), true
				go func() { _ = c.Run(ctx, figtimer.New(figtimer.System())) }()
				go func() { _ = c.RunCatchUp(ctx, figtimer.New(figtimer.System())) }()
				<-time.After(100 * time.Millisecond)
				c.NotePosition(figview.Member{Name: "other"}, other.Position())
				<-time.After(500 * time.Millisecond)
				if change.Declarations != nil {
					require.EqualValues(t, 12, other.View().Table.Version)
					require.EqualValues(t, 12, c.View().Table.Version)
				} else {
					require.False(t, usable(other), "instance in touch")
					require.False(t, usable(c), "instance that was cut off")
				}
				cancel()
				<-time.After(10 * time.Second)
			})
		})
	}
}

// An instance whose contents leave out a server's process, because it knows a later one, must not make others trust it.
func TestLearntDepartureIsDoubted(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := server("s", 1), server("s", 2)
	doubts, keeps, late := newCatalogueAt(&now), newCatalogueAt(&now), newCatalogueAt(&now)
	for _, c := range []*Catalogue{doubts, keeps} {
		c.Replace(&Contents{Declarations: version(1), Servers: []Server{first}, Position: in(1, 10)})
		c.Apply([]Change{{ServerRemoved: "s"}}, in(1, 11))
	}
	keeps.Apply([]Change{{Server: &second}}, in(1, 12))
	now = now.Add(2 * RemovedServerGrace)
	copied := func() *Contents { return &Contents{Servers: []Server{first}, Position: in(2, 10)} }
	doubts.Replace(copied())
	require.False(t, usable(doubts))
	keeps.applyAnswer(doubts.changesAfter(keeps.Position()))
	require.True(t, usable(keeps), "the later process")
	late.applyAnswer(keeps.changesAfter(in(0, 0)))
	late.Replace(copied())
	require.False(t, usable(late), "an instance that starts")
	now = now.Add(departedDoubt)
	late.Apply(nil, in(2, 10))
	require.True(t, usable(late), "a server that stays listed is in use again")
}
