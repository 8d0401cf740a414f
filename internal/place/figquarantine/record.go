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
	// SufficientAge is how long the evidence has sufficed for a quarantine at the sender; 0 if it doesn't.
	SufficientAge time.Duration `cbor:"11,keyasint,omitempty"`
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

// at returns a copy of the record with its age.
func (r *record) at(now time.Time) Record {
	c := r.Record
	c.Crashes, c.Cleared, c.Age = slices.Clone(r.Crashes), slices.Clone(r.Cleared), now.Sub(r.crashedAt)
	if r.Trials > 0 {
		c.TrialAge = now.Sub(r.triedAt)
	}
	if !r.sufficientSince.IsZero() {
		c.SufficientAge = now.Sub(r.sufficientSince)
	}
	return c
}
