package figowner

import "time"

const (
	// estimateWeight is the weight of a new sample in the average.
	estimateWeight = 0.2
	// defaultPrefillSpeed is the prefill speed assumed before the first sample, in tokens per second.
	defaultPrefillSpeed = 8000
	// defaultLinkRate is the transfer rate assumed before the first sample, in bytes per second.
	defaultLinkRate = 1 << 30
)

// Estimate is an exponential moving average of a rate per second.
type Estimate struct {
	// Value is the average, or zero before the first sample.
	Value float64
}

// AddSample adds a sample given as an amount and a duration. It ignores values that are not positive.
func (e *Estimate) AddSample(amount int64, took time.Duration) {
	if amount <= 0 || took <= 0 {
		return
	}
	e.AddRate(float64(amount) / took.Seconds())
}

// AddRate adds a sample given as a rate per second. It ignores values that are not positive.
func (e *Estimate) AddRate(v float64) {
	if v <= 0 {
		return
	}
	if e.Value == 0 {
		e.Value = v
		return
	}
	e.Value += estimateWeight * (v - e.Value)
}

// ValueOr returns the average, or v before the first sample.
func (e *Estimate) ValueOr(v float64) float64 {
	if e.Value <= 0 {
		return v
	}
	return e.Value
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
