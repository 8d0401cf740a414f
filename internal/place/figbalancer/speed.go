package figbalancer

import (
	"math"
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// minSpeed and maxSpeed bound the speed of a server, as a multiple of its pool's mean, so that a wrong measurement
	// neither excludes a server nor sends all requests to it.
	minSpeed = 0.25
	maxSpeed = 4.0
	// unevenRatio is the ratio of the fastest to the slowest speed in a pool from which speeds count. Chance alone
	// makes those of equal servers differ by less.
	unevenRatio = 1.15
	// speedInterval is the time between two computations of a pool's speeds.
	speedInterval = 100 * time.Millisecond
	// maxSamples is the number of measurements that a mean consists of; older ones count exponentially less. Calls of
	// different length make the means of equal servers differ by about a thirtieth.
	maxSamples = 20
	// engineHalfLife and plainHalfLife are the times in which measurements lose half their weight. An engine's speed is
	// a property of its hardware; plain servers are slow at times, and one that gets no calls because it was slow has to
	// get some again, as there are no probes.
	engineHalfLife = 30 * time.Second
	plainHalfLife  = time.Second
	// minKnownSamples is the weight of measurements from which a speed is known.
	minKnownSamples = 4
	// priorSamples is the weight of the assumption that a server is as fast as its pool's mean.
	priorSamples = 1
	// workTTL is the age at which a server's work figure has lost its effect: it changes many times a second.
	workTTL = 200 * time.Millisecond
	// workSeenTTL is how long after the last work figure speeds count in a pool however little they differ.
	workSeenTTL = time.Minute
)

// speedKey identifies the servers whose speeds are compared.
type speedKey struct {
	pool string
	role figview.Role
}

// speedGroup holds the measured servers of one pool and role.
type speedGroup struct {
	speedKey
	members []*serverState
	// computedAt is when the speeds were last computed. uneven says that they count, perUnit is the time that a unit of
	// work takes at the mean speed; 0 if unknown.
	computedAt time.Time
	uneven     bool
	perUnit    float64
	// workSeenAt is when a server last sent a work figure.
	workSeenAt time.Time
	// steps says how the time per step depends on the requests at a decode server.
	steps stepFit
}

// serverSpeed is what is known of the speed of one server lifetime. The zero value is that of an unknown server.
type serverSpeed struct {
	group     *speedGroup
	name      string
	startedAt time.Time
	// seconds is the measured time for units of work, in samples measurements up to measuredAt; older ones count
	// exponentially less. A unit is a call, a prompt token, or a step beside no other request.
	seconds, units, samples float64
	measuredAt              time.Time
	// speed is the speed as a multiple of the mean of the group; 0 if unknown.
	speed float64
	// requestsMean and stepMean are moving averages of the requests beside a stream and of its seconds per step.
	requestsMean, stepMean float64
	// busyUntil is when a prefill server's last answer ended.
	busyUntil time.Time
	// workPercent and workAt are the server's last work figure.
	workPercent int
	workAt      time.Time
	// class is the speed class that was last logged, at loggedAt.
	class    speedClass
	loggedAt time.Time
}

// joinGroup makes a server a member of the group of its pool and role, without what was measured in another one. It
// returns false if a later lifetime of the server is a member. p.mu must be held.
func (p *Picker) joinGroup(s *figcatalogue.Server, e *serverState) bool {
	key := speedKey{s.Pool, s.Role}
	if e.group != nil && e.group.speedKey == key {
		return true
	}
	g, ok := p.groups[key]
	if !ok {
		g = &speedGroup{speedKey: key}
		p.groups[key] = g
	}
	if slices.ContainsFunc(g.members, func(m *serverState) bool { return m.name == s.Name && m.startedAt.After(s.StartedAt) }) {
		return false
	}
	e.leaveGroup()
	for _, m := range slices.Clone(g.members) {
		if m.name == s.Name {
			m.leaveGroup()
		}
	}
	e.group, e.name, e.startedAt = g, s.Name, s.StartedAt
	g.members = append(g.members, e)
	return true
}

// leaveGroup forgets what is known of the server's speed.
func (e *serverState) leaveGroup() {
	if e.group != nil {
		e.group.members = slices.DeleteFunc(e.group.members, func(m *serverState) bool { return m == e })
	}
	e.serverSpeed = serverSpeed{}
}

