package figbudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/stand/figknown"
)

// chargeEvent is a charge, or a credit if negative, in true time.
type chargeEvent struct {
	at     time.Duration
	tokens int64
}

// declaredLimits is the largest of the limits that the nodes have from a time on.
type declaredLimits struct {
	at time.Duration
	Limits
}

// boundChecker checks the limit over every interval that ends with a charge.
type boundChecker struct {
	charges      []chargeEvent
	declarations []declaredLimits
	// refunded and credited are the sums of tokens that were refunded by callers and credited to
	// slots.
	refunded, credited int64
	reserved           int64
}

// declare records the limits in force at a time.
func (a *boundChecker) declare(at time.Duration, l Limits) {
	if n := len(a.declarations); n > 0 && a.declarations[n-1].Limits == l {
		return
	}
	a.declarations = append(a.declarations, declaredLimits{at, l})
}

// limitsWindow is the maximum of the limits in force since a time that moves backwards.
type limitsWindow struct {
	Limits
	declarations []declaredLimits
}

// extendTo extends s back to an earlier time.
func (s *limitsWindow) extendTo(to time.Duration) {
	for len(s.declarations) > 0 {
		last := s.declarations[len(s.declarations)-1]
		s.TokensPerSecond = max(s.TokensPerSecond, last.TokensPerSecond)
		s.Burst = max(s.Burst, last.Burst)
		if last.at <= to {
			return
		}
		s.declarations = s.declarations[:len(s.declarations)-1]
	}
}

// check returns an error for the shortest interval that ends now and whose charges exceed its
// bound. The bound uses the largest burst in force since one lease lifetime before the interval:
// leases granted under that burst may still be spent.
func (a *boundChecker) check() error {
	end := a.charges[len(a.charges)-1].at
	rate, burst := limitsWindow{declarations: a.declarations}, limitsWindow{declarations: a.declarations}
	sum := int64(0)
	for i := len(a.charges) - 1; i >= 0; i-- {
		m := a.charges[i]
		sum += m.tokens
		length := end - m.at
		rate.extendTo(m.at)
		burst.extendTo(m.at - holderLeaseTTL - holderLeaseTTL/50)
		bound := float64(rate.TokensPerSecond)*length.Seconds() + float64(burst.Burst)
		if float64(sum) > bound+1e-6 {
			return fmt.Errorf("charged %d in the %s up to %s, bound %.3f", sum, length, end, bound)
		}
	}
	return nil
}

const account = "huber/summary"

// checkedSimulation is a simulation whose charges are checked against the limits.
type checkedSimulation struct {
	*simulation
	boundChecker
	openReservations []openReservation
	err              error
}

type openReservation struct {
	node        *node
	incarnation uint64
	charged     charge
}

func newCheckedSimulation(seed uint64, majority bool, l Limits) *checkedSimulation {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newSimulation(random, []string{"x", "y", "z", "x", "y"}, map[string]Limits{account: l})
	w.majority = majority
	w.network = network{lossRate: 0.03, duplicateRate: 0.03, delayRate: 0.03}
	t := &checkedSimulation{simulation: w}
	clockMode := random.IntN(3)
	for _, n := range w.nodes {
		n.clockRate = []float64{0.99, 1.01, 0.99 + 0.02*random.Float64()}[clockMode]
		if random.IntN(3) == 0 {
			n.tickPeriod = 3 * time.Second
		}
	}
	w.afterEvent = t.recordEvent
	return t
}

// recordEvent records credits and limits after an event at n.
func (t *checkedSimulation) recordEvent(n *node) {
	if c := n.totals.Credited - n.credited; c > 0 {
		n.credited += c
		t.credited += c
		t.charges = append(t.charges, chargeEvent{t.now, -c})
	}
	var l Limits
	for _, m := range t.nodes {
		if m.alive {
			l.TokensPerSecond = max(l.TokensPerSecond, m.declarations[account].TokensPerSecond)
			l.Burst = max(l.Burst, m.declarations[account].Burst)
		}
	}
	t.declare(t.now, l)
}

