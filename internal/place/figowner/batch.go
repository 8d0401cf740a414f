package figowner

import "time"

const (
	// batchWeight is the weight of a new sample in the usual time of a request.
	lifetimeWeight = 0.05
	// batchSpread is the variance of the batch from which its slope is taken: one
	// request.
	minBatchVariance = 1
	// batchShare is the part of the target between tokens that is planned for.
	targetFraction = 0.94
	// fewRequests is the batch that is always allowed. A target that it can't keep
	// is out of the server's reach, and bounds nothing.
	minBatch = 4
)

// Batch learns how the time of a decode step grows with the number of requests in
// the batch, as a straight line through samples.
type BatchModel struct {
	linearFit

	// Life is the usual time that a request stays.
	RequestLifetime time.Duration

	lastSize int
	lastStep time.Duration
}

// Add takes a sample: n requests at a step time of t.
func (b *BatchModel) AddSample(n int, t time.Duration) {
	b.lastSize, b.lastStep = n, t
	b.add(float64(n), t.Seconds(), minBatchVariance)
}

// Step estimates the step time of n requests. It returns false while too little is
// known.
func (b *BatchModel) StepTime(n int) (time.Duration, bool) {
	return seconds(b.value(float64(n))), b.fitted
}

// Slow says whether a step of n requests took far longer than it should. Before the
// fit is known, more requests explain a longer step as long as more is generated
// in all.
func (b *BatchModel) Slow(n int, t time.Duration) bool {
	if b.samples == 0 {
		return false
	}
	if expected, fitted := b.StepTime(n); fitted {
		return slowFraction*t.Seconds() > expected.Seconds()
	}
	return slowFraction*t.Seconds() > b.meanY && float64(n)/t.Seconds() < b.meanX/b.meanY
}

// Allows says whether n requests keep to a target between tokens. While too little
// is known, a batch that keeps to it may grow freely and another one by one request.
func (b *BatchModel) Allows(n int, target time.Duration) bool {
	if n <= minBatch || target <= 0 {
		return true
	}
	most := time.Duration(targetFraction * float64(target))
	step, fitted := b.StepTime(n)
	if !fitted {
		return b.lastStep <= most || n <= b.lastSize+1
	}
	least, _ := b.StepTime(minBatch)
	return b.slope <= 0 || least > most || step <= most
}

// Ended takes the time that a request stayed.
func (b *BatchModel) RequestEnded(stayed time.Duration) {
	if b.RequestLifetime == 0 {
		b.RequestLifetime = stayed
		return
	}
	b.RequestLifetime += time.Duration(lifetimeWeight * float64(stayed-b.RequestLifetime))
}

// Leaving estimates how many requests leave within d if old ones have stayed for
// half of the usual time or longer. Younger ones count as staying.
func (b *BatchModel) ExpectedExits(old int, d time.Duration) int {
	if b.RequestLifetime <= 0 {
		return 0
	}
	share := 2 * d.Seconds() / b.RequestLifetime.Seconds()
	return int(min(1, share) * float64(old))
}
