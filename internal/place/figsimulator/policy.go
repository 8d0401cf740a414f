package figsimulator

import (
	"slices"
	"strconv"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Policy is one way of placing requests.
type Policy struct {
	// Name is what the table calls it.
	Name string

	prepare func(r *runner) func(c *call)
}

// The policies that are compared. Those before Ours choose a prefill and a decode
// server when the request arrives and submit it at once.
var (
	// Random takes any server.
	Random = Policy{Name: "random", prepare: pickPerRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		return all[r.rng.IntN(len(all))]
	})}
	// RoundRobin takes each in turn.
	RoundRobin = Policy{Name: "round robin", prepare: pickPerRole(func(r *runner, role figview.Role, all []*Engine) *Engine {
		r.roundRobin[role]++
		return all[r.roundRobin[role]%len(all)]
	})}
	// LeastLoaded takes the one with the least load in the lagged reports.
	LeastLoaded = Policy{Name: "least loaded", prepare: pickPerRole(func(_ *runner, _ figview.Role, all []*Engine) *Engine {
		return slices.MinFunc(all, func(a, b *Engine) int { return compareLoad(a, b) })
	})}
	// TwoChoices takes the less loaded of two random ones.
	TwoChoices = Policy{Name: "two choices", prepare: pickPerRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		a, b := all[r.rng.IntN(len(all))], all[r.rng.IntN(len(all))]
		if compareLoad(b, a) < 0 {
			return b
		}
		return a
	})}
	// Piggybacked takes the one of two random ones that had the shorter queue when it
	// last answered a request of the same instance.
	Piggybacked = Policy{Name: "carried", prepare: pickPerRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		a, b := all[r.rng.IntN(len(all))], all[r.rng.IntN(len(all))]
		if r.queueLengths[queueLengthKey{r.placingInstance, b.Name}] < r.queueLengths[queueLengthKey{r.placingInstance, a.Name}] {
			return b
		}
		return a
	})}
	// Figtrail drives figplace and figowner.
	Figtrail = Policy{Name: "figtrail", prepare: prepareFigtrail}
)

// Policies holds all policies in the order of the table.
var Policies = []Policy{Random, RoundRobin, LeastLoaded, TwoChoices, Piggybacked, Figtrail}

// reportedLoad is the load in the last report: work that waits, then memory.
func reportedLoad(e *Engine) float64 {
	p := e.Report()
	if p == nil {
		return 0
	}
	load := float64(p.QueueTokens) / e.PrefillTokensPerSecond
	if p.PiecesTotal > 0 {
		load += 1 - float64(p.PiecesFree)/float64(p.PiecesTotal)
	}
	return load + float64(p.Waiting)
}

func compareLoad(a, b *Engine) int {
	x, y := reportedLoad(a), reportedLoad(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// pickPerRole returns a policy that picks each server by itself.
func pickPerRole(pick func(r *runner, role figview.Role, all []*Engine) *Engine) func(r *runner) func(c *call) {
	return func(r *runner) func(c *call) {
		return func(c *call) {
			r.placingInstance = c.instance
			roles := []figview.Role{figview.Prefill, figview.Decode}
			if c.Plain {
				roles = []figview.Role{figview.Plain}
			}
			for _, role := range roles {
				all := r.eligible(role, c.excludedServers)
				if len(all) == 0 {
					r.end(c, false)
					return
				}
				c.setServer(pick(r, role, all))
			}
			r.After(roundTripTime, func() { r.start(c) })
		}
	}
}

// queueLengthKey names what an instance knows of a server.
type queueLengthKey struct {
	instance int
	server   string
}

// recordQueueLength notes the queue of a server on an answer to an instance.
func (r *runner) recordQueueLength(c *call, e *Engine) {
	r.queueLengths[queueLengthKey{c.instance, e.Name}] = len(e.queue) + len(e.admitted)
}

// setServer notes the server that was chosen for a role.
func (c *call) setServer(e *Engine) {
	if e.Role == figview.Prefill {
		c.prefill = e
		return
	}
	c.decode = e
}

// eligible returns the engines of a role that the lists offer and that no failure
// speaks against.
func (r *runner) eligible(role figview.Role, avoid []string) []*Engine {
	var all []*Engine
	for _, s := range r.servers {
		if s.Role != role || s.DataCentre == r.drained || slices.Contains(avoid, s.Name) {
			continue
		}
		if r.now >= r.avoidUntil[s.Name] {
			all = append(all, r.engines[s.Name])
		}
	}
	return all
}

func requestID(n int) string { return "r" + strconv.Itoa(n) }
