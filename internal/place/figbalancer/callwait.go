package figbalancer

import (
	"math"
	"time"
)

const (
	// callSmoothing is the weight of the newest call in the moving averages of a pool's call durations.
	callSmoothing = 0.1
	// minCalls is the number of calls from which the durations are known, callTTL the time after the last one until
	// which they are.
	minCalls = 8
	callTTL  = 10 * time.Second
	// callDeviations is how many mean deviations a call may take longer than the mean: few take longer.
	callDeviations = 2
	// minCallWait is the wait of a call that can't be answered within its target: it runs if a server has room for it
	// now, which also keeps the durations known.
	minCallWait = 5 * time.Millisecond
)

// CallTimes holds the durations of a pool's calls.
type CallTimes struct {
	// Mean and Deviation are the moving averages of the duration and of its deviation from the mean.
	Mean, Deviation time.Duration
	count           int
	measuredAt      time.Time
}

// recordCall records the duration of a call to a plain server. p.mu must be held.
func (p *Picker) recordCall(now time.Time, pool string, took time.Duration) {
	c := p.calls[pool]
	c.count++
	weight := max(callSmoothing, 1/float64(c.count))
	difference := float64(took - c.Mean)
	c.Mean += time.Duration(weight * difference)
	if c.count > 1 {
		c.Deviation += time.Duration(weight * (math.Abs(difference) - float64(c.Deviation)))
	}
	c.measuredAt = now
	p.calls[pool] = c
}

// CallTimes returns the durations of the calls that this instance sent to plain servers of a pool, and false if they
// aren't known.
func (p *Picker) CallTimes(now time.Time, pool string) (CallTimes, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.calls[pool]
	return c, ok && c.count >= minCalls && now.Sub(c.measuredAt) < callTTL
}

// Wait returns how long a call may wait for a slot if left remains until its target: as long as the answer can still
// be in time.
func (c CallTimes) Wait(left time.Duration) time.Duration {
	return max(left-c.Mean-callDeviations*c.Deviation, minCallWait)
}
