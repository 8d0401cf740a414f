package figbudget

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawNode draws one of the nodes.
func (t *checkedSimulation) drawNode(r *rapid.T) *node {
	return t.nodes[rapid.IntRange(0, 4).Draw(r, "node")]
}

// pause pauses a node for a drawn time between least and most milliseconds.
func (t *checkedSimulation) pause(r *rapid.T, n *node, least, most int) {
	n.pausedUntil = t.now + time.Duration(rapid.IntRange(least, most).Draw(r, "ms"))*time.Millisecond
}

// drawState publishes a drawn state for a node: live, leaving or unlisted.
func (t *checkedSimulation) drawState(r *rapid.T, name string) {
	t.publishState(name, rapid.IntRange(0, unlisted).Draw(r, "state"))
}

// actions returns the actions of the property test. Nodes that rely on majorities tolerate list
// changes of one node only: with majority set, only the node called unlistable changes its state.
func (t *checkedSimulation) actions(unlistable string) map[string]func(*rapid.T) {
	advance := func(r *rapid.T) {
		ms := rapid.OneOf(rapid.IntRange(1, 100), rapid.IntRange(100, 2000)).Draw(r, "ms")
		t.advance(time.Duration(ms) * time.Millisecond)
	}
	drain := func(r *rapid.T) {
		t.drain(t.drawNode(r), t.limits[account].Burst)
		t.advance(50 * time.Millisecond)
	}
	heal := func(*rapid.T) {
		clear(t.partitioned)
		t.serviceDown = false
		for _, n := range t.nodes {
			n.serviceUnreachable = false
			if !n.alive {
				n.restart()
			}
		}
	}
	all := map[string]func(*rapid.T){
		"advance":      advance,
		"advanceAgain": advance,
		"hoard": func(r *rapid.T) {
			t.leaseAndAbandon(t.drawNode(r), rapid.Int64Range(1, t.limits[account].Burst).Draw(r, "tokens"))
			t.advance(20 * time.Millisecond)
		},
		"drain":      drain,
		"drainAgain": drain,
		"drainAll": func(*rapid.T) {
			t.drainAll()
			t.advance(100 * time.Millisecond)
		},
		"settle":  func(r *rapid.T) { t.settleOldest(rapid.Float64Range(0, 1.2).Draw(r, "part")) },
		"pause":   func(r *rapid.T) { t.pause(r, t.drawNode(r), 100, 8000) },
		"restart": func(r *rapid.T) { t.drawNode(r).restart() },
		"kill":    func(r *rapid.T) { t.drawNode(r).alive = false },
		"list": func(r *rapid.T) {
			name := unlistable
			if !t.majority {
				name = t.drawNode(r).name
			}
			t.drawState(r, name)
		},
		"cut": func(r *rapid.T) {
			clear(t.partitioned)
			for _, n := range t.nodes {
				t.partitioned[n.name] = rapid.IntRange(0, 2).Draw(r, "apart") == 0
			}
		},
		"heal":           heal,
		"healAgain":      heal,
		"cutFromService": func(r *rapid.T) { t.drawNode(r).serviceUnreachable = true },
		"serviceDown":    func(*rapid.T) { t.serviceDown = true },
		"limits": func(r *rapid.T) {
			t.limits = map[string]Limits{account: drawLimits(r)}
		},
		"": func(r *rapid.T) {
			require.NoError(r, t.err)
			require.LessOrEqual(r, t.credited, t.refunded)
		},
	}
	maps.Copy(all, t.faultSequences(unlistable))
	return all
}

// faultSequences returns action sequences that single actions seldom form, each aimed at one
// safeguard. Without majority they may take any node off the list.
func (t *checkedSimulation) faultSequences(unlistable string) map[string]func(*rapid.T) {
	target := func(r *rapid.T) *node {
		m, _ := newPlacement(t.view).holder(slotID{account, rapid.IntRange(0, 2).Draw(r, "slot")})
		if t.majority || m.Name == "" {
			m.Name = unlistable
		}
		return t.byName(m.Name)
	}
	return map[string]func(*rapid.T){
		"soak": func(*rapid.T) { t.spendRepeatedly(30, 300*time.Millisecond) },
		"spendLate": func(r *rapid.T) {
			n := t.drawNode(r)
			t.leaseAndAbandon(n, t.limits[account].Burst)
			wait := rapid.IntRange(1300, 1700).Draw(r, "ms")
			t.advance(time.Duration(wait) * time.Millisecond)
			t.drain(n, t.limits[account].Burst)
			t.spendRepeatedly(4, 40*time.Millisecond)
		},
		"cutHolder": func(r *rapid.T) {
			n := target(r)
			clear(t.partitioned)
			t.partitioned[n.name] = true
			t.drawState(r, n.name)
			t.spendRepeatedly(12, 500*time.Millisecond)
		},
		"pauseHolder": func(r *rapid.T) {
			n := target(r)
			t.leaseAndAbandon(t.drawNode(r), t.limits[account].Burst)
			t.pause(r, n, 500, 9000)
			t.drawState(r, n.name)
			t.spendRepeatedly(14, 500*time.Millisecond)
		},
		"flap": func(r *rapid.T) {
			n := target(r)
			t.partitioned[n.name] = true
			t.publishState(n.name, unlisted)
			t.spendRepeatedly(rapid.IntRange(1, 14).Draw(r, "steps"), 500*time.Millisecond)
			t.publishState(n.name, 0)
			t.partitioned[n.name] = false
			t.spendRepeatedly(8, 200*time.Millisecond)
		},
	}
}

// byName returns the node called name, or nil.
func (w *simulation) byName(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

// drainAll spends all available tokens at each node.
func (t *checkedSimulation) drainAll() {
	for _, n := range t.nodes {
		t.drain(n, t.limits[account].Burst)
	}
}

// spendRepeatedly spends all available tokens at each node, rounds times, with a pause before each.
func (t *checkedSimulation) spendRepeatedly(rounds int, pause time.Duration) {
	for range rounds {
		t.advance(pause)
		t.drainAll()
	}
	t.advance(pause)
}
