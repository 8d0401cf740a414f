package figbudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// mark is a charge, or a credit if it is negative, in true time.
type mark struct {
	at     time.Duration
	tokens int64
}

// inForce is the largest declaration that some node had from a time on.
type inForce struct {
	at time.Duration
	Limits
}

// audit checks the bound over every interval that ends with a charge.
type audit struct {
	marks   []mark
	inForce []inForce
	// refunds and credits are the sums given back and taken in.
	refunds, credits int64
	reserved         int64
}

// declare notes what is in force at a time.
func (a *audit) declare(at time.Duration, l Limits) {
	if n := len(a.inForce); n > 0 && a.inForce[n-1].Limits == l {
		return
	}
	a.inForce = append(a.inForce, inForce{at, l})
}

// since is the largest of the declarations in force from a time on that moves
// back.
type since struct {
	Limits
	declared []inForce
}

// back widens s to a time no later than before.
func (s *since) back(to time.Duration) {
	for len(s.declared) > 0 {
		last := s.declared[len(s.declared)-1]
		s.TokensPerSecond = max(s.TokensPerSecond, last.TokensPerSecond)
		s.Burst = max(s.Burst, last.Burst)
		if last.at <= to {
			return
		}
		s.declared = s.declared[:len(s.declared)-1]
	}
}

// check returns an error for the first interval that ends now and holds too much.
// The burst in force counts from a lease's life before the interval on: what was
// lent under it may still be spent.
func (a *audit) check() error {
	end := a.marks[len(a.marks)-1].at
	rate, burst := since{declared: a.inForce}, since{declared: a.inForce}
	sum := int64(0)
	for i := len(a.marks) - 1; i >= 0; i-- {
		m := a.marks[i]
		sum += m.tokens
		length := end - m.at
		rate.back(m.at)
		burst.back(m.at - leaseHeld - leaseHeld/50)
		bound := float64(rate.TokensPerSecond)*length.Seconds() + float64(burst.Burst)
		if float64(sum) > bound+1e-6 {
			return fmt.Errorf("charged %d in the %s up to %s, bound %.3f", sum, length, end, bound)
		}
	}
	return nil
}

const account = "huber/summary"

// trial is a world under audit.
type trial struct {
	*world
	audit
	open []opened
	err  error
}

type opened struct {
	node  *node
	life  uint64
	taken pieces
}

func newTrial(seed uint64, majority bool, l Limits) *trial {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(random, []string{"x", "y", "z", "x", "y"}, map[string]Limits{account: l})
	w.majority = majority
	w.network = network{lose: 0.03, double: 0.03, late: 0.03}
	t := &trial{world: w}
	fast := random.IntN(3)
	for _, n := range w.nodes {
		n.speed = []float64{0.99, 1.01, 0.99 + 0.02*random.Float64()}[fast]
		if random.IntN(3) == 0 {
			n.ticks = 3 * time.Second
		}
	}
	w.observe = t.watch
	return t
}

// watch notes credits and declarations after an event at n.
func (t *trial) watch(n *node) {
	if c := n.tally.Credited - n.credited; c > 0 {
		n.credited += c
		t.credits += c
		t.marks = append(t.marks, mark{t.now, -c})
	}
	var l Limits
	for _, m := range t.nodes {
		if m.alive {
			l.TokensPerSecond = max(l.TokensPerSecond, m.declared[account].TokensPerSecond)
			l.Burst = max(l.Burst, m.declared[account].Burst)
		}
	}
	t.declare(t.now, l)
}

// spend charges tokens at n, if its caller waits for them as wanted says, and
// tells whether it could.
func (t *trial) spend(n *node, tokens int64, wanted func() bool, ended func(bool)) {
	t.at(0, n, func() {
		life := n.incarnation
		n.reserve(account, tokens, wanted, func(o outcome) {
			if o.taken != nil {
				t.charge(n, life, o.taken, tokens)
			}
			ended(o.taken != nil)
		})
	})
}

func (t *trial) charge(n *node, life uint64, taken *pieces, tokens int64) {
	t.reserved += tokens
	t.watch(n)
	t.marks = append(t.marks, mark{t.now, tokens})
	t.open = append(t.open, opened{n, life, *taken})
	if err := t.check(); err != nil && t.err == nil {
		t.err = err
	}
}

// drain spends all that n can get, in steps that halve.
func (t *trial) drain(n *node, tokens int64) {
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

// hoard leases tokens at n for a caller that has left when they come.
func (t *trial) hoard(n *node, tokens int64) {
	asked := false
	t.spend(n, tokens, func() bool {
		first := !asked
		asked = true
		return first
	}, func(bool) {})
}

// settleOne ends the oldest reservation that is open.
func (t *trial) settleOne(part float64) {
	if len(t.open) == 0 {
		return
	}
	o := t.open[0]
	t.open = t.open[1:]
	t.at(0, o.node, func() {
		if o.node.incarnation != o.life {
			return
		}
		got := o.taken.tokens
		sum := got[0] + got[1] + got[2]
		used := int64(part * float64(sum))
		t.refunds += max(0, sum-used)
		now, _ := o.node.sync()
		o.node.settle(account, o.taken, used, now)
	})
}

func drawLimits(r *rapid.T) Limits {
	return Limits{
		TokensPerSecond: rapid.Int64Range(1, 400).Draw(r, "rate"),
		Burst:           rapid.Int64Range(3, 900).Draw(r, "burst"),
	}
}

// requireRecovery checks that a healed fleet soon grants a whole burst again,
// and still no more.
func (t *trial) requireRecovery(r *rapid.T) {
	t.network = network{}
	t.limits = map[string]Limits{account: {TokensPerSecond: 400, Burst: 900}}
	t.publish(everyone)
	t.advance(20 * time.Second)
	t.reserved = 0
	for range 6 {
		t.spend(t.nodes[0], 150, always, func(bool) {})
		t.advance(100 * time.Millisecond)
	}
	require.EqualValues(r, 900, t.reserved)
	require.NoError(r, t.err)
}

// TestNoIntervalHoldsMoreThanRateAndBurst drives a fleet through faults at random.
func TestNoIntervalHoldsMoreThanRateAndBurst(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		majority := rapid.Bool().Draw(r, "majority")
		w := newTrial(rapid.Uint64().Draw(r, "seed"), majority, drawLimits(r))
		w.advance(8 * time.Second)
		victim := w.nodes[rapid.IntRange(0, 4).Draw(r, "victim")].name
		actions := w.actions(victim)
		r.Repeat(actions)

		actions["heal"](r)
		w.requireRecovery(r)
	})
}
