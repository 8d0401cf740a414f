package figstore_test

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/fleet/figpeer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// listen starts a node whose store and membership use TCP and HTTP.
func listen(ctx context.Context, b *testing.B, l net.Listener, m figview.Member, platform string) *node {
	h, c := figpeer.NewHandlers(), figpeer.NewClient(figpeer.ClientOptions{})
	b.Cleanup(func() { _ = c.Close() })
	d := newNode(m, figstore.Options{
		Platform: figplatform.HTTP(platform),
		SendRequest: func(ctx context.Context, to figview.Member, q *figstore.Request) (*figstore.Reply, error) {
			return figpeer.Call[figstore.Request, figstore.Reply](ctx, c, to, "config", q)
		},
	}, figmember.Options{
		Incarnation: 1,
		SendHeartbeat: func(ctx context.Context, to figview.Member, q *figmember.Heartbeat) (*figmember.Heartbeat, error) {
			return figpeer.Call[figmember.Heartbeat, figmember.Heartbeat](ctx, c, to, "beat", q)
		},
	})
	figpeer.Handle(h, "config", d.store.Answer)
	figpeer.Handle(h, "beat", d.members.HandleHeartbeat)
	d.done.Go(func() { _ = h.Serve(ctx, l) })
	d.run(ctx)
	return d
}

// BenchmarkPublicationToForce measures the time from the publication of a change until it is active on nine
// instances, over HTTP and TCP on loopback, while one reader can't reach the service.
func BenchmarkPublicationToForce(b *testing.B) {
	emulator, err := figemulator.StartPlatform(figemulator.PlatformOptions{})
	require.NoError(b, err)
	cut, err := emulator.StartReader(figemulator.ReaderOptions{})
	require.NoError(b, err)
	defer func() { _ = emulator.Close() }()
	emulator.Publish("pools", "pools: [{name: p, models: [m]}]\n")
	emulator.Publish("team/accounts", rate(0))
	ctx, cancel := context.WithCancel(context.Background())

	const size = 9
	listeners, members := make([]net.Listener, size), make([]figview.Member, size)
	for i := range size {
		listeners[i], err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		members[i] = memberOf(i)
		members[i].Address = listeners[i].Addr().String()
		emulator.SetInstance(figemulator.InstanceRow{
			Name: members[i].Name, Address: members[i].Address, DataCentre: members[i].DataCentre, State: "live",
		})
	}
	reader := figview.NewView(1, members).Readers()[0]
	nodes := make([]*node, 0, size)
	for i, m := range members {
		address := emulator.Address()
		if m.Name == reader.Name {
			address = cut.Address()
		}
		nodes = append(nodes, listen(ctx, b, listeners[i], m, address))
	}
	wait := func(condition func(*node) bool) {
		for !all(nodes, condition) {
			<-time.After(100 * time.Microsecond)
		}
	}
	wait(ready)
	cut.Silent(true)
	var times []time.Duration
	for b.Loop() {
		n := len(times) + 1
		began := time.Now()
		emulator.Publish("team/accounts", rate(n))
		wait(has(int64(n)))
		times = append(times, time.Since(began))
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "most-ms")
	cancel()
	endAll(nodes)
}