// removeIdleGroups forgets pools of which nothing has been measured for long. p.mu must be held.
func (p *Picker) removeIdleGroups(now time.Time) {
	for key, g := range p.groups {
		if len(g.members) == 0 {
			delete(p.groups, key)
		}
	}
	for pool, c := range p.calls {
		if now.Sub(c.measuredAt) > callTTL {
			delete(p.calls, pool)
		}
	}
}

// halfLife returns the time in which measurements lose half their weight.
func (g *speedGroup) halfLife() time.Duration {
	if g.role == figview.Plain {
		return plainHalfLife
	}
	return engineHalfLife
}

// decay gives the measurements the weight that they have at now.
func (v *serverSpeed) decay(now time.Time) {
	if elapsed := now.Sub(v.measuredAt); elapsed > 0 {
		v.scale(math.Exp2(-float64(elapsed) / float64(v.group.halfLife())))
		v.measuredAt = now
	}
}

func (v *serverSpeed) scale(factor float64) {
	v.seconds *= factor
	v.units *= factor
	v.samples *= factor
}

// add records that units of work took a time.
func (v *serverSpeed) add(now time.Time, took time.Duration, units float64) {
	v.decay(now)
	if v.samples > maxSamples-1 {
		v.scale((maxSamples - 1) / v.samples)
	}
	v.seconds += took.Seconds()
	v.units += units
	v.samples++
}

// rate returns the units of work a second, or 0 if unknown.
func (v *serverSpeed) rate() float64 {
	if v.samples < minKnownSamples || v.units <= 0 {
		return 0
	}
	return v.units / max(v.seconds, minMeasured.Seconds())
}

// compute computes the speeds of the group if the last time is speedInterval ago.
func (g *speedGroup) compute(now time.Time) (computed bool) {
	if now.Sub(g.computedAt) < speedInterval {
		return false
	}
	g.computedAt = now
	var rates []float64
	for _, m := range g.members {
		m.decay(now)
		if r := m.rate(); r > 0 {
			rates = append(rates, r)
		}
	}
	mean := robustMean(rates)
	g.perUnit = 0
	if mean > 0 {
		g.perUnit = 1 / mean
	}
	slowest, fastest := math.Inf(1), 0.0
	for _, m := range g.members {
		m.speed = 0
		if r := m.rate(); r > 0 {
			confidence := m.samples / (m.samples + priorSamples)
			m.speed = min(max(math.Pow(r/mean, confidence), minSpeed), maxSpeed)
			slowest, fastest = min(slowest, m.speed), max(fastest, m.speed)
		}
	}
	g.uneven = fastest > unevenRatio*slowest || !g.workSeenAt.IsZero() && now.Sub(g.workSeenAt) < workSeenTTL
	return true
}

// robustMean returns the mean of the rates, each of which counts as from minSpeed to maxSpeed times their median. It
// returns 0 if there are none.
func robustMean(rates []float64) float64 {
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	median, sum := rates[(len(rates)-1)/2], 0.0
	for _, r := range rates {
		sum += min(max(r, minSpeed*median), maxSpeed*median)
	}
	return sum / float64(len(rates))
}

// slowness returns how long work takes at the server now, as a multiple of its pool's mean: 1 if unknown, and where
// speeds in the pool differ too little to count.
func (v *serverSpeed) slowness(now time.Time) float64 {
	if v.group == nil || !v.group.uneven {
		return 1
	}
	measured := 1.0
	if v.speed > 0 {
		measured = 1 / v.speed
	}
	weight := v.workWeight(now)
	if weight == 0 {
		return measured
	}
	work := min(max(float64(v.workPercent)/100, 1/maxSpeed), 1/minSpeed)
	return weight*work + (1-weight)*measured
}

// workWeight returns the weight of the work figure: 1 if it is new, 0 from the age of workTTL on.
func (v *serverSpeed) workWeight(now time.Time) float64 {
	if v.workPercent == 0 {
		return 0
	}
	return min(max(1-float64(now.Sub(v.workAt))/float64(workTTL), 0), 1)
}

// Speed returns the measured speed of a server lifetime as a multiple of its pool's mean, from 1/4 to 4. It is 1 if
// unknown. It doesn't depend on whether speeds in the pool differ enough to count in choices.
func (p *Picker) Speed(lifetime string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e, ok := p.states[lifetime]; ok && e.speed > 0 {
		return e.speed
	}
	return 1
}
