package figquarantine

import (
	"encoding/binary"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Record is the evidence against one prompt part.
type Record struct {
	// Part identifies the part, and Name is its id for operators, shortened to maxNameBytes.
	Part uint64 `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	// Depth is the number of parts before it in the prompt.
	Depth int `cbor:"3,keyasint,omitempty"`
	// Crashes identifies the lifetimes of servers that ended on the part, and Cleared those of them
	// that a run on the part has cleared; see Loss.Survived. Both are sorted.
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
	// SufficientAge is how long the evidence has sufficed for a quarantine at the sender; 0 if it doesn't.
	SufficientAge time.Duration `cbor:"11,keyasint,omitempty"`
	// Losses says of each of Crashes which runs it ended.
	Losses []Loss `cbor:"12,keyasint,omitempty"`
	// Outlasted is for how long a run with the part that went on had been answered at some instance, and OutlastedAge the
	// time since then.
	Outlasted    time.Duration `cbor:"13,keyasint,omitempty"`
	OutlastedAge time.Duration `cbor:"14,keyasint,omitempty"`
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
	// outlastedAt is when a run had gone on for Outlasted.
	outlastedAt time.Time
	// cleared is the number of crashes that are cleared, and lost that of lost runs, when blame last looked at them.
	cleared, lost int
	// hashed is the hash if isHashed is set.
	hashed   uint64
	isHashed bool
}

// insertCrash adds what is known of a crash. It returns whether the crash was not known, and whether anything has changed.
func (r *record) insertCrash(crash uint64, l Loss) (isNew, changed bool) {
	i, found := slices.BinarySearch(r.Crashes, crash)
	if found {
		before := r.Losses[i]
		r.Losses[i] = before.with(l)
		return false, r.Losses[i] != before
	}
	if !insert(&r.Crashes, crash) {
		return false, false
	}
	r.Losses = slices.Insert(r.Losses, i, l)[:len(r.Crashes)]
	return true, true
}

// clear clears the record of the crashes that came no later in their runs than a run with the part lasted that was answered
// in full. It returns false if there are none.
func (r *record) clear(lasted time.Duration) bool {
	cleared := false
	for i, crash := range r.Crashes {
		l := &r.Losses[i]
		if l.Reached <= lasted && !r.isCleared(i) {
			l.Survived = max(l.Survived, lasted)
			insert(&r.Cleared, crash)
			cleared = true
		}
	}
	return cleared
}

// isCleared reports whether one of the crashes is cleared. It isn't any longer if an older run turns out to have ended in it.
func (r *record) isCleared(i int) bool {
	_, cleared := slices.BinarySearch(r.Cleared, r.Crashes[i])
	return cleared && r.Losses[i].Survived >= r.Losses[i].Reached
}

// hasCleared reports whether any crash is cleared.
func (r *record) hasCleared() bool { return len(r.open()) < len(r.Crashes) }

// outlast notes a run that has gone on for so long at a time. It returns false if that is no news.
func (r *record) outlast(now, at time.Time, lasted time.Duration) bool {
	if now.Sub(r.outlastedAt) < trustTime && lasted < r.Outlasted+outlastStep || now.Sub(at) >= trustTime {
		return false
	}
	r.Outlasted, r.outlastedAt = lasted, at
	return true
}

// isOutlasted reports whether a run went on lately for longer than any run that an open crash ended. If it ends in a crash
// later, that crash isn't outlasted, so that it proves nothing.
func (r *record) isOutlasted(now time.Time) bool {
	if now.Sub(r.outlastedAt) >= trustTime {
		return false
	}
	for i, l := range r.Losses {
		if !r.isCleared(i) && l.Reached+outlastStep > r.Outlasted {
			return false
		}
	}
	return true
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

// open returns the crashes of a record that are not cleared.
func (r *record) open() []uint64 {
	open := make([]uint64, 0, len(r.Crashes))
	for i, crash := range r.Crashes {
		if !r.isCleared(i) {
			open = append(open, crash)
		}
	}
	return open
}

// hash returns the record's part of the digest.
func (r *record) hash() uint64 {
	b := binary.LittleEndian.AppendUint64(nil, r.Part)
	for _, crash := range r.Crashes {
		b = binary.LittleEndian.AppendUint64(b, crash)
	}
	for _, crash := range r.Cleared {
		b = binary.LittleEndian.AppendUint64(b, crash+1)
	}
	for i := range r.Crashes {
		l := &r.Losses[i]
		b = binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(b, uint64(l.Reached)), uint64(l.Survived))
		b = binary.LittleEndian.AppendUint32(b, l.Runs)
	}
	b = strconv.AppendBool(b, r.Confirmed)
	b = strconv.AppendInt(b, int64(r.Trials), 10)
	return xxhash.Sum64(b)
}

// at returns a copy of the record with its age.
func (r *record) at(now time.Time) Record {
	c := r.Record
	c.Crashes, c.Cleared, c.Age = slices.Clone(r.Crashes), slices.Clone(r.Cleared), now.Sub(r.crashedAt)
	c.Losses = slices.Clone(r.Losses)
	if r.Outlasted > 0 {
		c.OutlastedAge = now.Sub(r.outlastedAt)
	}
	if r.Trials > 0 {
		c.TrialAge = now.Sub(r.triedAt)
	}
	if !r.sufficientSince.IsZero() {
		c.SufficientAge = now.Sub(r.sufficientSince)
	}
	return c
}
