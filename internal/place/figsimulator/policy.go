package figsimulator

import (
	"slices"
	"strconv"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Policy is a placement policy.
type Policy struct {
	// Name is the policy's name in the table.
	Name string

	// prepare sets the policy up for a run and returns the function that places a request.
	prepare func(r *runner) func(c *call)
}

// The policies that are compared. All except Figtrail choose the servers of a request when the request arrives,
// and submit it at once.
var (
	// Random chooses a random server.
	Random = Policy{Name: "random", prepare: perRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		return all[r.rng.IntN(len(all))]
	})}
	// RoundRobin chooses the servers of a role in turn.
	RoundRobin = Policy{Name: "round robin", prepare: perRole(func(r *runner, role figview.Role, all []*Engine) *Engine {
		r.roundRobin[role]++
		return all[r.roundRobin[role]%len(all)]
	})}
	// LeastLoaded chooses the server with the lowest load in the delayed reports.
	LeastLoaded = Policy{Name: "least loaded", prepare: perRole(func(_ *runner, _ figview.Role, all []*Engine) *Engine {
		return slices.MinFunc(all, func(a, b *Engine) int { return compareLoad(a, b) })
	})}
	// TwoChoices chooses the less loaded of two random servers, by the delayed reports (power of two choices).
	TwoChoices = Policy{Name: "two choices", prepare: perRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		a, b := all[r.rng.IntN(len(all))], all[r.rng.IntN(len(all))]
		if compareLoad(b, a) < 0 {
			return b
		}
		return a
	})}
	// Piggybacked chooses the one of two random servers whose queue was shorter in its last response to the same
	// instance.
	Piggybacked = Policy{Name: "carried", prepare: perRole(func(r *runner, _ figview.Role, all []*Engine) *Engine {
		a, b := all[r.rng.IntN(len(all))], all[r.rng.IntN(len(all))]
		if r.queueLengths[queueLengthKey{r.placingInstance, b.Name}] <
			r.queueLengths[queueLengthKey{r.placingInstance, a.Name}] {
			return b
		}
		return a
	})}
	// Figtrail places requests with packages figplace and figowner.
	Figtrail = Policy{Name: "figtrail", prepare: prepareFigtrail}
)

// Policies holds all policies in the order of the table.
var Policies = []Policy{Random, RoundRobin, LeastLoaded, TwoChoices, Piggybacked, Figtrail}

// reportedLoad returns the load in the last published report: the seconds of queued prefill, plus the fraction
// of memory in use, plus the number of waiting requests. It is 0 without a report.
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

// compareLoad compares the reported loads, as slices.MinFunc needs it.
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

// perRole returns the prepare function of a policy that picks the prefill and the decode server (or the
// plain server) independently. A request fails if no server of a role is eligible.
func perRole(pick func(r *runner, role figview.Role, all []*Engine) *Engine) func(r *runner) func(c *call) {
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

// queueLengthKey identifies the queue length of a server that an instance received last.
type queueLengthKey struct {
	instance int
	server   string
}

// recordQueueLength records the queue length that a server sends with a response to the request's instance.
func (r *runner) recordQueueLength(c *call, e *Engine) {
	r.queueLengths[queueLengthKey{c.instance, e.Name}] = len(e.queue) + len(e.admitted)
}

// setServer sets the request's prefill server, or its decode or plain server.
func (c *call) setServer(e *Engine) {
	if e.Role == figview.Prefill {
		c.prefill = e
		return
	}
	c.decode = e
}

// eligible returns the engines of a role that are outside the drained data centre, aren't excluded, and haven't
// failed within failedServerAvoidance.
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

// requestID returns the ID of request number n.
func requestID(n int) string { return "r" + strconv.Itoa(n) }
