package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// minMeasured and maxMeasured are the least and the longest time that counts as a measurement: no call, prefill or
	// step is shorter, and no request lasts longer.
	minMeasured = 10 * time.Microsecond
	maxMeasured = time.Minute
	// maxOutlier bounds a single measurement, as a multiple of the pool's mean, and divided by it.
	maxOutlier = 8
	// maxWorkPercent is the highest work figure.
	maxWorkPercent = 10_000
	// stepFitSamples is the number of streams that a stepFit consists of, minStepFitSamples the least number.
	stepFitSamples    = 256
	minStepFitSamples = 32
	// minRequestVariance is the variance of the number of requests below which their effect on steps is unknown.
	minRequestVariance = 0.5
	// maxStepSlope bounds the effect of one more request on the time per step, in times of a step of a lone request.
	maxStepSlope = 0.2
)

// recordSpeed records the times in the result of a send to s, which ends now. p.mu must be held.
func (p *Picker) recordSpeed(now time.Time, rv *Reservation, r Result) {
	s, e := rv.server, rv.state
	if r.WorkPercent < 0 || r.WorkPercent > maxWorkPercent {
		p.oddMeasurements++
		r.WorkPercent = 0
	}
	took := r.Took
	if s.Role == figview.Decode {
		took = r.StepTime
	}
	if took != 0 && (took < minMeasured || took > maxMeasured) {
		p.oddMeasurements++
		took = 0
	}
	answered := !r.Failed && !r.Unreachable && !r.NoCapacity && !r.WrongServer && !r.ApplicationError
	measured := took > 0 && answered
	if !measured && r.WorkPercent == 0 || !p.joinGroup(s, e) {
		return
	}
	if r.WorkPercent > 0 {
		e.workPercent, e.workAt, e.group.workSeenAt = r.WorkPercent, now, now
	}
	if !measured {
		return
	}
	if s.Role == figview.Plain {
		p.recordCall(now, s.Pool, took)
	}
	service, units := e.serviceOf(now, s, rv, took)
	e.add(now, e.group.bounded(service, units), units)
}

// serviceOf returns the time in a measurement that the server worked on the request, without that in which it worked on
// others before it, and the units of work in that time.
func (e *serverState) serviceOf(now time.Time, s *figcatalogue.Server, rv *Reservation, took time.Duration) (time.Duration, float64) {
	switch s.Role {
	case figview.Prefill:
		// Prompts are computed one after the other.
		began := later(now.Add(-took), e.busyUntil)
		e.busyUntil = later(now, e.busyUntil)
		return max(0, now.Sub(began)), float64(max(1, rv.tokens))
	case figview.Decode:
		// The requests that ran beside it, on average. Its own is no longer in e.Requests.
		beside := float64(max(0, rv.requests-1)+max(0, e.Requests)) / 2
		e.addStep(beside, took.Seconds())
		return took, 1 + e.group.steps.slope()*beside
	default:
		// Calls beyond the slots wait for one.
		return time.Duration(float64(took) / max(1, float64(rv.requests)/float64(e.slots(s)))), 1
	}
}

// bounded bounds the time that units of work took to maxOutlier times the usual one. The time of a prefill has no lower
// bound: reports are late by different times, so that only the sum of several is right.
func (g *speedGroup) bounded(took time.Duration, units float64) time.Duration {
	if g.perUnit == 0 {
		return took
	}
	usual := g.perUnit * units * float64(time.Second)
	bounded := min(float64(took), usual*maxOutlier)
	if g.role != figview.Prefill {
		bounded = max(bounded, usual/maxOutlier)
	}
	return time.Duration(bounded)
}

// stepFit is a linear fit of the time per step to the requests that run beside. Older samples count exponentially less.
type stepFit struct {
	// requests and seconds are sums of the samples, in seconds at the mean speed. squares and products are sums of their
	// deviations from the means of the same server: servers with more requests are often the faster or the slower ones.
	weight, requests, seconds, squares, products float64
}

// addStep adds a stream to the fit of its server's group, beside which requests ran and of which a step took seconds.
func (v *serverSpeed) addStep(requests, seconds float64) {
	const keep = 1 - 1.0/stepFitSamples
	speed, f := 1.0, &v.group.steps
	if v.speed > 0 {
		speed = v.speed
	}
	if v.stepMean == 0 {
		v.requestsMean, v.stepMean = requests, seconds
	}
	deviation := requests - v.requestsMean
	f.weight = f.weight*keep + 1
	f.requests = f.requests*keep + requests
	f.seconds = f.seconds*keep + seconds*speed
	f.squares = f.squares*keep + deviation*deviation
	f.products = f.products*keep + deviation*(seconds-v.stepMean)*speed
	v.requestsMean += deviation / maxSamples
	v.stepMean += (seconds - v.stepMean) / maxSamples
}

// slope returns by how much each request beside lengthens a step, as a fraction of a step of a lone request. It is 0
// while that isn't known.
func (f *stepFit) slope() float64 {
	if f.weight < minStepFitSamples {
		return 0
	}
	if f.squares < minRequestVariance*f.weight {
		return 0
	}
	slope := f.products / f.squares
	alone := (f.seconds - slope*f.requests) / f.weight
	if slope <= 0 {
		return 0
	}
	if alone <= 0 {
		return maxStepSlope
	}
	return min(slope/alone, maxStepSlope)
}
