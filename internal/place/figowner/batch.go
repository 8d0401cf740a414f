package figowner

import "time"

const (
	// batchWeight is the weight of a new sample in the fit of the step time.
	batchWeight = 0.05
	// batchSamples and batchSpread are the number of samples and their variance
	// from which the fit is used.
	batchSamples = 8
	batchSpread  = 1
	// batchShare is the part of the target between tokens that is planned for.
	batchShare = 0.94
	// fewRequests is the batch that is always allowed. A target that it can't keep
	// is out of the server's reach, and bounds nothing.
	fewRequests = 4
)

// Batch learns how the time of a decode step grows with the number of requests in
// the batch, as a straight line through samples.
type Batch struct {
	// Life is the usual time that a request stays.
	Life time.Duration

	samples      int
	lastN        int
	lastT        time.Duration
	n, t, nn, nt float64
	slope        float64
	fitted       bool
}

// Add takes a sample: n requests at a step time of t.
func (b *Batch) Add(n int, t time.Duration) {
	b.lastN, b.lastT = n, t
	x, y := float64(n), t.Seconds()
	w := max(batchWeight, 1/float64(b.samples+1))
	b.samples++
	b.n += w * (x - b.n)
	b.t += w * (y - b.t)
	b.nn += w * (x*x - b.nn)
	b.nt += w * (x*y - b.nt)
	// A batch that stays the same shows no slope; the one known before is kept.
	if spread := b.nn - b.n*b.n; b.samples >= batchSamples && spread >= batchSpread {
		b.slope, b.fitted = (b.nt-b.n*b.t)/spread, true
	}
}

// Step estimates the step time of n requests. It returns false while too little is
// known.
func (b *Batch) Step(n int) (time.Duration, bool) {
	return seconds(b.t + b.slope*(float64(n)-b.n)), b.fitted
}

// Slow says whether a step of n requests took far longer than it should. Before the
// fit is known, more requests explain a longer step as long as more is generated
// in all.
func (b *Batch) Slow(n int, t time.Duration) bool {
	if b.samples == 0 {
		return false
	}
	if expected, fitted := b.Step(n); fitted {
		return lostSpeed*t.Seconds() > expected.Seconds()
	}
	return lostSpeed*t.Seconds() > b.t && float64(n)/t.Seconds() < b.n/b.t
}

// Allows says whether n requests keep to a target between tokens. While too little
// is known, a batch that keeps to it may grow freely and another one by one request.
func (b *Batch) Allows(n int, target time.Duration) bool {
	if n <= fewRequests || target <= 0 {
		return true
	}
	most := time.Duration(batchShare * float64(target))
	step, fitted := b.Step(n)
	if !fitted {
		return b.lastT <= most || n <= b.lastN+1
	}
	least, _ := b.Step(fewRequests)
	return b.slope <= 0 || least > most || step <= most
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
