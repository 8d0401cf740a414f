package figowner

import "time"

const (
	// batchWeight is the weight of a new sample in the fit of the step time.
	batchWeight = 0.05
	// batchSamples is the number of samples from which the fit is used.
	batchSamples = 8
	// batchShare is the part of the target between tokens that is planned for.
	batchShare = 0.94
)

// Batch learns how the time of a decode step grows with the number of requests in
// the batch, as a straight line through reported samples.
type Batch struct {
	// Life is the usual time that a request stays.
	Life time.Duration

	samples      int
	lastN        int
	lastT        time.Duration
	n, t, nn, nt float64
}

// Add takes a sample: n requests at a step time of t.
func (b *Batch) Add(n int, t time.Duration) {
	x, y := float64(n), t.Seconds()
	b.lastN, b.lastT = n, t
	w := max(batchWeight, 1/float64(b.samples+1))
	b.samples++
	b.n += w * (x - b.n)
	b.t += w * (y - b.t)
	b.nn += w * (x*x - b.nn)
	b.nt += w * (x*y - b.nt)
}

// Step estimates the step time of n requests. It returns false while too little is
// known.
func (b *Batch) Step(n int) (time.Duration, bool) {
	spread := b.nn - b.n*b.n
	if b.samples < batchSamples || spread < 1 {
		return 0, false
	}
	slope := (b.nt - b.n*b.t) / spread
	if slope <= 0 {
		return 0, false
	}
	return seconds(b.t + slope*(float64(n)-b.n)), true
}

// Allows says whether n requests keep to a target between tokens. A single
// request is always allowed. While too little is known, the last sample decides.
func (b *Batch) Allows(n int, target time.Duration) bool {
	if n <= 1 || target <= 0 {
		return true
	}
	most := time.Duration(batchShare * float64(target))
	step, ok := b.Step(n)
	if !ok {
		return b.lastT <= most || n <= b.lastN
	}
	return step <= most
}

// Ended takes the time that a request stayed.
func (b *Batch) Ended(stayed time.Duration) {
	if b.Life == 0 {
		b.Life = stayed
		return
	}
	b.Life += time.Duration(batchWeight * float64(stayed-b.Life))
}

// Leaving estimates how many requests leave within d if old ones have stayed for
// half of the usual time or longer. Younger ones count as staying.
func (b *Batch) Leaving(old int, d time.Duration) int {
	if b.Life <= 0 {
		return 0
	}
	share := 2 * d.Seconds() / b.Life.Seconds()
	return int(min(1, share) * float64(old))
}
