package figbudget

import (
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func (t *trial) pick(r *rapid.T) *node { return t.nodes[rapid.IntRange(0, 4).Draw(r, "node")] }

// pause stops a node for a time that is drawn.
func (t *trial) pause(r *rapid.T, n *node, least, most int) {
	n.pausedUntil = t.now + time.Duration(rapid.IntRange(least, most).Draw(r, "ms"))*time.Millisecond
}

// draw draws a state for a node, and lists it.
func (t *trial) draw(r *rapid.T, name string) {
	t.list(name, rapid.IntRange(0, unlisted).Draw(r, "state"))
}

func (t *trial) actions(victim string) map[string]func(*rapid.T) {
	step := func(r *rapid.T) {
		ms := rapid.OneOf(rapid.IntRange(1, 100), rapid.IntRange(100, 2000)).Draw(r, "ms")
		t.advance(time.Duration(ms) * time.Millisecond)
	}
	drain := func(r *rapid.T) {
		t.drain(t.pick(r), t.limits[account].Burst)
		t.advance(50 * time.Millisecond)
	}
	heal := func(*rapid.T) {
		clear(t.apart)
		t.serviceDown = false
		for _, n := range t.nodes {
			n.cutOff = false
			if !n.alive {
				n.start()
			}
		}
	}
	all := map[string]func(*rapid.T){
		"advance":      step,
		"advanceAgain": step,
		"hoard": func(r *rapid.T) {
			t.hoard(t.pick(r), rapid.Int64Range(1, t.limits[account].Burst).Draw(r, "tokens"))
			t.advance(20 * time.Millisecond)
		},
		"drain":      drain,
		"drainAgain": drain,
		"drainAll": func(*rapid.T) {
			t.drainAll()
			t.advance(100 * time.Millisecond)
		},
		"settle":  func(r *rapid.T) { t.settleOne(rapid.Float64Range(0, 1.2).Draw(r, "part")) },
		"pause":   func(r *rapid.T) { t.pause(r, t.pick(r), 100, 8000) },
		"restart": func(r *rapid.T) { t.pick(r).start() },
		"kill":    func(r *rapid.T) { t.pick(r).alive = false },
		"list": func(r *rapid.T) {
			name := victim
			if !t.majority {
				name = t.pick(r).name
			}
			t.draw(r, name)
		},
		"cut": func(r *rapid.T) {
			clear(t.apart)
			for _, n := range t.nodes {
				t.apart[n.name] = rapid.IntRange(0, 2).Draw(r, "apart") == 0
			}
		},
		"heal":           heal,
		"healAgain":      heal,
		"cutFromService": func(r *rapid.T) { t.pick(r).cutOff = true },
		"serviceDown":    func(*rapid.T) { t.serviceDown = true },
		"limits": func(r *rapid.T) {
			t.limits = map[string]Limits{account: drawLimits(r)}
		},
		"": func(r *rapid.T) {
			require.NoError(r, t.err)
			require.LessOrEqual(r, t.credits, t.refunds)
		},
	}
	maps.Copy(all, t.schedules(victim))
	return all
}

// schedules are sequences that single actions seldom make up: each goes for one
// protection. Without majorities they may take any node off the list.
func (t *trial) schedules(victim string) map[string]func(*rapid.T) {
	target := func(r *rapid.T) *node {
		m, _ := newPlacement(t.view).holder(slotID{account, rapid.IntRange(0, 2).Draw(r, "slot")})
		if t.majority || m.Name == "" {
			m.Name = victim
		}
		return t.byName(m.Name)
	}
	return map[string]func(*rapid.T){
		"soak": func(*rapid.T) { t.soak(30, 300*time.Millisecond) },
		"spendLate": func(r *rapid.T) {
			n := t.pick(r)
			t.hoard(n, t.limits[account].Burst)
			wait := rapid.IntRange(1300, 1700).Draw(r, "ms")
			t.advance(time.Duration(wait) * time.Millisecond)
			t.drain(n, t.limits[account].Burst)
			t.soak(4, 40*time.Millisecond)
		},
		"cutHolder": func(r *rapid.T) {
			n := target(r)
			clear(t.apart)
			t.apart[n.name] = true
			t.draw(r, n.name)
			t.soak(12, 500*time.Millisecond)
		},
		"pauseHolder": func(r *rapid.T) {
			n := target(r)
			t.hoard(t.pick(r), t.limits[account].Burst)
			t.pause(r, n, 500, 9000)
			t.draw(r, n.name)
			t.soak(14, 500*time.Millisecond)
		},
		"flap": func(r *rapid.T) {
			n := target(r)
			t.apart[n.name] = true
			t.list(n.name, unlisted)
			t.soak(rapid.IntRange(1, 14).Draw(r, "steps"), 500*time.Millisecond)
			t.list(n.name, 0)
			t.apart[n.name] = false
			t.soak(8, 200*time.Millisecond)
		},
	}
}

func (w *world) byName(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

func (t *trial) drainAll() {
	for _, n := range t.nodes {
		t.drain(n, t.limits[account].Burst)
	}
}

// soak spends all that is to be had, over and over.
func (t *trial) soak(rounds int, pause time.Duration) {
	for range rounds {
		t.advance(pause)
		t.drainAll()
	}
	t.advance(pause)
}
