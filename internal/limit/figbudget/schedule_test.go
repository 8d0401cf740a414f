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
func calmTrial(majority bool) *trial {
	t := newTrial(1, majority, caseLimits)
	t.network = network{}
	for _, n := range t.nodes {
		n.speed, n.ticks = 1, tickTime
	}
	t.advance(15 * time.Second)
	return t
}

// parties returns the holder of a slot whose next holder stands in the same
// data centre, that next one, and a node that holds no slot.
func (t *trial) parties() (holder, next, lessee *node) {
	p := newPlacement(t.view)
	for i := range Slots {
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
func (t *trial) cutMajority(holder, next, lessee *node) []*node {
	i := slices.IndexFunc(t.nodes, func(n *node) bool { return n != next && n != holder && n != lessee })
	cut := []*node{holder, lessee, t.nodes[i]}
	for _, n := range cut {
		t.apart[n.name] = true
	}
	return cut
}

// unlist publishes a list without some nodes, after messages under way.
func (t *trial) unlist(nodes ...*node) {
	t.advance(10 * time.Millisecond)
	t.publish(func(m *figview.Member) bool {
		return !slices.Contains(nodes, t.byName(m.Name))
	})
}

// TestACutOffHolderAndItsLessee cuts a holder and a lessee off and takes both off
// the list. The lessee leases all it can at the last moment and spends it at the
// end of the lease, while the next holder spends what it has regenerated.
func TestACutOffHolderAndItsLessee(t *testing.T) {
	for late := 1000 * time.Millisecond; late <= 2200*time.Millisecond; late += 100 * time.Millisecond {
		c := calmTrial(false)
		holder, _, lessee := c.parties()
		c.apart[holder.name], c.apart[lessee.name] = true, true
		c.unlist(holder, lessee)
		c.advance(late)
		c.hoard(lessee, caseLimits.Burst)
		c.advance(leaseLife*6/10 - 100*time.Millisecond)
		c.soak(80, 100*time.Millisecond)
		require.NoError(t, c.err, "leased %s after the change", late)
		require.Positive(t, c.reserved)
	}
}

// TestAHolderLeftWithAMajority leaves a holder that is off the list with a
// majority that hasn't heard of it, and cuts all of them from the service.
func TestAHolderLeftWithAMajority(t *testing.T) {
	c := calmTrial(true)
	holder, next, lessee := c.parties()
	c.cutMajority(holder, next, lessee)
	require.Len(t, c.apart, 3)
	c.unlist(holder)
	c.soak(100, 200*time.Millisecond)
	require.NoError(t, c.err)
	require.True(t, holder.fresh(), "the case is one in which it goes on")
}

// TestAHolderThatComesBack takes a holder off the list while it is cut off, and
// lists it again: it misses the list without it.
func TestAHolderThatComesBack(t *testing.T) {
	c := calmTrial(false)
	holder, next, _ := c.parties()
	c.apart[holder.name] = true
	c.unlist(holder)
	c.advance(15 * time.Second)
	id, ok := slotOf(c.view, next.name, account)
	require.True(t, ok)
	require.Equal(t, active, next.held(id, next.clock()).state)
	c.soak(5, 20*time.Millisecond)
	c.apart[holder.name] = false
	c.unlist()
	c.soak(40, 100*time.Millisecond)
	require.NoError(t, c.err)
}

// TestTheCornerGoesNoFurther takes a majority that lives off the list, one after
// the other, while it is cut off from the service and from all who know. This is
// the one way to two holders. Each side alone keeps the bound, and the overspend
// ends when the two sides meet.
func TestTheCornerGoesNoFurther(t *testing.T) {
	c := calmTrial(true)
	holder, next, lessee := c.parties()
	cut := c.cutMajority(holder, next, lessee)
	for i := range cut {
		c.unlist(cut[:i+1]...)
		c.advance(50 * time.Millisecond)
	}
	c.soak(60, 200*time.Millisecond)
	require.Error(t, c.err, "the corner is real")
	require.NoError(t, c.sides(2), "and holds at most twice the bound")

	clear(c.apart)
	c.advance(freshness)
	c.marks, c.err = nil, nil
	c.soak(60, 200*time.Millisecond)
	require.NoError(t, c.err)
}

// sides checks the bound times a number of sides over all intervals.
func (t *trial) sides(number int64) error {
	marks, declared := t.marks, t.inForce
	defer func() { t.marks, t.inForce = marks, declared }()
	t.inForce = []inForce{{Limits: Limits{
		TokensPerSecond: number * caseLimits.TokensPerSecond,
		Burst:           number * caseLimits.Burst,
	}}}
	for i := range marks {
		t.marks = marks[:i+1]
		if err := t.check(); err != nil {
			return err
		}
	}
	return nil
}
