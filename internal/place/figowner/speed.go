package figowner

import "time"

const (
	// minSampleBusyTime is the busy time that one sample of the prefill speed covers at least, so that
	// prefills that end together form one sample.
	minSampleBusyTime = 100 * time.Millisecond
	// minMeanPromptTokens is the mean prompt size, in tokens, from which a sample can count as slow. The
	// fixed cost of shorter prompts makes them look slow.
	minMeanPromptTokens = 512
	// minPrefillVariance is the variance of the tokens in progress, in tokens squared, needed to compute
	// the slope of prefillFit. It is the square of 500 tokens, a third of a usual prompt.
	minPrefillVariance = 500 * 500
	// maxFitSpeedup limits the factor by which prefillFit may raise the measured speed, as the fitted time
	// per token may be close to zero.
	maxFitSpeedup = 8
	// maxTrialPrompts limits the prompts that a prefill server gets regardless of the predicted wait,
	// while prefillFit has no slope yet. The limit cycles from 1 to maxTrialPrompts, because a constant
	// load gives no information on the slope.
	maxTrialPrompts = 4
	// minDecodeInterval is the minimum time between two reports whose token counts are compared.
	minDecodeInterval = 100 * time.Millisecond
)

// prefillSampler accumulates finished prefills until they cover minSampleBusyTime.
type prefillSampler struct {
	lastDone time.Time
	busy     time.Duration
	tokens   int64
	count    int64
}

// PrefillSpeed returns the prefill speed of the server, in tokens per second. The measured time from
// start to end of a prompt also contains network time and waits for a processor. If prompts behind a
// longer queue do not take correspondingly longer, prefillFit shows a higher speed than that
// measurement, and the higher speed is used.
func (b *Backend) PrefillSpeed() float64 {
	speed := b.Speed.ValueOr(defaultPrefillSpeed)
	if !b.prefillFit.fitted {
		return speed
	}
	if perToken := b.prefillFit.slope; perToken*speed*maxFitSpeedup > 1 {
		return max(speed, 1/perToken)
	}
	return maxFitSpeedup * speed
}

// learningPrefill returns whether prefillFit has no slope yet, so that prompts are granted to collect
// samples.
func (b *Backend) learningPrefill() bool { return !b.prefillFit.fitted }

// allowsTrial returns whether another prompt may join n prompts in order to get a sample for
// prefillFit.
func (b *Backend) allowsTrial(n int) bool {
	if !b.learningPrefill() {
		return false
	}
	b.trialAttempts++
	return n < 1+b.trialAttempts%maxTrialPrompts
}

// measurePrefill updates the speed estimates from a finished prefill. The busy time of a prefill that
// queued behind another counts from the end of the other. Slow samples restart the ramp.
func (b *Backend) measurePrefill(now time.Time, l *Lease, r Release) {
	p := &b.prefillSample
	b.prefillFit.add(float64(l.tokensAhead+r.Tokens), (time.Duration(r.PrefillMillis) * time.Millisecond).Seconds(), minPrefillVariance)
	doneAt := now.Add(-time.Duration(r.EndedAgoMillis) * time.Millisecond)
	startedAt := doneAt.Add(-time.Duration(r.PrefillMillis) * time.Millisecond)
	p.busy += max(0, doneAt.Sub(laterOf(startedAt, p.lastDone)))
	p.lastDone = laterOf(doneAt, p.lastDone)
	p.tokens += r.Tokens
	p.count++
	if p.busy < minSampleBusyTime {
		return
	}
	speed := float64(p.tokens) / p.busy.Seconds()
	longPrompts := p.tokens >= minMeanPromptTokens*p.count
	*p = prefillSampler{lastDone: p.lastDone}
	b.Speed.AddRate(speed)
	if longPrompts && b.Ramp.AddSpeedSample(speed) {
		b.restartRamp()
	}
}

// decodeSteps holds the generated tokens of the running requests, by request ID, as of the last report
// that was compared.
type decodeSteps struct {
	writtenAt time.Time
	tokens    map[string]int64
}

// measureDecode estimates the decode step time and the batch size from the requests that were
// generating in two successive reports. It returns whether decoding has become so slow that the server
// may be in a cold start again. Averages reported by engines are not used, because engines take them
// over different periods.
func (b *Backend) measureDecode(r *Report, writtenAt time.Time) bool {
	previous := b.lastSteps
	elapsed := writtenAt.Sub(previous.writtenAt)
	if elapsed < minDecodeInterval {
		return false
	}
	b.lastSteps = decodeSteps{writtenAt: writtenAt, tokens: make(map[string]int64, len(r.Running))}
	active, generated := 0, int64(0)
	for _, x := range r.Running {
		b.lastSteps.tokens[x.ID] = x.Tokens
		if earlier := previous.tokens[x.ID]; earlier > 0 {
			active++
			generated += max(0, x.Tokens-earlier)
		}
	}
	if active == 0 {
		return false
	}
	step := seconds(elapsed.Seconds() * float64(active) / max(float64(generated), 0.5))
	if b.Batch.Slow(active, step) {
		return b.Ramp.CountSlow(true)
	}
	if b.Ramp.Limit >= b.Ramp.Full/warmDivisor {
		b.Batch.AddSample(active, step)
	}
	return b.Ramp.CountSlow(false)
}
