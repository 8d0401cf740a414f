package figbudget

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// caseLimits refill fast against the burst, so that a slot spent at two places
// shows within a lease.
var caseLimits = Limits{TokensPerSecond: 300, Burst: 900}

// calmTrial is a trial without faults of the network, with full slots.
func faultFreeSimulation(majority bool) *checkedSimulation {
	t := newCheckedSimulation(1, majority, caseLimits)
	t.network = network{}
	for _, n := range t.nodes {
		n.clockRate, n.tickPeriod = 1, tickInterval
	}
	t.advance(15 * time.Second)
	return t
}

// parties returns the holder of a slot whose next holder stands in the same
// data centre, that next one, and a node that holds no slot.
func (t *checkedSimulation) chooseNodes() (holder, next, lessee *node) {
	p := newPlacement(t.view)
	for i := range SlotCount {
		m, _ := p.holder(slotID{account, i})
		n, _ := p.without(m.Name).holder(slotID{account, i})
		if n.DataCentre == m.DataCentre {
			holder, next = t.byName(m.Name), t.byName(n.Name)
		}
	}
	for _, n := range t.nodes {
		if _, holds := slotOf(t.view, n.name, account); n != next && !holds {
			lessee = n
		}
	}
	return holder, next, lessee
}

// cutMajority cuts the holder, the lessee and one more off, but not the next holder.
func (t *checkedSimulation) partitionMajority(holder, next, lessee *node) []*node {
	i := slices.IndexFunc(t.nodes, func(n *node) bool { return n != next && n != holder && n != lessee })
	partitioned := []*node{holder, lessee, t.nodes[i]}
	for _, n := range partitioned {
		t.partitioned[n.name] = true
	}
	return partitioned
}

// unlist publishes a list without some nodes, after messages under way.
func (t *checkedSimulation) unlist(nodes ...*node) {
	t.advance(10 * time.Millisecond)
	t.publishView(func(m *figview.Member) bool {
		return !slices.Contains(nodes, t.byName(m.Name))
	})
}

// TestACutOffHolderAndItsLessee cuts a holder and a lessee off and takes both off
// the list. The lessee leases all it can at the last moment and spends it at the
// end of the lease, while the next holder spends what it has regenerated.
func TestPartitionedHolderAndLessee(t *testing.T) {
	for delay := 1000 * time.Millisecond; delay <= 2200*time.Millisecond; delay += 100 * time.Millisecond {
		c := faultFreeSimulation(false)
		holder, _, lessee := c.chooseNodes()
		c.partitioned[holder.name], c.partitioned[lessee.name] = true, true
		c.unlist(holder, lessee)
		c.advance(delay)
		c.leaseAndAbandon(lessee, caseLimits.Burst)
		c.advance(leaseTTL*6/10 - 100*time.Millisecond)
		c.spendRepeatedly(80, 100*time.Millisecond)
		require.NoError(t, c.err, "leased %s after the change", delay)
		require.Positive(t, c.reserved)
	}
}

// TestAHolderLeftWithAMajority leaves a holder that is off the list with a
// majority that hasn't heard of it, and cuts all of them from the service.
func TestUnlistedHolderWithMajority(t *testing.T) {
	c := faultFreeSimulation(true)
	holder, next, lessee := c.chooseNodes()
	c.partitionMajority(holder, next, lessee)
	require.Len(t, c.partitioned, 3)
	c.unlist(holder)
	c.spendRepeatedly(100, 200*time.Millisecond)
	require.NoError(t, c.err)
	require.True(t, holder.viewIsFresh(), "the case is one in which it goes on")
}

// TestAHolderThatComesBack takes a holder off the list while it is cut off, and
// lists it again: it misses the list without it.
func TestHolderListedAgain(t *testing.T) {
	c := faultFreeSimulation(false)
	holder, next, _ := c.chooseNodes()
	c.partitioned[holder.name] = true
	c.unlist(holder)
	c.advance(15 * time.Second)
	id, ok := slotOf(c.view, next.name, account)
	require.True(t, ok)
	require.Equal(t, active, next.heldSlot(id, next.localTime()).state)
	c.spendRepeatedly(5, 20*time.Millisecond)
	c.partitioned[holder.name] = false
	c.unlist()
	c.spendRepeatedly(40, 100*time.Millisecond)
	require.NoError(t, c.err)
}

// TestTheCornerGoesNoFurther takes a majority that lives off the list, one after
// the other, while it is cut off from the service and from all who know. This is
// the one way to two holders. Each side alone keeps the bound, and the overspend
// ends when the two sides meet.
func TestUnlistedMajorityOverspendsAtMostTwice(t *testing.T) {
	c := faultFreeSimulation(true)
	holder, next, lessee := c.chooseNodes()
	partitioned := c.partitionMajority(holder, next, lessee)
	for i := range partitioned {
		c.unlist(partitioned[:i+1]...)
		c.advance(50 * time.Millisecond)
	}
	c.spendRepeatedly(60, 200*time.Millisecond)
	require.Error(t, c.err, "the corner is real")
	require.NoError(t, c.checkTimes(2), "and holds at most twice the bound")

	clear(c.partitioned)
	c.advance(maxViewAge)
	c.charges, c.err = nil, nil
	c.spendRepeatedly(60, 200*time.Millisecond)
	require.NoError(t, c.err)
}

// sides checks the bound times a number of sides over all intervals.
func (t *checkedSimulation) checkTimes(number int64) error {
	charges, declarations := t.charges, t.declarations
	defer func() { t.charges, t.declarations = charges, declarations }()
	t.declarations = []declaredLimits{{Limits: Limits{
		TokensPerSecond: number * caseLimits.TokensPerSecond,
		Burst:           number * caseLimits.Burst,
	}}}
	for i := range charges {
		t.charges = charges[:i+1]
		if err := t.check(); err != nil {
			return err
		}
	}
	return nil
}
