package figreservation

import "math"

// smoothing is the weight of the newest value in an average, which follows a change of the load within some ten seconds at
// the rates of a coordinator.
const smoothing = 0.02

// average is an exponential average with the mean absolute deviation. It starts as the arithmetic mean.
type average struct {
	mean, deviation float64
	count           int
}

// add adds a value; values that aren't finite are ignored.
func (a *average) add(x float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return
	}
	a.count++
	weight := max(smoothing, 1/float64(a.count))
	if a.count > 1 {
		a.deviation += weight * (math.Abs(x-a.mean) - a.deviation)
	}
	a.mean += weight * (x - a.mean)
}
