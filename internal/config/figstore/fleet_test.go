package figstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// checkInterval is how often tests check a condition, in virtual time.
const checkInterval = 5 * time.Millisecond

// node holds an instance's store and membership.
type node struct {
	figview.Member
	store   *figstore.Store
	members *figmember.Membership
	stop    context.CancelFunc
	done    sync.WaitGroup
}

// newNode creates the store and membership of one instance and connects them as an instance does.
func newNode(m figview.Member, store figstore.Options, members figmember.Options) *node {
	d := &node{Member: m}
	store.Self = m.Name
	store.PeerAnsweredAt = func() time.Time { return d.members.ConfirmedElsewhere() }
	d.store = figstore.New(store)
	members.Self = m
	members.View, members.Confirmed, members.Digest = d.store.View, d.store.Confirmed, d.store.Digest
	members.OnHeartbeat = func(from figview.Member, b *figmember.Heartbeat) {
		d.store.PullIfBehind(from, b.Highest, b.Digest, b.View)
	}
	d.members = figmember.New(members)
	return d
}

func (d *node) run(ctx context.Context) {
	ctx, d.stop = context.WithCancel(ctx)
	t := figtimer.New(figtimer.System())
	d.done.Go(func() { _ = d.store.Run(ctx, t) })
	d.done.Go(func() { _ = d.members.Run(ctx, t) })
}

func (d *node) end() {
	d.stop()
	d.done.Wait()
}

func endAll(nodes []*node) {
	for _, d := range nodes {
		d.stop()
	}
	for _, d := range nodes {
		d.end()
	}
}

// start runs a node. The incarnation must grow with each start under the same name.
func start(
	ctx context.Context, n *network, s *service, m figview.Member, incarnation uint64, seeds ...figview.Member,
) *node {
	r := rand.New(rand.NewPCG(incarnation, figview.Key(m.Name)))
	var mu sync.Mutex
	random := func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return r.Float64()
	}
	type answerStore = func(context.Context, *figstore.Request) (*figstore.Reply, error)
	type answerMembers = func(context.Context, *figmember.Heartbeat) (*figmember.Heartbeat, error)
	d := newNode(m, figstore.Options{
		Random: random, Platform: reader{s, n, m.Name}.platform(), Seeds: seeds,
		SendRequest: func(ctx context.Context, to figview.Member, q *figstore.Request) (*figstore.Reply, error) {
			return call(ctx, n, m.Name, to.Name, q, func(p *node) answerStore { return p.store.Answer })
		},
	}, figmember.Options{
		Incarnation: incarnation, Random: random,
		SendHeartbeat: func(ctx context.Context, to figview.Member, b *figmember.Heartbeat) (*figmember.Heartbeat, error) {
			return call(ctx, n, m.Name, to.Name, b, func(p *node) answerMembers { return p.members.HandleHeartbeat })
		},
	})
	d.run(ctx)
	n.nodes.Store(m.Name, d)
	return d
}

func memberOf(i int) figview.Member {
	return figview.Member{Name: fmt.Sprintf("i%03d", i), Address: "10.0.0.1:7000", DataCentre: fmt.Sprint("dc", i%3)}
}

// rate returns a document that declares one account with n tokens per second.
func rate(n int) string {
	return fmt.Sprintf("accounts: [{name: a, tokensPerSecond: %d, pools: [p]}]\n", n)
}

func (d *node) rate() int64 {
	a, ok := d.store.Tree().Account("team/a")
	if !ok {
		return -1
	}
	return a.TokensPerSecond
}

func all(nodes []*node, condition func(*node) bool) bool {
	return !slices.ContainsFunc(nodes, func(d *node) bool { return !condition(d) })
}

func has(n int64) func(*node) bool { return func(d *node) bool { return d.rate() == n } }

func ready(d *node) bool { return d.store.Ready() && d.members.Fresh() }

func reports(service string) func(*node) bool {
	return func(d *node) bool { return d.store.Status().Service == service }
}

// fleet is a set of instances in three data centres with their network and service.
type fleet struct {
	t     *testing.T
	n     *network
	s     *service
	nodes []*node
	// readyAfter is how long it took until all were ready.
	readyAfter time.Duration
}

// fleetOf starts a fleet, waits until all nodes are ready and runs a test over it.
func fleetOf(t *testing.T, size int, test func(f *fleet)) {
	if size > largestFleet {
		t.Logf("skipped: a fleet of %d is too large for the race detector", size)
		return
	}
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, n: &network{}, s: newService()}
		f.s.publish("pools", "pools: [{name: p, models: [m]}]\n")
		f.publish(0)
		for i := range size {
			f.s.list(memberOf(i), false)
		}
		for i := range size {
			f.nodes = append(f.nodes, start(t.Context(), f.n, f.s, memberOf(i), 1))
		}
		f.readyAfter = f.untilAll(10*time.Second, ready)
		test(f)
		endAll(f.nodes)
	})
}

// publish publishes the account document with a rate of n.
func (f *fleet) publish(n int) { f.s.publish("team/accounts", rate(n)) }

// until waits in virtual time for a condition and returns how long it took. It fails the test at limit.
func (f *fleet) until(limit time.Duration, condition func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !condition() {
		require.Less(f.t, time.Since(began), limit)
		<-time.After(checkInterval)
	}
	return time.Since(began)
}

func (f *fleet) untilAll(limit time.Duration, condition func(*node) bool) time.Duration {
	f.t.Helper()
	return f.until(limit, func() bool { return all(f.nodes, condition) })
}

// change publishes a rate and returns how long it took until all nodes had it.
func (f *fleet) change(n int, limit time.Duration) time.Duration {
	f.t.Helper()
	f.publish(n)
	return f.untilAll(limit, has(int64(n)))
}

func (f *fleet) requireAll(conditions ...func(*node) bool) {
	f.t.Helper()
	for _, c := range conditions {
		require.True(f.t, all(f.nodes, c))
	}
}

// stays checks conditions on all nodes a number of times, once per interval.
func (f *fleet) stays(checks int, interval time.Duration, conditions ...func(*node) bool) {
	f.t.Helper()
	for range checks {
		<-time.After(interval)
		f.requireAll(conditions...)
	}
}

// reader returns the index of the first reader.
func (f *fleet) reader() int {
	first := f.nodes[0].store.View().Readers()[0].Name
	return slices.IndexFunc(f.nodes, func(d *node) bool { return d.Name == first })
}

// remove takes the last instance off the list and returns the list's revision.
func (f *fleet) remove() uint64 { return f.s.list(f.nodes[len(f.nodes)-1].Member, true) }
