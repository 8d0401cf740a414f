package figowner

import "time"

const (
	// estimateWeight is the weight of a new sample.
	estimateWeight = 0.2
	// defaultSpeed is the prefill speed of a server that nothing is known of, in
	// tokens a second.
	defaultPrefillSpeed = 8000
	// defaultLink is the rate of a link that nothing is known of, in bytes a second.
	defaultLinkRate = 1 << 30
)

// Estimate is a moving average of a rate, in units a second.
type Estimate struct {
	// Value is the average; zero before the first sample.
	Value float64
}

// Add takes a sample: an amount and the time that it took.
func (e *Estimate) AddSample(amount int64, took time.Duration) {
	if amount <= 0 || took <= 0 {
		return
	}
	e.AddRate(float64(amount) / took.Seconds())
}

// Rate takes a sample that is a rate already.
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

// Or returns the average, or v before the first sample.
func (e *Estimate) ValueOr(v float64) float64 {
	if e.Value <= 0 {
		return v
	}
	return e.Value
}

// seconds converts to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
