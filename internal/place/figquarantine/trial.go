package figquarantine

import "time"

// quarantinedUntil returns when the quarantine of the record's part ends; zero if there is none.
func (r *record) quarantinedUntil(now time.Time) time.Time {
	until := r.crashedAt.Add(quarantineTime)
	if r.sufficientSince.IsZero() || !now.Before(until) {
		return time.Time{}
	}
	if now.Sub(r.sufficientSince) < r.settleTime() {
		return time.Time{}
	}
	return until
}

// settleTime is how long the evidence must suffice: as long as the runs that were lost had been answered, so that those that
// go on can outlast them, and longer if it isn't confirmed or answers have cleared a part of it.
func (r *record) settleTime() time.Duration {
	settle := time.Duration(0)
	for _, l := range r.Losses {
		settle = max(settle, min(l.Reached, maxSettleTime))
	}
	if !r.Confirmed || r.hasCleared() {
		settle = max(settle, settleTime)
	}
	return settle
}

// Finding is a quarantined part of a prompt.
type Finding struct {
	// Part is the id of the part, shortened for operators.
	Part string
	// Wait is the time until a prompt with the part may be tried or the quarantine ends.
	Wait time.Duration

	record *record
}

// Find returns the first of the parts that is quarantined; nil if none is.
func (t *Table) Find(now time.Time, parts []string) *Finding {
	if len(t.records) == 0 {
		return nil
	}
	for _, part := range parts {
		if r, ok := t.records[hashOf(part)]; ok {
			if until := r.quarantinedUntil(now); !until.IsZero() {
				return &Finding{r.Name, min(until.Sub(now), r.trialWait(now)), r}
			}
		}
	}
	return nil
}

// trialDue reports whether a prompt with the part may be tried although it is quarantined.
func (r *record) trialDue(now time.Time) bool { return r.trialWait(now) == 0 }

// trialWait returns the time until the next trial. Without confirmation the first one comes soon: the part may be
// one that all prompts share, and its quarantine would keep away the answers that clear it.
func (r *record) trialWait(now time.Time) time.Duration {
	since, delay := r.sufficientSince, trialDelay
	if r.Confirmed {
		delay = confirmedTrialDelay
	}
	if r.triedAt.After(since) {
		since = r.triedAt
	}
	for range min(r.Trials, maxTrialSteps) {
		delay *= trialFactor
	}
	return max(0, min(delay, quarantineTime)-now.Sub(since))
}

// TakeTrial notes that a prompt with the part of a finding is tried. It returns false if no trial is due.
func (t *Table) TakeTrial(now time.Time, f *Finding) bool {
	r := f.record
	if !r.trialDue(now) {
		return false
	}
	r.triedAt = now
	r.Trials++
	t.touch(r)
	t.derive(now)
	return true
}
