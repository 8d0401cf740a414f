package figstore_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// step is how often tests look at a condition, in virtual time.
const step = 5 * time.Millisecond

// count adds a call's encoded bytes.
func (n *network) count(q, r any) {
	a, _ := cbor.Marshal(q)
	b, _ := cbor.Marshal(r)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent.calls++
	n.sent.bytes += len(a) + len(b)
}

// until waits in virtual time for a condition and returns how long it took.
func until(t *testing.T, limit time.Duration, condition func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !condition() {
		require.Less(t, time.Since(began), limit)
		<-time.After(step)
	}
	return time.Since(began)
}

func all(nodes []*node, condition func(*node) bool) bool {
	return !slices.ContainsFunc(nodes, func(d *node) bool { return !condition(d) })
}

func ready(d *node) bool { return d.store.Ready() && d.members.Fresh() }

// rate returns a document with one account at a rate, for tests that look at it.
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

// A change is in force everywhere within two seconds at the 99th percentile,
// with one of the readers cut off from the service.
func TestChangeInForceWithReaderCutOff(t *testing.T) {
	fleetOf(t, 9, func(t *testing.T, n *network, s *service, nodes []*node) {
		reader := nodes[0].store.View().Readers()[0].Name
		n.setCut(reader, "service", true)
		times := make([]time.Duration, 0, 200)
		for i := range 200 {
			s.publish("team/accounts", rate(i+1))
			times = append(times, until(t, 10*time.Second, func() bool { return all(nodes, has(int64(i+1))) }))
			<-time.After(time.Duration(i*37%400) * time.Millisecond)
		}
		slices.Sort(times)
		p99 := times[len(times)*99/100-1]
		t.Logf("publication to force over 9: median %v, p99 %v, most %v", times[100], p99, times[199])
		require.Less(t, p99, 2*time.Second)
	})
}

// All instances hold a new list, and know of each other that they do.
func TestAllAckAndStayFresh(t *testing.T) {
	fleetOf(t, 9, func(t *testing.T, _ *network, s *service, nodes []*node) {
		v := s.list(figview.Member{Name: memberName(8), DataCentre: "dc2"}, true)
		left := nodes[:8]
		until(t, 5*time.Second, func() bool {
			return all(left, func(d *node) bool {
				_, ok := d.members.AllAcked(v)
				return ok && ready(d)
			})
		})
	})
}

// With the service away for an hour, all keep serving, say so, and stay fresh by
// hearing each other; its return is noticed.
func TestServiceDownForAnHour(t *testing.T) {
	fleetOf(t, 9, func(t *testing.T, _ *network, s *service, nodes []*node) {
		s.publish("team/accounts", rate(5))
		until(t, 5*time.Second, func() bool { return all(nodes, has(5)) })
		s.setDown(true)
		<-time.After(10 * time.Second)
		before := s.readCount()
		for range 60 {
			<-time.After(time.Minute)
			require.True(t, all(nodes, ready))
			require.True(t, all(nodes, has(5)))
			require.True(t, all(nodes, func(d *node) bool { return d.store.Status().Service == "unreachable" }))
		}
		perSecond := float64(s.readCount()-before) / 3600
		t.Logf("reads a second of 9 while the service is down: %.2f", perSecond)
		require.Less(t, perSecond, 27.0)
		s.setDown(false)
		s.publish("team/accounts", rate(6))
		took := until(t, 15*time.Second, func() bool { return all(nodes, has(6)) })
		t.Logf("in force %v after the service's return", took)
	})
}

// While a fleet is in order, all say so all the time.
func TestStatusInOrder(t *testing.T) {
	fleetOf(t, 9, func(t *testing.T, _ *network, _ *service, nodes []*node) {
		<-time.After(5 * time.Second)
		for range 600 {
			<-time.After(100 * time.Millisecond)
			require.True(t, all(nodes, func(d *node) bool { return d.store.Status().Service == "reachable" }))
		}
	})
}
