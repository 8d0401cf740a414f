package figowner

import "time"

const (
	// lifetimeWeight is the weight of a new sample in the average lifetime of a request.
	lifetimeWeight = 0.05
	// minBatchVariance is the variance of batch sizes, in requests squared, needed to compute a slope.
	minBatchVariance = 1
	// targetFraction is the fraction of the target time between tokens that a batch may use.
	targetFraction = 0.94
	// minBatch is the batch size that is always allowed. If the server misses a target even at this size,
	// the target does not limit the batch.
	minBatch = 4
)

// BatchModel estimates how the duration of a decode step grows with the number of requests in the
// batch, by a linear fit.
type BatchModel struct {
	linearFit

	// RequestLifetime is the average time from the start of a request to its end.
	RequestLifetime time.Duration

	lastSize int
	lastStep time.Duration
}

// AddSample adds a step duration t measured with n requests in the batch.
func (b *BatchModel) AddSample(n int, t time.Duration) {
	b.lastSize, b.lastStep = n, t
	b.add(float64(n), t.Seconds(), minBatchVariance)
}

// StepTime estimates the step duration for n requests. The result is false while the fit has no slope
// yet.
func (b *BatchModel) StepTime(n int) (time.Duration, bool) {
	return seconds(b.value(float64(n))), b.fitted
}

// Slow returns whether a step with n requests took much longer than expected. While the fit has no
// slope yet, a longer step of a larger batch is not slow as long as the total token rate doesn't drop.
func (b *BatchModel) Slow(n int, t time.Duration) bool {
	if b.samples == 0 {
		return false
	}
	if expected, fitted := b.StepTime(n); fitted {
		return slowFraction*t.Seconds() > expected.Seconds()
	}
	return slowFraction*t.Seconds() > b.meanY && float64(n)/t.Seconds() < b.meanX/b.meanY
}

// Allows returns whether n requests are expected to meet the target time between tokens. While the fit
// has no slope yet, any size is allowed if the last step met the target, and otherwise one request
// more than in the last sample. A target that even minBatch requests miss allows any size.
func (b *BatchModel) Allows(n int, target time.Duration) bool {
	if n <= minBatch || target <= 0 {
		return true
	}
	maxStep := time.Duration(targetFraction * float64(target))
	step, fitted := b.StepTime(n)
	if !fitted {
		return b.lastStep <= maxStep || n <= b.lastSize+1
	}
	minBatchStep, _ := b.StepTime(minBatch)
	return b.slope <= 0 || minBatchStep > maxStep || step <= maxStep
}

// RequestEnded adds the time that a finished request spent on the server.
func (b *BatchModel) RequestEnded(lifetime time.Duration) {
	if b.RequestLifetime == 0 {
		b.RequestLifetime = lifetime
		return
	}
	b.RequestLifetime += time.Duration(lifetimeWeight * float64(lifetime-b.RequestLifetime))
}

// ExpectedExits estimates how many requests end within d, where old is the number of requests that
// have run for more than half of RequestLifetime. Younger requests are expected to stay.
func (b *BatchModel) ExpectedExits(old int, d time.Duration) int {
	if b.RequestLifetime <= 0 {
		return 0
	}
	share := 2 * d.Seconds() / b.RequestLifetime.Seconds()
	return int(min(1, share) * float64(old))
}
