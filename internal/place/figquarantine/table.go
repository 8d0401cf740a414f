package figquarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of servers that end on a part before it is quarantined.
	crashThreshold = 3
	// settleTime is how long unconfirmed evidence must suffice before a part is quarantined, so that answers
	// seen by other instances can clear it.
	settleTime = time.Second
	// trustTime is how long after an answer on a part a crash doesn't count against it.
	trustTime = 10 * time.Second
	// maxUnexplained is the largest fraction of the crashes on a part that parts after it in the prompt
	// may leave unexplained where these are blamed instead.
	maxUnexplained = 0.25
	// trialDelay is the time until a prompt with a quarantined part is tried while the evidence isn't
	// confirmed, and confirmedTrialDelay the time if it is. Both grow by trialFactor with each trial.
	trialDelay          = 10 * time.Second
	confirmedTrialDelay = 10 * time.Minute
	trialFactor         = 6
	// maxTrialSteps bounds the growth of the delay.
	maxTrialSteps = 8
	// quarantineTime is how long a part is quarantined after the last crash, and memoryTime how long it is
	// quarantined again by a single crash.
	quarantineTime = time.Hour
	memoryTime     = 24 * time.Hour
	// evidenceTime is how long crashes count that don't suffice for a quarantine.
	evidenceTime = 10 * time.Minute
	// maxRecords bounds the parts with evidence, maxCrashes the crashes of a part, and maxAnswered the
	// parts whose last answer is known.
	maxRecords  = 128
	maxCrashes  = 32
	maxAnswered = 4096
	// maxNameBytes bounds the part of an id that is kept for operators.
	maxNameBytes = 32
)

// Table holds the evidence and derives from it which parts are quarantined. It is not safe for
// concurrent use.
type Table struct {
	records map[uint64]*record
	// answered says when this instance last saw an answer on a part.
	answered map[uint64]time.Time
	// poolAnswered says when this instance last saw an answer of a pool.
	poolAnswered map[uint64]time.Time
	// changed holds the parts whose records have changed since TakeChanged.
	changed map[uint64]bool
	digest  uint64
}

// NewTable returns a Table without evidence.
func NewTable() *Table {
	return &Table{
		records: map[uint64]*record{}, answered: map[uint64]time.Time{}, poolAnswered: map[uint64]time.Time{},
		changed: map[uint64]bool{},
	}
}

// hashOf returns the identity of a part, a pool or a lifetime.
func hashOf(name string) uint64 { return xxhash.Sum64String(name) }

// shortName returns the part of an id that is kept for operators. It is valid UTF-8: other instances can't decode a
// message with other bytes.
func shortName(name string) string {
	return strings.ToValidUTF8(name[:min(len(name), maxNameBytes)], "")
}

// RecordCrash counts the end of a server of a pool against the parts of a prompt that it began to answer.
func (t *Table) RecordCrash(now time.Time, pool, lifetime string, parts []string) {
	crash, poolHash := hashOf(lifetime), hashOf(pool)
	poolAnswers := now.Sub(t.poolAnswered[poolHash]) < trustTime
	for depth, name := range parts {
		part := hashOf(name)
		r, known := t.records[part]
		if !known {
			if !t.makeRoom(now) {
				return
			}
			r = &record{Record: Record{Part: part, Name: shortName(name), Depth: depth, Pool: poolHash}}
			t.records[part] = r
		}
		if !insert(&r.Crashes, crash) {
			continue
		}
		r.crashedAt = now
		if t.trusts(now, part) {
			insert(&r.Cleared, crash)
		} else {
			r.Confirmed = r.Confirmed || poolAnswers
		}
		t.changed[part] = true
	}
	t.derive(now)
}

// trusts reports whether this instance has seen an answer on the part lately.
func (t *Table) trusts(now time.Time, part uint64) bool { return now.Sub(t.answered[part]) < trustTime }

// RecordAnswer notes that a server of a pool has answered a prompt with these parts.
func (t *Table) RecordAnswer(now time.Time, pool string, parts []string) {
	poolHash, changed := hashOf(pool), false
	t.poolAnswered[poolHash] = now
	for _, name := range parts {
		part := hashOf(name)
		t.noteAnswer(now, part)
		if r, ok := t.records[part]; ok {
			changed = t.clear(r) || changed
		}
	}
	for _, r := range t.records {
		if r.Pool == poolHash && !r.Confirmed && !t.trusts(now, r.Part) {
			r.Confirmed = true
			t.changed[r.Part] = true
			changed = true
		}
	}
	if changed {
		t.derive(now)
	}
}

// noteAnswer keeps the time of an answer. Beyond maxAnswered parts the old times are dropped.
func (t *Table) noteAnswer(now time.Time, part uint64) {
	if _, known := t.answered[part]; !known && len(t.answered) >= maxAnswered {
		for p, at := range t.answered {
			if now.Sub(at) >= trustTime || len(t.answered) >= maxAnswered {
				delete(t.answered, p)
			}
		}
	}
	t.answered[part] = now
}

