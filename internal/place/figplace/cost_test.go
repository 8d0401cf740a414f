package figplace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// size is a number of backend servers and of instances.
type size struct{ servers, members int }

var sizes = []size{{10, 9}, {100, 45}, {3800, 480}}

func (s size) String() string { return fmt.Sprint(s.servers, " servers, ", s.members, " members") }

// counter answers for all owners: it grants every request, and counts messages and their encoded bytes.
type counter struct {
	*fleet
	messages, bytes int
	lease           uint64
}

func newCounter(s size) *counter {
	return &counter{fleet: newLists(s.members, s.servers)}
}

func (c *counter) placer() *Placer {
	m := c.view.Members[0]
	return New(Options{
		Self: m.Name, DataCentre: m.DataCentre, Clock: c.clock(), Random: rand.New(rand.NewPCG(1, 2)).Uint64,
		View: c.getView, Servers: c.getServers, Tree: c.getTree, SendToOwner: c.answer,
	})
}

func (c *counter) answer(_ context.Context, _ figview.Member, q *figowner.Request) (*figowner.Reply, error) {
	r := &figowner.Reply{Epoch: 1 << 60}
	for _, a := range q.Reserve {
		c.lease++
		r.Results = append(r.Results, figowner.ReservationResult{Lease: c.lease, PrefillDoneMillis: 200})
		r.Loads = append(r.Loads, figowner.Load{
			Server: a.Server, FreePieces: 20, TotalPieces: 56, QueueTokens: 3000, TokensPerSecond: 20000, LinkKilobytesPerSecond: 8e6,
		})
	}
	c.messages += 2
	for _, m := range []any{q, r} {
		b, err := cbor.Marshal(m)
		if err != nil {
			return nil, err
		}
		c.bytes += len(b)
	}
	return r, nil
}

func uuid(i int) string { return fmt.Sprintf("%08x-0000-4000-8000-000000000000", i) }

// The messages, bytes and allocations of a placement don't grow with the fleet.
func TestDecisionCostDoesNotGrow(t *testing.T) {
	var baseline []float64
	for _, s := range sizes {
		c := newCounter(s)
		p := c.placer()
		i := 0
		placeOne := func() {
			i++
			r := request(uuid(i))
			r.Prefix = []uint64{uint64(i % 50), uint64(i)}
			x, err := p.Place(t.Context(), r)
			require.NoError(t, err)
			x.PrefillDone(1500, 100*time.Millisecond)
			x.Release()
			c.now = c.now.Add(43 * time.Millisecond)
		}
		// The first lookup of each server computes its owner, once for each list.
		for range 3 * s.servers {
			placeOne()
		}
		c.messages, c.bytes = 0, 0
		const runs = 500
		allocations := testing.AllocsPerRun(runs, placeOne)
		got := []float64{float64(c.messages) / (runs + 1), float64(c.bytes) / (runs + 1), allocations}
		t.Logf("%v: %.1f messages, %.0f bytes, %.0f allocations", s, got[0], got[1], got[2])
		if baseline == nil {
			baseline = got
		}
		for k := range got {
			require.LessOrEqual(t, got[k], 1.25*baseline[k])
		}
	}
}

// At a steady request rate, an instance sends and receives no more placement messages than it would if each
// reservation, release and renewal were a message of its own, even if few of them have the same owner.
func TestControlBytes(t *testing.T) {
	const (
		rate        = 23
		requestTime = 7 * time.Second
		duration    = 60 * time.Second
	)
	for _, s := range sizes {
		c := newCounter(s)
		p := c.placer()
		var running []*Placement
		var ends []time.Time
		n := 0
		for c.now.Sub(testStart) < duration {
			c.now = c.now.Add(time.Second / rate)
			n++
			x, err := p.Place(t.Context(), request(uuid(n)))
			require.NoError(t, err)
			x.PrefillDone(1500, 100*time.Millisecond)
			running, ends = append(running, x), append(ends, c.now.Add(requestTime))
			for len(ends) > 0 && !c.now.Before(ends[0]) {
				running[0].Release()
				running, ends = running[1:], ends[1:]
			}
			p.Flush(t.Context())
		}
		t.Logf("%v: %.0f messages and %.0f bytes a second, %.1f and %.0f for each request", s,
			float64(c.messages)/duration.Seconds(), float64(c.bytes)/duration.Seconds(),
			float64(c.messages)/float64(n), float64(c.bytes)/float64(n))
		// Two reservations, two releases and the renewals, each with a request and a reply.
		maxMessages := 2 * (2 + 2 + float64(requestTime/renewInterval))
		require.LessOrEqual(t, float64(c.messages)/float64(n), maxMessages)
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, s := range sizes {
		b.Run(s.String(), func(b *testing.B) {
			c := newCounter(s)
			p := c.placer()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				x, err := p.Place(b.Context(), request(uuid(i)))
				require.NoError(b, err)
				x.PrefillDone(1500, 100*time.Millisecond)
				x.Release()
				c.now = c.now.Add(43 * time.Millisecond)
			}
			b.ReportMetric(float64(c.messages)/float64(b.N), "messages/op")
			b.ReportMetric(float64(c.bytes)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkListChange measures how long an instance takes to process a new list, as placer and as owner.
func BenchmarkListChange(b *testing.B) {
	for _, s := range sizes {
		c := newCounter(s)
		b.Run("placer/"+s.String(), func(b *testing.B) {
			for b.Loop() {
				newCatalogue(c.view, c.servers, nil)
			}
		})
		b.Run("owner/"+s.String(), func(b *testing.B) {
			o := c.newOwner(c.view.Members[0].Name)
			for b.Loop() {
				c.view = figview.NewView(c.view.Version+1, c.view.Members)
				o.RecordPoll("none", nil, nil)
			}
		})
	}
}
