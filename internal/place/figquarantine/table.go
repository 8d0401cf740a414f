package figquarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of servers that end on a part before it is quarantined. Those that take more than crowdRuns
	// runs with the part along count half.
	crashThreshold = 3
	crowdRuns      = 2
	// settleTime is how long unconfirmed evidence must suffice before a part is quarantined, so that answers
	// seen by other instances can clear it.
	settleTime = time.Second
	// maxSettleTime is how long confirmed evidence must suffice at most.
	maxSettleTime = 2 * time.Second
	// trustTime is how long after an answer on a part a crash doesn't count against it, unless it comes later in the run
	// than that answer lasted.
	trustTime = 10 * time.Second
	// outlastStep is how much longer than another one a run must last to count as longer.
	outlastStep = 500 * time.Millisecond
	// maxUnexplained is the largest fraction of the crashes on a part that more suspect parts may leave unexplained
	// where these are blamed instead.
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
	// exchangeAge is the age that evidence may have when it has reached all instances.
	exchangeAge = 2 * time.Second
	// maxNameBytes bounds the part of an id that is kept for operators.
	maxNameBytes = 32
)

// Table holds the evidence and derives from it which parts are quarantined. It is not safe for
// concurrent use.
type Table struct {
	records map[uint64]*record
	// answers holds the longest of the latest answers on each part that this instance has seen.
	answers map[uint64]answer
	// poolAnswered says when this instance last saw an answer of a pool.
	poolAnswered map[uint64]time.Time
	// changed holds the parts whose records have changed since TakeChanged.
	changed map[uint64]bool
	digest  uint64
}

// answer is an answer that was complete at a time, and had gone on for lasted.
type answer struct {
	at     time.Time
	lasted time.Duration
}

