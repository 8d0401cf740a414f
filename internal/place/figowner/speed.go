package figowner

import "time"

const (
	// prefillWindow is the busy time that makes up one sample of the prefill speed,
	// so that prefills that end together count as one.
	minSampleBusyTime = 100 * time.Millisecond
	// prefillSample is the mean size from which a sample can show lost speed, in
	// tokens; shorter prompts are slow by their fixed cost.
	minMeanPromptTokens = 512
	// readingSpread is the variance of the tokens before a prompt from which the fit
	// of their time is taken: the square of 500 tokens, a third of a usual prompt.
	minPrefillVariance = 500 * 500
	// readingMost bounds what the fit may raise the measured speed by, as it may show
	// no time at all.
	maxFitSpeedup = 8
	// fewPrompts is the number of prompts that a prefill server gets at most whatever is
	// predicted, while the fit isn't known. It gets 1 to 4 in turn, since a number that
	// stays the same shows nothing.
	maxTrialPrompts = 4
	// stepsWindow is the least time between two reports that are compared.
	minDecodeInterval = 100 * time.Millisecond
)

// prefills gathers finished prefills until they make up a sample.
type prefillSampler struct {
	lastDone time.Time
	busy     time.Duration
	tokens   int64
	count    int64
}

// PrefillSpeed returns the rate at which the server reads prompts, in tokens a second.
// What was measured from begin to end of prompts counts other time as reading: the
// way there and back, and waiting for a processor. Where prompts with much before
// them don't take that much longer, the server reads faster than that.
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

// trying says that the fit isn't known yet, so that prompts are granted to learn it.
func (b *Backend) learningPrefill() bool { return !b.prefillFit.fitted }

// tries says whether another prompt goes beside n others to learn the fit.
func (b *Backend) allowsTrial(n int) bool {
	if !b.learningPrefill() {
		return false
	}
	b.trialAttempts++
	return n < 1+b.trialAttempts%maxTrialPrompts
}

// measurePrefill corrects the speed by a finished prefill. Work that queued behind
// another is counted from the end of that one. Lost speed restarts the ramp.
func (b *Backend) measurePrefill(now time.Time, l *Lease, r Release) {
	p := &b.prefillSample
	b.prefillFit.add(float64(l.tokensAhead+r.Tokens), (time.Duration(r.TookMillis) * time.Millisecond).Seconds(), minPrefillVariance)
	done := now.Add(-time.Duration(r.AgoMillis) * time.Millisecond)
	begun := done.Add(-time.Duration(r.TookMillis) * time.Millisecond)
	p.busy += max(0, done.Sub(laterOf(begun, p.lastDone)))
	p.lastDone = laterOf(done, p.lastDone)
	p.tokens += r.Tokens
	p.count++
	if p.busy < minSampleBusyTime {
		return
	}
	speed := float64(p.tokens) / p.busy.Seconds()
	long := p.tokens >= minMeanPromptTokens*p.count
	*p = prefillSampler{lastDone: p.lastDone}
	b.Speed.AddRate(speed)
	if long && b.Ramp.AddSpeedSample(speed) {
		b.restartRamp()
	}
}

// steps is what the last report showed of the running decodes.
type decodeSteps struct {
	taken  time.Time
	tokens map[string]int64
}

// measureSteps compares a report with the one before it: the requests that were
// generating show the step time and the size of the batch. It says whether the
// speed was lost. Reported averages aren't used, since each engine takes them over
// a time of its own.
func (b *Backend) measureDecode(r *Report, taken time.Time) bool {
	before := b.lastSteps
	passed := taken.Sub(before.taken)
	if passed < minDecodeInterval {
		return false
	}
	b.lastSteps = decodeSteps{taken: taken, tokens: make(map[string]int64, len(r.Running))}
	active, generated := 0, int64(0)
	for _, x := range r.Running {
		b.lastSteps.tokens[x.ID] = x.Tokens
		if had := before.tokens[x.ID]; had > 0 {
			active++
			generated += max(0, x.Tokens-had)
		}
	}
	if active == 0 {
		return false
	}
	step := seconds(passed.Seconds() * float64(active) / max(float64(generated), 0.5))
	if b.Batch.Slow(active, step) {
		return b.Ramp.CountSlow(true)
	}
	if b.Ramp.Limit >= b.Ramp.Full/warmDivisor {
		b.Batch.AddSample(active, step)
	}
	return b.Ramp.CountSlow(false)
}
