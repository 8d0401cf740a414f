package figplace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet holds the owners and placers of several instances in one process, with a clock that the test
// advances.
type fleet struct {
	now     time.Time
	view    *figview.View
	servers *figview.Servers
	tree    *figtree.Tree
	owners  map[string]*figowner.Owner
	placers map[string]*Placer
	down    map[string]bool
	// loseReplies drops the owners' replies after they have handled the request.
	loseReplies bool
	// onAsk is called before an owner handles a request.
	onAsk    func(m figview.Member, q *figowner.Request)
	requests []*figowner.Request
	replies  []*figowner.Reply
}

func newFleet(members, servers int) *fleet {
	f := newLists(members, servers)
	for i, m := range f.view.Members {
		f.owners[m.Name] = f.newOwner(m.Name)
		f.placers[m.Name] = f.newPlacer(m, uint64(i))
	}
	return f
}

// newLists returns a fleet with published lists but without owners and placers.
func newLists(members, servers int) *fleet {
	f := &fleet{now: testStart, owners: map[string]*figowner.Owner{}, placers: map[string]*Placer{}, down: map[string]bool{}}
	centres := []string{"a", "b", "c"}
	f.tree = figtree.New(1, figtree.Contents{
		Pools: []*figtree.Pool{{
			ID: "chat", BlockTokens: 2048, FirstTokenTarget: 2 * time.Second, PrefillResultTTL: 800 * time.Millisecond,
		}},
		DataCentres: []figtree.DataCentre{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}, {Name: "c", Region: "r"}},
	})
	list := make([]figview.Member, 0, members)
	for i := range members {
		list = append(list, figview.Member{Name: fmt.Sprintf("entry%03d", i), DataCentre: centres[i%3]})
	}
	f.view = figview.NewView(1, list)
	f.servers = &figview.Servers{Version: 1}
	for i := range servers {
		role := figview.Decode
		if i%5 < 2 {
			role = figview.Prefill
		}
		f.servers.All = append(f.servers.All, figview.Server{
			Name: fmt.Sprintf("server%04d", i), DataCentre: centres[i/5%3], Pool: "chat", Role: role,
		})
	}
	return f
}

func (f *fleet) getView() *figview.View       { return f.view }
func (f *fleet) getServers() *figview.Servers { return f.servers }
func (f *fleet) getTree() *figtree.Tree       { return f.tree }

func (f *fleet) clock() figtimer.Clock {
	return figtimer.Clock{Now: func() time.Time { return f.now }}
}

func (f *fleet) newOwner(name string) *figowner.Owner {
	return figowner.New(figowner.Options{
		Self: name, Incarnation: 7, Clock: f.clock(),
		View: f.getView, Servers: f.getServers,
		Pool:              func(id string) (*figtree.Pool, bool) { return f.tree.Pool(id) },
		DataCentreDrained: func(name string) bool { return f.tree.DataCentreOutOfService(name) },
		ViewFresh:         func() bool { return true },
	})
}

func (f *fleet) newPlacer(m figview.Member, seed uint64) *Placer {
	return New(Options{
		Self: m.Name, DataCentre: m.DataCentre, Clock: f.clock(),
		Random: rand.New(rand.NewPCG(seed, 1)).Uint64,
		View:   f.getView, Servers: f.getServers, Tree: f.getTree, SendToOwner: f.ask,
	})
}

func (f *fleet) ask(ctx context.Context, m figview.Member, q *figowner.Request) (*figowner.Reply, error) {
	if f.down[m.Name] {
		return nil, errors.New("no answer")
	}
	if f.onAsk != nil {
		f.onAsk(m, q)
	}
	r, err := f.owners[m.Name].HandleReserve(ctx, q)
	f.requests, f.replies = append(f.requests, q), append(f.replies, r)
	if f.loseReplies {
		return nil, errors.New("reply lost")
	}
	return r, err
}

// report gives every owner a report for each of its servers: 40 pieces, of which the running requests are
// taken.
func (f *fleet) report(running map[string][]figowner.Running) {
	for _, s := range f.servers.All {
		m, _ := figowner.OwnerOf(f.view, s)
		held := int64(0)
		for _, x := range running[s.Name] {
			held += x.Pieces
		}
		f.owners[m.Name].RecordPoll(s.Name, &figowner.Report{
			StartedAt: testStart.Add(-time.Hour), PiecesTotal: 40, PiecesFree: 40 - held,
			Running: running[s.Name],
		}, nil)
	}
}

// warmUp advances the clock until all owners' handover time and the ramps of all servers have ended.
func (f *fleet) warmUp() {
	f.report(nil)
	for range 8 {
		f.now = f.now.Add(500 * time.Millisecond)
		f.report(nil)
	}
	f.requests, f.replies = nil, nil
}

func (f *fleet) leaseCount() int {
	n := 0
	for _, o := range f.owners {
		for _, s := range o.Status() {
			n += s.Leases
		}
	}
	return n
}

func request(id string) Request {
	return Request{ID: id, Pool: "chat", PromptTokens: 1500, OutputTokens: 300}
}

func TestPlaceReservesBothRolesAndReleasesOnce(t *testing.T) {
	f := newFleet(3, 10)
	f.warmUp()
	p := f.placers["entry000"]
	x, err := p.Place(t.Context(), request("r1"))
	require.NoError(t, err)
	require.Equal(t, figview.Prefill, x.Prefill.Role)
	require.Equal(t, figview.Decode, x.Decode.Role)
	require.Equal(t, 2, f.leaseCount())
	require.True(t, x.DecodeLeaseValid())

	x.PrefillDone(1500, 200*time.Millisecond)
	p.Flush(t.Context())
	require.Equal(t, 1, f.leaseCount())

	x.SetGeneratedTokens(300)
	x.Release()
	x.Release()
	p.Flush(t.Context())
	require.Zero(t, f.leaseCount())
	require.False(t, x.DecodeLeaseValid())
	released := 0
	for _, q := range f.requests {
		released += len(q.Release)
	}
	require.Equal(t, 2, released, "one release for each role")
}

func TestPlaceWithoutServers(t *testing.T) {
	f := newFleet(3, 10)
	var none *NoServerError
	_, err := f.placers["entry000"].Place(t.Context(), Request{ID: "r1", Pool: "other"})
	require.ErrorAs(t, err, &none)

	// Before any report of the servers, there are servers but no room on them.
	var full *NoCapacityError
	_, err = f.placers["entry000"].Place(t.Context(), request("r2"))
	require.ErrorAs(t, err, &full)
	require.Positive(t, full.RetryAfter)
	f.placers["entry000"].Flush(t.Context())
	require.Zero(t, f.leaseCount())
}
