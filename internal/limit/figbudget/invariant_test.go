package figbudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/fleet/figview"
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
	reserved         int
}

// declare notes what is in force at a time.
func (a *audit) declare(at time.Duration, l Limits) {
	if n := len(a.inForce); n > 0 && a.inForce[n-1].Limits == l {
		return
	}
	a.inForce = append(a.inForce, inForce{at, l})
}

// largest returns the largest limits in force from one time to another.
func (a *audit) largest(from, to time.Duration) Limits {
	var l Limits
	for i, f := range a.inForce {
		ended := i+1 < len(a.inForce) && a.inForce[i+1].at < from
		if ended || f.at > to {
			continue
		}
		l.TokensPerSecond = max(l.TokensPerSecond, f.TokensPerSecond)
		l.Burst = max(l.Burst, f.Burst)
	}
	return l
}

// check returns an error for the first interval that ends now and holds too much.
// The burst in force counts from a lease's life before the interval on: what was
// lent under it may still be spent.
func (a *audit) check() error {
	end := a.marks[len(a.marks)-1].at
	sum := int64(0)
	for i := len(a.marks) - 1; i >= 0; i-- {
		m := a.marks[i]
		sum += m.tokens
		length := end - m.at
		rate := a.largest(m.at, end).TokensPerSecond
		burst := a.largest(m.at-leaseHeld-leaseHeld/50, end).Burst
		bound := float64(rate)*length.Seconds() + float64(burst)
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
	node   *node
	life   uint64
	pieces [Slots]int64
}

func newTrial(seed uint64, majority bool, l Limits) *trial {
	random := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(random, []string{"x", "y", "z", "x", "y"}, map[string]Limits{account: l})
	w.majority = majority
	w.network = network{lose: 0.03, double: 0.03, late: 0.03}
	t := &trial{world: w}
	for _, n := range w.nodes {
		n.speed = 0.99 + 0.02*random.Float64()
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

func (t *trial) spend(n *node, tokens int64) {
	t.at(0, n, func() {
		life := n.incarnation
		n.reserve(account, tokens, func(o outcome) {
			if o.pieces == nil {
				return
			}
			t.reserved++
			t.watch(n)
			t.marks = append(t.marks, mark{t.now, tokens})
			t.open = append(t.open, opened{n, life, *o.pieces})
			if err := t.check(); err != nil && t.err == nil {
				t.err = err
			}
		})
	})
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
		sum := o.pieces[0] + o.pieces[1] + o.pieces[2]
		used := int64(part * float64(sum))
		t.refunds += max(0, sum-used)
		now, _ := o.node.sync()
		o.node.settle(account, o.pieces, used, now)
	})
}

// list publishes a change of one member.
func (t *trial) list(name string, state int) {
	t.publish(func(m *figview.Member) bool {
		old, listed := t.view.Find(m.Name)
		m.State = old.State
		if m.Name == name {
			m.State = figview.State(state % 2)
			listed = state < 2
		}
		return listed
	})
}

func (t *trial) actions(victim string) map[string]func(*rapid.T) {
	pick := func(r *rapid.T) *node { return t.nodes[rapid.IntRange(0, 4).Draw(r, "node")] }
	step := func(r *rapid.T) {
		ms := rapid.OneOf(rapid.IntRange(1, 100), rapid.IntRange(100, 2000)).Draw(r, "ms")
		t.advance(time.Duration(ms) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"advance":      step,
		"advanceAgain": step,
		"spend": func(r *rapid.T) {
			t.spend(pick(r), rapid.Int64Range(1, t.limits[account].Burst).Draw(r, "tokens"))
			t.advance(5 * time.Millisecond)
		},
		"storm": func(r *rapid.T) {
			tokens := max(1, t.limits[account].Burst/rapid.Int64Range(1, 12).Draw(r, "part"))
			for i := range 40 {
				t.spend(t.nodes[i%len(t.nodes)], tokens)
				t.advance(time.Duration(t.random.Int64N(int64(40 * time.Millisecond))))
			}
		},
		"settle": func(r *rapid.T) { t.settleOne(rapid.Float64Range(0, 1.2).Draw(r, "part")) },
		"pause": func(r *rapid.T) {
			pick(r).pausedUntil = t.now + time.Duration(rapid.IntRange(100, 8000).Draw(r, "ms"))*time.Millisecond
		},
		"restart": func(r *rapid.T) { pick(r).start() },
		"kill":    func(r *rapid.T) { pick(r).alive = false },
		"list": func(r *rapid.T) {
			name := victim
			if !t.majority {
				name = pick(r).name
			}
			t.list(name, rapid.IntRange(0, 2).Draw(r, "state"))
		},
		"cut": func(r *rapid.T) {
			clear(t.apart)
			for _, n := range t.nodes {
				t.apart[n.name] = rapid.Bool().Draw(r, "apart")
			}
		},
		"heal": func(*rapid.T) {
			clear(t.apart)
			t.serviceDown = false
			for _, n := range t.nodes {
				n.cutOff = false
				if !n.alive {
					n.start()
				}
			}
		},
		"cutFromService": func(r *rapid.T) { pick(r).cutOff = true },
		"serviceDown":    func(*rapid.T) { t.serviceDown = true },
		"limits": func(r *rapid.T) {
			t.limits = map[string]Limits{account: drawLimits(r)}
		},
		"": func(r *rapid.T) {
			require.NoError(r, t.err)
			require.LessOrEqual(r, t.credits, t.refunds)
		},
	}
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
	t.publish(func(*figview.Member) bool { return true })
	t.advance(20 * time.Second)
	t.reserved = 0
	for range 6 {
		t.spend(t.nodes[0], 150)
		t.advance(100 * time.Millisecond)
	}
	require.Equal(r, 6, t.reserved)
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