// NewTable returns a Table without evidence.
func NewTable() *Table {
	return &Table{
		records: map[uint64]*record{}, answers: map[uint64]answer{}, poolAnswered: map[uint64]time.Time{},
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

// RecordCrash counts the end of a server of a pool against the parts of a prompt that it had been answering for reached.
func (t *Table) RecordCrash(now time.Time, pool, lifetime string, parts []string, reached time.Duration) {
	crash, poolHash := hashOf(lifetime), hashOf(pool)
	loss := Loss{Reached: reached, Runs: 1 << rand.IntN(32)}
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
		isNew, changed := r.insertCrash(crash, loss)
		if changed {
			t.touch(r)
		}
		if !isNew {
			continue
		}
		r.crashedAt = now
		if lasted, ok := t.trusts(now, part); ok && reached <= lasted {
			r.clear(lasted)
		} else {
			r.Confirmed = r.Confirmed || poolAnswers
		}
	}
	t.derive(now)
}

// trusts reports whether this instance has seen an answer on the part lately, and how long it lasted.
func (t *Table) trusts(now time.Time, part uint64) (lasted time.Duration, ok bool) {
	a, known := t.answers[part]
	return a.lasted, known && now.Sub(a.at) < trustTime
}

// RecordAnswer notes that a server of a pool has answered a prompt with these parts in full, which lasted so long.
func (t *Table) RecordAnswer(now time.Time, pool string, parts []string, lasted time.Duration) {
	poolHash, changed := hashOf(pool), false
	t.poolAnswered[poolHash] = now
	for _, name := range parts {
		part := hashOf(name)
		t.noteAnswer(now, part, lasted)
		if r, ok := t.records[part]; ok && r.clear(lasted) {
			t.touch(r)
			changed = true
		}
	}
	t.RecordProgress(now, parts, lasted)
	for _, r := range t.records {
		if r.Pool != poolHash || r.Confirmed {
			continue
		}
		if _, trusted := t.trusts(now, r.Part); !trusted {
			r.Confirmed = true
			t.touch(r)
			changed = true
		}
	}
	if changed {
		t.derive(now)
	}
}

// RecordProgress notes that a prompt with these parts has been answered for so long.
func (t *Table) RecordProgress(now time.Time, parts []string, lasted time.Duration) {
	changed := false
	for _, name := range parts {
		part := hashOf(name)
		if r, ok := t.records[part]; ok && r.outlast(now, now, lasted) {
			t.touch(r)
			changed = true
		}
	}
	if changed {
		t.derive(now)
	}
}

// noteAnswer keeps an answer, unless there was a longer one lately. Beyond maxAnswered parts the old ones are dropped.
func (t *Table) noteAnswer(now time.Time, part uint64, lasted time.Duration) {
	if longest, ok := t.trusts(now, part); ok && longest > lasted {
		return
	}
	if _, known := t.answers[part]; !known && len(t.answers) >= maxAnswered {
		for p, a := range t.answers {
			if now.Sub(a.at) >= trustTime || len(t.answers) >= maxAnswered {
				delete(t.answers, p)
			}
		}
	}
	t.answers[part] = answer{now, lasted}
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
		if len(o.Crashes) == 0 || t.expired(now, crashedAt, len(o.Crashes)-len(o.Cleared)) {
			return false
		}
		if !t.deserves(len(o.Crashes), crashedAt) || !t.makeRoom(now) {
			return false
		}
		r = &record{
			Record:    Record{Part: o.Part, Name: shortName(o.Name), Depth: max(0, o.Depth), Pool: o.Pool},
			crashedAt: crashedAt,
		}
		t.records[o.Part] = r
	}
	changed := !known
	for i := range o.Crashes {
		isNew, differs := r.insertCrash(o.Crashes[i], o.loss(i))
		changed = changed || differs
		if isNew && crashedAt.After(r.crashedAt) {
			r.crashedAt = crashedAt
		}
	}
	for _, crash := range o.Cleared {
		if _, ok := slices.BinarySearch(r.Crashes, crash); ok && insert(&r.Cleared, crash) {
			changed = true
		}
	}
	if lasted, ok := t.trusts(now, o.Part); ok && r.clear(lasted) {
		changed = true
	}
	if o.Outlasted > 0 && r.outlast(now, now.Add(-max(0, o.OutlastedAge)), o.Outlasted) {
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
		t.touch(r)
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

// touch notes that a record has changed.
func (t *Table) touch(r *record) {
	t.changed[r.Part] = true
	r.isHashed = false
}

// derive decides anew which parts are quarantined, and updates the digest.
func (t *Table) derive(now time.Time) {
	sufficient := t.blame(now)
	t.digest = 0
	for _, r := range t.records {
		if !r.isHashed {
			r.hashed, r.isHashed = r.hash(), true
		}
		t.digest += r.hashed
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

// lessThan orders records by their crashes, then by age.
func (r *record) lessThan(o *record) bool {
	return cmp.Or(cmp.Compare(len(r.Crashes), len(o.Crashes)), r.crashedAt.Compare(o.crashedAt)) < 0
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

// least returns the record that goes first where there is no room; nil if all parts are quarantined.
func (t *Table) least() *record {
	var least *record
	for _, r := range t.records {
		if r.sufficientSince.IsZero() && (least == nil || r.lessThan(least)) {
			least = r
		}
	}
	return least
}

// deserves reports whether a record of another instance may take the place of the least one where there is no room. Records
// of about the same time may not: full tables with different ones would replace them in each other without end.
func (t *Table) deserves(crashes int, crashedAt time.Time) bool {
	if len(t.records) < maxRecords {
		return true
	}
	least := t.least()
	return least != nil && (crashes > len(least.Crashes) ||
		crashes == len(least.Crashes) && crashedAt.Sub(least.crashedAt) > exchangeAge)
}

// makeRoom makes sure that a record can be added. It drops the one with the fewest crashes, the oldest one of several, unless
// its part is quarantined; without one it returns false.
func (t *Table) makeRoom(now time.Time) bool {
	if len(t.records) < maxRecords {
		return true
	}
	least := t.least()
	if least == nil {
		return false
	}
	delete(t.records, least.Part)
	delete(t.changed, least.Part)
	t.derive(now)
	return true
}
