package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// slownessCost returns what is added to the load fraction of a server at which work takes slowness times its pool's
// mean. It is 0 for a slowness of 1.
func (p *Picker) slownessCost(now time.Time, q *Query, pool *figroute.Pool, s *figcatalogue.Server, e *serverState, slowness float64) float64 {
	held := float64(p.totalLoadLocked(e, now).Tokens + q.Tokens)
	switch {
	case s.Role == figview.Prefill:
		// The time until the prompt is computed.
		return (slowness - 1) * held / (prefillTokensPerSecond * maxPrefillQueueTime.Seconds())
	case pool.Engine != nil && pool.Engine.MemoryTokens > 0:
		// The time for which memory is held.
		return (slowness - 1) * held / float64(pool.Engine.MemoryTokens)
	}
	// The time until the call ends, which waits if all slots are in use.
	return (slowness - 1) * max(1, float64(e.requests(now)+1)/float64(e.slots(s)))
}

// queueFactor returns the number of requests at a plain server, as a multiple of its slots, from which it gets no more.
// At a slow one fewer wait, as they do so for longer.
func queueFactor(slowness float64) float64 {
	return max(1, plainQueueFactor/max(1, slowness))
}
