package figowner

import "time"

const (
	// rampPieces is the work in progress that a server in a cold start gets at
	// first, in pieces of engine memory. One request is granted whatever its size.
	initialRampPieces = 2
	// lostSpeed is the part of its usual speed below which a server counts as
	// being in a cold start again.
	slowFraction = 0.3
	// lostReports is how many reports in a row must show the loss.
	slowSampleLimit = 2
	// speedWeight is the weight of a new sample in the usual speed.
	usualSpeedWeight = 0.1
	// warmAge is the process age from which a server whose history is unknown
	// counts as past its cold start.
	warmProcessAge = time.Minute
)

// Ramp bounds the tokens in progress on a server after a cold start. The bound
// grows by the work that the server is seen to do, so it doubles with each round
// of work and stands still while the server does.
type Ramp struct {
	// Limit is the bound, in tokens in progress.
	Limit int64
	// Full is the value of Limit at which the ramp has ended.
	Full int64

	usualSpeed  float64
	slowSamples int
	fraction    float64
}

// Cold says whether the ramp is still running.
func (r *Ramp) Active() bool { return r.Limit < r.Full }

// Restart begins the ramp anew.
func (r *Ramp) Restart(start, full int64) {
	r.Full = full
	r.Limit = min(start, full)
	r.slowSamples = 0
}

// Progress adds work that the server was seen to do.
func (r *Ramp) AddProgress(tokens float64) {
	r.fraction += max(0, tokens)
	whole := int64(r.fraction)
	r.fraction -= float64(whole)
	r.Limit = min(r.Full, r.Limit+whole)
}

// Allows says whether more tokens may be added to those in progress.
func (r *Ramp) Allows(inProgress, more int64) bool {
	if !r.Active() || inProgress == 0 {
		return true
	}
	return inProgress+more <= r.Limit
}

// LostSpeed takes a sample of the server's speed while it had work, and says
// whether it has fallen far below the usual for several samples.
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

// Lost takes whether a sample was far too slow, and says whether several in a row
// were.
func (r *Ramp) CountSlow(slow bool) bool {
	if !slow {
		r.slowSamples = 0
		return false
	}
	r.slowSamples++
	return r.slowSamples >= slowSampleLimit
}
