package figlimiter

import "time"

// State is the state of an account's bucket, which another limiter can take over.
type State struct {
	Account   string  `cbor:"1,keyasint"`
	Limits    Limits  `cbor:"2,keyasint"`
	Level     float64 `cbor:"3,keyasint"`
	Tolerated float64 `cbor:"4,keyasint"`
	// Owed is what was charged to an account while the state before it moved. The other fields but Limits are not set then.
	Owed float64 `cbor:"5,keyasint,omitempty"`

	// spent is what had been charged to the bucket at the time of the state.
	spent float64
}

// isValid reports whether a limiter can have had a bucket with this state.
func (s *State) isValid() bool {
	return s.Account != "" && s.Limits.Rate > 0 && s.Level <= s.Limits.Burst && s.Tolerated >= 0 && s.Tolerated <= s.Limits.ToleratedBurst &&
		s.Owed >= 0
}

// States returns the states of the buckets that were used since they last moved, and what others owe.
func (l *Limiter) States(now time.Time) []State {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []State
	for name, b := range l.buckets {
		switch {
		case b.owed > 0:
			all = append(all, State{Account: name, Limits: b.limits, Owed: b.owed})
		case b.usedAt.After(b.movedAt):
			b.refill(now)
			all = append(all, State{Account: name, Limits: b.limits, Level: b.level, Tolerated: b.tolerated, spent: b.spent})
		}
	}
	return all
}

// MoveOut empties a bucket whose state, one of States, another limiter has taken over.
func (l *Limiter) MoveOut(now time.Time, s *State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b, ok := l.buckets[s.Account]
	switch {
	case !ok:
	case s.Owed > 0:
		b.owed = max(0, b.owed-s.Owed)
	default:
		b.refill(now)
		b.owed = max(0, b.spent-s.spent)
		b.level, b.tolerated, b.spent = min(b.level, 0), 0, 0
		b.isNew, b.createdAt, b.movedAt = true, now, now
	}
}

// removeMoved deletes a bucket that moved movedTime ago and was not used since then. Until then it stays empty, for
// charges that were sent before the move. l.mu must be held.
func (l *Limiter) removeMoved(now time.Time, name string) {
	if b, ok := l.buckets[name]; ok && b.owed <= 0 && !b.usedAt.After(b.movedAt) && now.Sub(b.movedAt) > movedTime {
		delete(l.buckets, name)
	}
}

// MoveIn takes over the state of an account's bucket, less what has been charged here meanwhile. It changes nothing if
// there has been a bucket here for longer, or if the state is not valid.
func (l *Limiter) MoveIn(now time.Time, s *State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !s.isValid() {
		return
	}
	l.removeMoved(now, s.Account)
	if s.Owed > 0 {
		l.chargeOwed(now, s)
		return
	}
	b, ok := l.buckets[s.Account]
	if !ok {
		b = &bucket{refilledAt: now, createdAt: now, usedAt: now, isNew: true}
		l.buckets[s.Account] = b
	}
	if !b.isNew || now.Sub(b.createdAt) > maxNewAge {
		return
	}
	if !ok {
		b.limits = s.Limits
	}
	b.refilledAt, b.usedAt, b.movedAt, b.isNew = now, now, time.Time{}, false
	b.level = min(max(s.Level, -maxDebtSeconds*b.limits.Rate), b.limits.Burst)
	b.tolerated = min(s.Tolerated, b.limits.ToleratedBurst)
	b.spend(b.spent + b.owed)
	b.owed = 0
}

// chargeOwed charges what another limiter charged while the state of the bucket moved here. l.mu must be held.
func (l *Limiter) chargeOwed(now time.Time, s *State) {
	b, ok := l.buckets[s.Account]
	if !ok {
		b = l.bucketFor(now, s.Account, s.Limits)
	}
	if !b.movedAt.IsZero() && !b.usedAt.After(b.movedAt) {
		b.owed += s.Owed // the bucket has moved on
		return
	}
	b.refill(now)
	b.spend(s.Owed)
	b.spent += s.Owed
}
