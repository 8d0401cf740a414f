package figbudget

import "time"

// windowSize is how many messages a late one may be behind and still count.
const windowSize = 64

// window tells messages seen before from new ones. Messages too old to tell
// count as seen.
type window struct {
	incarnation uint64
	highest     uint64
	seen        uint64
	used        time.Time
}

// fresh says whether the message is new, and remembers it. An older incarnation
// than the one seen last is not new.
func (w *window) fresh(incarnation, sequence uint64, now time.Time) bool {
	w.used = now
	if incarnation != w.incarnation {
		if incarnation < w.incarnation {
			return false
		}
		*w = window{incarnation: incarnation, used: now}
	}
	if sequence > w.highest {
		w.seen <<= min(sequence-w.highest, windowSize)
		w.seen |= 1
		w.highest = sequence
		return true
	}
	behind := w.highest - sequence
	if behind >= windowSize || w.seen&(1<<behind) != 0 {
		return false
	}
	w.seen |= 1 << behind
	return true
}
