package figquarantine

import (
	"math/bits"
	"slices"
	"time"
)

// Loss says which runs with a part the end of a server ended.
type Loss struct {
	// Reached is for how long the oldest of them had been answered.
	Reached time.Duration `cbor:"1,keyasint"`
	// Survived is how long a run with the part lasted that cleared the crash.
	Survived time.Duration `cbor:"2,keyasint,omitempty"`
	// Runs has about as many bits set as there were runs: each sets one that is drawn.
	Runs uint32 `cbor:"3,keyasint"`
}

// with returns what both say of a loss.
func (l Loss) with(o Loss) Loss {
	return Loss{Reached: max(l.Reached, o.Reached), Survived: max(l.Survived, o.Survived), Runs: l.Runs | o.Runs}
}

// isCrowd reports whether many runs were lost.
func (l Loss) isCrowd() bool { return bits.OnesCount32(l.Runs) > crowdRuns }

// loss returns what a record says of one of its crashes. Instances of earlier releases send nothing.
func (r *Record) loss(i int) Loss {
	if i < len(r.Losses) {
		return r.Losses[i]
	}
	return Loss{Runs: 1}
}

// lossIn returns what the record says of one of its crashes.
func (r *record) lossIn(crash uint64) Loss {
	i, _ := slices.BinarySearch(r.Crashes, crash)
	return r.Losses[i]
}

// lostRuns returns about how many runs with the part were lost in its crashes.
func (r *record) lostRuns() int {
	n := 0
	for _, l := range r.Losses {
		n += bits.OnesCount32(l.Runs)
	}
	return n
}