// spend charges tokens at n unless wanted returns false first, and passes to done whether it could.
func (t *checkedSimulation) spend(n *node, tokens int64, wanted func() bool, done func(bool)) {
	t.schedule(0, n, func() {
		incarnation := n.incarnation
		n.reserve(account, tokens, wanted, func(o outcome) {
			if o.charged != nil {
				t.charge(n, incarnation, o.charged, tokens)
			}
			done(o.charged != nil)
		})
	})
}

// charge records a charge and checks the intervals that end with it. It keeps the first error.
func (t *checkedSimulation) charge(n *node, incarnation uint64, charged *charge, tokens int64) {
	t.reserved += tokens
	t.recordEvent(n)
	t.charges = append(t.charges, chargeEvent{t.now, tokens})
	t.openReservations = append(t.openReservations, openReservation{n, incarnation, *charged})
	if err := t.check(); err != nil && t.err == nil {
		t.err = err
	}
}

// drain spends all tokens that n can get: it halves the amount after each refusal.
func (t *checkedSimulation) drain(n *node, tokens int64) {
	if tokens < 1 || tokens < t.limits[account].Burst/100 {
		return
	}
	t.spend(n, tokens, always, func(ok bool) {
		if !ok {
			tokens /= 2
		}
		t.drain(n, tokens)
	})
}

// leaseAndAbandon leases tokens at n for a caller that leaves before the lease arrives.
func (t *checkedSimulation) leaseAndAbandon(n *node, tokens int64) {
	called := false
	t.spend(n, tokens, func() bool {
		first := !called
		called = true
		return first
	}, func(bool) {})
}

// settleOldest settles the oldest open reservation. part is the fraction of its charge that was
// used.
func (t *checkedSimulation) settleOldest(usedPart float64) {
	if len(t.openReservations) == 0 {
		return
	}
	o := t.openReservations[0]
	t.openReservations = t.openReservations[1:]
	t.schedule(0, o.node, func() {
		if o.node.incarnation != o.incarnation {
			return
		}
		charged := o.charged.tokens
		sum := charged[0] + charged[1] + charged[2]
		used := int64(usedPart * float64(sum))
		t.refunded += max(0, sum-used)
		now, _ := o.node.syncView()
		o.node.settle(account, o.charged, used, now)
	})
}

func drawLimits(r *rapid.T) Limits {
	return Limits{
		TokensPerSecond: rapid.Int64Range(1, 400).Draw(r, "rate"),
		Burst:           rapid.Int64Range(3, 900).Draw(r, "burst"),
	}
}

// requireRecovery checks that the fleet grants a whole burst, and no more, after all faults have
// ended.
func (t *checkedSimulation) requireRecovery(r *rapid.T) {
	t.network = network{}
	t.limits = map[string]Limits{account: {TokensPerSecond: 400, Burst: 900}}
	t.publishView(keepAll)
	t.advance(20 * time.Second)
	t.reserved = 0
	for range 6 {
		t.spend(t.nodes[0], 150, always, func(bool) {})
		t.advance(100 * time.Millisecond)
	}
	require.EqualValues(r, 900, t.reserved)
	require.NoError(r, t.err)
}

// TestNoIntervalExceedsRateAndBurst checks the limit in a fleet under random faults.
func TestNoIntervalExceedsRateAndBurst(t *testing.T) {
	rapid.Check(t, checkIntervals)
}

// An abandoned lease of a holder that is cut off must not come on top of rate and burst. The sequence is in
// testdata/rapid.
func TestAbandonedLeaseOfCutHolder(t *testing.T) {
	figknown.SkipListed(t, "../../..")
	rapid.Check(t, checkIntervals)
}

// checkIntervals draws limits and actions and checks every interval.
func checkIntervals(r *rapid.T) {
	majority := rapid.Bool().Draw(r, "majority")
	w := newCheckedSimulation(rapid.Uint64().Draw(r, "seed"), majority, drawLimits(r))
	w.advance(8 * time.Second)
	unlistable := w.nodes[rapid.IntRange(0, 4).Draw(r, "victim")].name
	actions := w.actions(unlistable)
	r.Repeat(actions)

	actions["heal"](r)
	w.requireRecovery(r)
}
