package figrole

import (
	"math"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// deviationTime is how long a shortage must have lasted, seen in each measurement.
	deviationTime = 3 * time.Second
	// firstWindow is how long coordinators must have answered this instance before the first order, so that an instance that
	// has just begun to order doesn't act on what its predecessor's orders caused: a window of 8 s, and askInterval.
	firstWindow = 11 * time.Second
	// maxSilence is the longest pause between two measurements that doesn't begin firstWindow again.
	maxSilence = 10 * time.Second
	// settleTime is the pause between two batches of orders: drain, change of the role, and some seconds of a window
	// in which the servers work in their new role.
	settleTime = 14 * time.Second
	// reversalTime is the pause before orders in the other direction. Bursts that alternate between long prompts
	// and long answers are shorter.
	reversalTime = 60 * time.Second
	// reversalDeviation replaces deviationTime for orders in the other direction than the last ones.
	reversalDeviation = 15 * time.Second
	// maxBatchShare bounds the servers that change their role at the same time, as a fraction of the pool.
	maxBatchShare = 0.05
	// finishGain replaces minGain for as long as a change that has begun isn't complete.
	finishGain = 0.01
	// maxLostShare is the fraction of the engines whose loss ends all decisions by measured work until they are back
	// or forgotten. A lost data centre makes the remaining servers full for a while, and distorts the measurements.
	maxLostShare = 0.1
)

// change is a decision: Count servers get Role. Count is 0 if nothing changes.
type change struct {
	Role  figview.Role
	Count int
	// Wanted is the number of prefill servers that suits the work; 0 if it isn't known.
	Wanted int
	// Keep is the number of prefill servers below which the rule without measurements must not go; 0 for no bound.
	Keep int
}

// hysteresis decides over time whether the roles of a pool change. The zero value has seen no measurement.
type hysteresis struct {
	// answeredSince is when the present sequence of measurements began, measuredAt when the last one was made.
	answeredSince, measuredAt time.Time
	// shortOf is the role that has had too few servers since shortSince; figview.Plain for none. target is the number of
	// prefill servers that was wanted in the meantime, the one closest to the present number.
	shortOf    figview.Role
	shortSince time.Time
	target     int
	// orderedAt and orderedRole are those of the last batch of orders.
	orderedAt   time.Time
	orderedRole figview.Role
}

// step takes a measurement, nil if no coordinator answered, and returns what changes.
func (h *hysteresis) step(now time.Time, w *Work, s Split) change {
	if w == nil {
		h.shortOf = figview.Plain
		return change{}
	}
	if h.answeredSince.IsZero() || now.Sub(h.measuredAt) > maxSilence {
		h.answeredSince = now
		h.shortOf = figview.Plain
	}
	h.measuredAt = now
	engines := s.engines()
	if float64(s.Lost) > maxLostShare*float64(engines) {
		h.answeredSince = now // the window that contains the loss must pass
	}
	d := demandOf(w, engines)
	if !d.measurable(engines) {
		h.shortOf = figview.Plain
		return change{}
	}
	c := change{Wanted: d.wanted(engines)}
	if d.prefill > idlePrefillLoad*s.Usual*float64(engines) {
		c.Keep = c.Wanted
	}
	underway := figview.Plain
	if now.Sub(h.orderedAt) < reversalTime {
		underway = h.orderedRole
	}
	h.note(now, shortageAt(w, d, s, c.Wanted, underway), c.Wanted)
	if h.mayOrder(now) {
		c.Role, c.Count = h.shortOf, h.batch(d, s)
	}
	return c
}

// shortageAt returns the role that is short of servers if that number of prefill servers is clearly better than the
// present one, in requests per second, and figview.Plain otherwise. Lost engines count as having the role that makes a change smaller.
func shortageAt(w *Work, d demand, s Split, wanted int, underway figview.Role) figview.Role {
	if s.Prefill == 0 || s.Decode == 0 {
		return figview.Plain
	}
	role := shortage(w, underway)
	present := s.Prefill
	switch {
	case role == figview.Decode && wanted < present:
	case role == figview.Prefill && wanted > present+s.Lost:
		present += s.Lost
	default:
		return figview.Plain
	}
	gain := minGain
	if role == underway {
		gain = finishGain
	}
	if d.throughput(wanted, s.engines()) < (1+gain)*d.throughput(present, s.engines()) {
		return figview.Plain
	}
	return role
}

// note records a shortage, or that there is none.
func (h *hysteresis) note(now time.Time, shortOf figview.Role, wanted int) {
	if shortOf != h.shortOf || h.shortSince.IsZero() {
		h.shortOf, h.shortSince, h.target = shortOf, now, wanted
		return
	}
	if shortOf == figview.Decode {
		h.target = max(h.target, wanted)
	} else {
		h.target = min(h.target, wanted)
	}
}

// mayOrder reports whether a shortage has lasted and no pause forbids orders.
func (h *hysteresis) mayOrder(now time.Time) bool {
	if h.shortOf == figview.Plain || now.Sub(h.answeredSince) < firstWindow {
		return false
	}
	pause, lasting := settleTime, deviationTime
	switch h.orderedRole {
	case h.shortOf:
	case figview.Plain:
		pause = 0
	default:
		pause, lasting = reversalTime, reversalDeviation
	}
	return now.Sub(h.shortSince) >= lasting && now.Sub(h.orderedAt) >= pause
}

// batch returns how many servers change their role now: the deviation, bounded by maxBatchShare of the pool and by what
// the servers of the other role need for the present load.
func (h *hysteresis) batch(d demand, s Split) int {
	most := max(1, int(maxBatchShare*float64(s.engines()))) - s.Moving
	if h.shortOf == figview.Decode {
		spare := s.Prefill - max(1, int(math.Ceil(prefillMargin*d.prefill)))
		return max(0, min(most, s.Prefill-h.target, spare))
	}
	spare := s.Decode - max(1, int(math.Ceil(d.decode/maxDecodeLoad)))
	return max(0, min(most, h.target-s.Prefill-s.Lost, spare))
}

// ordered records that a batch of orders is sent. Another one needs a shortage that lasts from now on.
func (h *hysteresis) ordered(now time.Time, role figview.Role) {
	h.orderedAt, h.orderedRole = now, role
	h.shortOf, h.shortSince = figview.Plain, time.Time{}
}
