package figquarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashThreshold is the number of servers that end on a part before it is quarantined.
	crashThreshold = 3
	// settleTime is how long unconfirmed evidence must suffice before a part is quarantined, so that answers
	// seen by other instances can clear it.
	settleTime = 300 * time.Millisecond
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

// Record is the evidence against one prompt part.
type Record struct {
	// Part identifies the part, and Name is its id for operators, shortened to maxNameBytes.
	Part uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	// Depth is the number of parts before it in the prompt.
	Depth int `cbor:"3,keyasint,omitempty"`
	// Crashes identifies the lifetimes of servers that ended on the part, and Cleared those of them
	// that were followed by an answer on the part. Both are sorted.
	Crashes []uint64 `cbor:"4,keyasint"`
	Cleared []uint64 `cbor:"5,keyasint,omitempty"`
	// Age is the time since the last crash.
	Age time.Duration `cbor:"6,keyasint"`
	// Pool identifies the pool whose servers ended.
	Pool uint64 `cbor:"7,keyasint"`
	// Confirmed says that servers of the pool have answered prompts without the part meanwhile.
	Confirmed bool `cbor:"8,keyasint,omitempty"`
	// Trials is how often prompts with the part were tried during the quarantine, and TrialAge the time since
	// the last trial.
	Trials   int           `cbor:"9,keyasint,omitempty"`
	TrialAge time.Duration `cbor:"10,keyasint,omitempty"`
}

// record is a Record with what this instance adds to it.
type record struct {
	Record

	// crashedAt is when the last crash was.
	crashedAt time.Time
	// sufficientSince is since when the evidence has sufficed for a quarantine; zero if it doesn't.
	sufficientSince time.Time
	// triedAt is when the last trial was.
	triedAt time.Time
}

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
			r = &record{Record: Record{Part: part, Name: name[:min(len(name), maxNameBytes)], Depth: depth, Pool: poolHash}}
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
			Record:    Record{Part: o.Part, Name: o.Name[:min(len(o.Name), maxNameBytes)], Depth: max(0, o.Depth), Pool: o.Pool},
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
	}
	return changed
}

// insert adds a value to a sorted list of at most maxCrashes values, of which the largest are dropped. It
// returns false if that changes nothing.
func insert(list *[]uint64, value uint64) bool {
	i, found := slices.BinarySearch(*list, value)
	if found || i >= maxCrashes {
		return false
	}
	*list = slices.Insert(*list, i, value)
	if len(*list) > maxCrashes {
		*list = (*list)[:maxCrashes]
	}
	return true
}

// open returns the crashes of a record that no answer has followed.
func (r *record) open() []uint64 {
	return slices.DeleteFunc(slices.Clone(r.Crashes), func(crash uint64) bool {
		_, cleared := slices.BinarySearch(r.Cleared, crash)
		return cleared
	})
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

// blame returns the records that explain the crashes best: the one with the most crashes first, then
// the one with the most crashes that this doesn't explain, as long as these suffice. A part is passed over
// if parts after it explain its crashes, because prompts of many kinds begin alike.
func (t *Table) blame(now time.Time) map[*record]bool {
	open := make(map[*record][]uint64, len(t.records))
	for _, r := range t.records {
		if crashes := r.open(); len(crashes) >= crashThreshold && now.Sub(r.crashedAt) < quarantineTime {
			open[r] = crashes
		}
	}
	blamed := map[*record]bool{}
	for len(open) > 0 {
		var worst *record
		for r, crashes := range open {
			if worst == nil || r.worseThan(worst, len(crashes), len(open[worst])) {
				worst = r
			}
		}
		explained := open[worst]
		delete(open, worst)
		if explainedAfter(worst, explained, open) {
			continue
		}
		blamed[worst] = true
		for r, crashes := range open {
			open[r] = slices.DeleteFunc(crashes, func(crash uint64) bool { return slices.Contains(explained, crash) })
			if len(open[r]) < crashThreshold {
				delete(open, r)
			}
		}
	}
	return blamed
}

// explainedAfter reports whether parts that come after that of r in prompts explain its crashes.
func explainedAfter(r *record, crashes []uint64, open map[*record][]uint64) bool {
	unexplained := 0
	for _, crash := range crashes {
		found := false
		for o, others := range open {
			found = found || o.Depth > r.Depth && slices.Contains(others, crash)
		}
		if !found {
			unexplained++
		}
	}
	return float64(unexplained) <= maxUnexplained*float64(len(crashes))
}

// worseThan orders records by their crashes, then by their depth. The identity makes the order the same
// at all instances.
func (r *record) worseThan(o *record, crashes, otherCrashes int) bool {
	return cmp.Or(cmp.Compare(crashes, otherCrashes), cmp.Compare(r.Depth, o.Depth), cmp.Compare(r.Part, o.Part)) > 0
}

// quarantinedUntil returns when the quarantine of the record's part ends; zero if there is none.
func (r *record) quarantinedUntil(now time.Time) time.Time {
	until := r.crashedAt.Add(quarantineTime)
	settled := r.Confirmed || now.Sub(r.sufficientSince) >= settleTime
	if r.sufficientSince.IsZero() || !settled || !now.Before(until) {
		return time.Time{}
	}
	return until
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
	t.changed[r.Part] = true
	t.derive(now)
	return true
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

// hash returns the record's part of the digest.
func (r *record) hash() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, r.Part)
	for _, crash := range r.Crashes {
		b = binary.LittleEndian.AppendUint64(b, crash)
	}
	for _, crash := range r.Cleared {
		b = binary.LittleEndian.AppendUint64(b, crash+1)
	}
	b = strconv.AppendBool(b, r.Confirmed)
	b = strconv.AppendInt(b, int64(r.Trials), 10)
	return xxhash.Sum64(b)
}

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

// at returns a copy of the record with its age.
func (r *record) at(now time.Time) Record {
	c := r.Record
	c.Crashes, c.Cleared, c.Age = slices.Clone(r.Crashes), slices.Clone(r.Cleared), now.Sub(r.crashedAt)
	if r.Trials > 0 {
		c.TrialAge = now.Sub(r.triedAt)
	}
	return c
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
