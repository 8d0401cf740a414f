package figowner

import "time"

const (
	// initialRampPieces is the limit of work in progress at the start of a ramp, in pieces of KV cache
	// memory. One request is allowed whatever its size.
	initialRampPieces = 2
	// slowFraction is the fraction of the usual speed below which a sample counts as slow. Slow samples in
	// a row mean that the server is in a cold start again.
	slowFraction = 0.3
	// slowSampleLimit is how many slow samples in a row restart the ramp.
	slowSampleLimit = 2
	// usualSpeedWeight is the weight of a new sample in the usual speed.
	usualSpeedWeight = 0.1
	// warmProcessAge is the process age from which a server that is new to this owner counts as past its
	// cold start.
	warmProcessAge = time.Minute
)

// Ramp limits the work in progress on a server after a cold start. The limit grows by the amount of
// work that the server completes, so it doubles with each round of work and stays the same while the
// server is idle. Amounts are in tokens, or in calls for a plain server.
type Ramp struct {
	// Limit is the limit of work in progress.
	Limit int64
	// Full is the value of Limit at which the ramp ends.
	Full int64

	usualSpeed  float64
	slowSamples int
	fraction    float64
}

// Active returns whether the ramp has not ended.
func (r *Ramp) Active() bool { return r.Limit < r.Full }

// Restart restarts the ramp at the limit start, or at full if that is less.
func (r *Ramp) Restart(start, full int64) {
	r.Full = full
	r.Limit = min(start, full)
	r.slowSamples = 0
}

// AddProgress raises the limit by work that the server has completed.
func (r *Ramp) AddProgress(tokens float64) {
	r.fraction += max(0, tokens)
	whole := int64(r.fraction)
	r.fraction -= float64(whole)
	r.Limit = min(r.Full, r.Limit+whole)
}

// Allows returns whether more work may be added to the work in progress. An idle server may always get
// one request, and there is no limit once the ramp has ended.
func (r *Ramp) Allows(inProgress, more int64) bool {
	if !r.Active() || inProgress == 0 {
		return true
	}
	return inProgress+more <= r.Limit
}

// AddSpeedSample adds a speed measured while the server was busy. It returns whether the last
// slowSampleLimit or more samples were slow. Slow samples do not change the usual speed.
func (r *Ramp) AddSpeedSample(speed float64) bool {
	if r.usualSpeed > 0 && speed < slowFraction*r.usualSpeed {
		return r.CountSlow(true)
	}
	if r.usualSpeed == 0 {
		r.usualSpeed = speed
	}
	r.usualSpeed += usualSpeedWeight * (speed - r.usualSpeed)
	return r.CountSlow(false)
}

// CountSlow counts a sample as slow or resets the count. It returns whether at least slowSampleLimit
// samples in a row were slow.
func (r *Ramp) CountSlow(slow bool) bool {
	if !slow {
		r.slowSamples = 0
		return false
	}
	r.slowSamples++
	return r.slowSamples >= slowSampleLimit
}