// clear clears a record of its crashes. It returns false if none is left to clear.
func (t *Table) clear(r *record) bool {
	if len(r.open()) == 0 {
		return false
	}
	r.Cleared = slices.Clone(r.Crashes)
	t.changed[r.Part] = true
	return true
}

// Merge adds the evidence of another instance.
func (t *Table) Merge(now time.Time, all []Record) {
	merged := false
	for i := range all {
		if t.mergeOne(now, &all[i]) {
			merged = true
		}
	}
	if merged {
		t.derive(now)
	}
}

// mergeOne adds a record of another instance. It returns false if that holds nothing new.
func (t *Table) mergeOne(now time.Time, o *Record) bool {
	crashedAt := now.Add(-max(0, o.Age))
	r, known := t.records[o.Part]
	if !known {
		if len(o.Crashes) == 0 || t.expired(now, crashedAt, len(o.Crashes)-len(o.Cleared)) || !t.makeRoom(now) {
			return false
		}
		r = &record{
			Record:    Record{Part: o.Part, Name: shortName(o.Name), Depth: max(0, o.Depth), Pool: o.Pool},
			crashedAt: crashedAt,
		}
		t.records[o.Part] = r
	}
	changed := !known
	for _, crash := range o.Crashes {
		if insert(&r.Crashes, crash) {
			changed = true
			if crashedAt.After(r.crashedAt) {
				r.crashedAt = crashedAt
			}
		}
	}
	for _, crash := range o.Cleared {
		if _, ok := slices.BinarySearch(r.Crashes, crash); ok && insert(&r.Cleared, crash) {
			changed = true
		}
	}
	if t.trusts(now, o.Part) && t.clear(r) {
		changed = true
	}
	if o.Confirmed && !r.Confirmed {
		r.Confirmed = true
		changed = true
	}
	if o.Trials > r.Trials {
		r.Trials, r.triedAt = o.Trials, now.Add(-max(0, o.TrialAge))
		changed = true
	}
	if changed {
		t.changed[o.Part] = true
		if o.SufficientAge > 0 {
			// Evidence settles once for all instances; derive resets this where it doesn't suffice.
			r.sufficientSince = earlier(r.sufficientSince, now.Add(-o.SufficientAge))
		}
	}
	return changed
}

// earlier returns the earlier of two times, of which the first may be zero for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// derive decides anew which parts are quarantined, and updates the digest.
func (t *Table) derive(now time.Time) {
	sufficient := t.blame(now)
	t.digest = 0
	for _, r := range t.records {
		t.digest += r.hash()
		switch {
		case !sufficient[r]:
			r.sufficientSince = time.Time{}
		case r.sufficientSince.IsZero():
			r.sufficientSince = now
		}
	}
}

// Quarantined returns the names of the quarantined parts, sorted.
func (t *Table) Quarantined(now time.Time) []string {
	names := []string{}
	for _, r := range t.records {
		if !r.quarantinedUntil(now).IsZero() {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Len returns the number of parts with evidence.
func (t *Table) Len() int { return len(t.records) }

// Digest returns a number that is the same for instances with the same evidence.
func (t *Table) Digest() uint64 { return t.digest }

// Records returns all evidence.
func (t *Table) Records(now time.Time) []Record {
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r.at(now))
	}
	return all
}

// TakeChanged returns the records that have changed since its last call.
func (t *Table) TakeChanged(now time.Time) []Record {
	all := make([]Record, 0, len(t.changed))
	for part := range t.changed {
		if r, ok := t.records[part]; ok {
			all = append(all, r.at(now))
		}
	}
	clear(t.changed)
	return all
}

// expired reports whether evidence of this many crashes is to be forgotten.
func (t *Table) expired(now, crashedAt time.Time, crashes int) bool {
	age := now.Sub(crashedAt)
	return age >= memoryTime || age >= evidenceTime && crashes < crashThreshold
}

// RemoveExpired forgets old evidence and ends quarantines.
func (t *Table) RemoveExpired(now time.Time) {
	for part, r := range t.records {
		if t.expired(now, r.crashedAt, len(r.open())) {
			delete(t.records, part)
		}
	}
	t.derive(now)
}

// makeRoom makes sure that a record can be added. It drops the oldest record of a part that is not
// quarantined; without one it returns false.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.records) < maxRecords {
		return true
	}
	var oldest *record
	for _, r := range t.records {
		if r.sufficientSince.IsZero() && (oldest == nil || r.crashedAt.Before(oldest.crashedAt)) {
			oldest = r
		}
	}
	if oldest == nil {
		return false
	}
	delete(t.records, oldest.Part)
	delete(t.changed, oldest.Part)
	t.derive(now)
	return true
}
