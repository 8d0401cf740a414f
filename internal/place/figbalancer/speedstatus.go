package figbalancer

import (
	"time"

	"k8s.io/klog/v2"
)

const (
	// slowBound and fastBound are the speeds beyond which a server counts as slow or fast. A server that does so counts
	// as usual again from usualBound of the way back, so that the class doesn't change with each answer.
	slowBound  = 0.8
	fastBound  = 1.25
	slowReturn = 0.9
	fastReturn = 1.1
	// classLogInterval is the time between two log lines on one server, speedLogInterval that between two on any.
	classLogInterval = 10 * time.Second
	speedLogInterval = 250 * time.Millisecond
)

// speedClass says whether a server is slower or faster than its pool's mean.
type speedClass uint8

const (
	usualSpeed speedClass = iota
	slowSpeed
	fastSpeed
)

// String returns the class's name in logs.
func (c speedClass) String() string { return [...]string{"usual", "slow", "fast"}[c] }

// classOf returns the class of a server with this speed, 0 if unknown, that had the class before.
func (c speedClass) classOf(speed float64) speedClass {
	switch {
	case speed == 0:
		return usualSpeed
	case speed < slowBound || c == slowSpeed && speed < slowReturn:
		return slowSpeed
	case speed > fastBound || c == fastSpeed && speed > fastReturn:
		return fastSpeed
	default:
		return usualSpeed
	}
}

// computeSpeeds computes the speeds of a group if that is due. A coordinator logs a change of a server's class; other
// pickers have few measurements and pick only while no coordinator answers. p.mu must be held.
func (p *Picker) computeSpeeds(now time.Time, g *speedGroup) {
	if !g.compute(now) || !p.opts.Coordinates {
		return
	}
	for _, m := range g.members {
		class := m.class.classOf(m.speed)
		if class == m.class || now.Sub(m.loggedAt) < classLogInterval || now.Sub(p.speedLoggedAt) < speedLogInterval {
			continue
		}
		klog.InfoS("speed of a server changed", "server", m.name, "pool", g.pool, "role", g.role.String(), "before", m.class.String(),
			"now", class.String(), "speed", m.speed, "samples", m.samples, "age", now.Sub(m.measuredAt), "uneven", g.uneven)
		m.class, m.loggedAt, p.speedLoggedAt = class, now, now
	}
}

// SpeedStatus says what is known of the speeds of servers.
type SpeedStatus struct {
	// Known is the number of servers whose speed is known, Slowest and Fastest are the extremes among them as multiples
	// of their pools' means; 0 if none is known.
	Known            int
	Slowest, Fastest float64
	// UnevenPools is the number of pools, each with one role, in which speeds count.
	UnevenPools int
	// Odd counts the measurements and work figures that were left out as out of range.
	Odd uint64
}

// SpeedStatus returns what is known of the speeds of servers.
func (p *Picker) SpeedStatus() SpeedStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	status := SpeedStatus{Odd: p.oddMeasurements}
	for _, g := range p.groups {
		if g.uneven && len(g.members) > 0 {
			status.UnevenPools++
		}
		for _, m := range g.members {
			if m.speed == 0 {
				continue
			}
			if status.Known == 0 || m.speed < status.Slowest {
				status.Slowest = m.speed
			}
			status.Fastest = max(status.Fastest, m.speed)
			status.Known++
		}
	}
	return status
}
