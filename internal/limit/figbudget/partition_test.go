package figbudget

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// caseLimits refills fast compared to its burst, so that a slot that is spent at two instances
// exceeds the limit within the lifetime of a lease.
var caseLimits = Limits{TokensPerSecond: 300, Burst: 900}

// faultFreeSimulation returns a simulation without network faults and clock errors, with full
// slots.
func faultFreeSimulation(majority bool) *checkedSimulation {
	t := newCheckedSimulation(1, majority, caseLimits)
	t.network = network{}
	for _, n := range t.nodes {
		n.clockRate, n.tickPeriod = 1, tickInterval
	}
	t.advance(15 * time.Second)
	return t
}

// chooseNodes returns the holder of a slot whose next holder is in the same data centre, that next
// holder, and a node that holds no slot.
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

// partitionMajority partitions the holder, the lessee and a third node from the rest, which
// includes the next holder. It returns the three nodes.
func (t *checkedSimulation) partitionMajority(holder, next, lessee *node) []*node {
	i := slices.IndexFunc(t.nodes, func(n *node) bool { return n != next && n != holder && n != lessee })
	partitioned := []*node{holder, lessee, t.nodes[i]}
	for _, n := range partitioned {
		t.partitioned[n.name] = true
	}
	return partitioned
}

// unlist publishes a list without some nodes, after the messages in flight have arrived.
func (t *checkedSimulation) unlist(nodes ...*node) {
	t.advance(10 * time.Millisecond)
	t.publishView(func(m *figview.Member) bool {
		return !slices.Contains(nodes, t.byName(m.Name))
	})
}

// TestPartitionedHolderAndLessee takes a partitioned holder and lessee off the list. At several
// times around the end of the holder's fresh view, the lessee leases all tokens and spends them
// just before it would return them, while the next holder spends what the slot has refilled there.
// Together they must stay within the limit.
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
		require.NoError(t, c.err, "leased %s after the list changed", delay)
		require.Positive(t, c.reserved)
	}
}

// TestUnlistedHolderWithMajority partitions a majority from the service and the other nodes, with a
// holder that is then taken off the list. The majority doesn't see the new list, so the holder's
// view stays fresh and it keeps spending; the fleet must still stay within the limit.
func TestUnlistedHolderWithMajority(t *testing.T) {
	c := faultFreeSimulation(true)
	holder, next, lessee := c.chooseNodes()
	c.partitionMajority(holder, next, lessee)
	require.Len(t, c.partitioned, 3)
	c.unlist(holder)
	c.spendRepeatedly(100, 200*time.Millisecond)
	require.NoError(t, c.err)
	require.True(t, holder.viewIsFresh(), "the holder still relies on its majority")
}

// TestHolderListedAgain takes a partitioned holder off the list and lists it again. The holder
// never sees the list without itself, and must still drop the slots that the next holder has
// activated meanwhile.
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

// TestUnlistedMajorityOverspendsAtMostTwice takes three running nodes off the list one after the
// other while they are partitioned from the service and from all nodes with a newer list. They form
// a majority of their old view, and a slot has two holders that spend it; this is the only way to
// that state. Each side must keep the limit by itself, and the overspending must end with the
// partition.
func TestUnlistedMajorityOverspendsAtMostTwice(t *testing.T) {
	c := faultFreeSimulation(true)
	holder, next, lessee := c.chooseNodes()
	partitioned := c.partitionMajority(holder, next, lessee)
	for i := range partitioned {
		c.unlist(partitioned[:i+1]...)
		c.advance(50 * time.Millisecond)
	}
	c.spendRepeatedly(60, 200*time.Millisecond)
	require.Error(t, c.err, "the two sides together must exceed the limit")
	require.NoError(t, c.checkTimes(2), "the two sides together must stay within twice the limit")

	clear(c.partitioned)
	c.advance(maxViewAge)
	c.charges, c.err = nil, nil
	c.spendRepeatedly(60, 200*time.Millisecond)
	require.NoError(t, c.err)
}

// checkTimes checks all intervals against number times the limits.
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
