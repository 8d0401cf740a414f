package figbudget

import "time"

// windowSize is how many messages a late one may be behind and still count.
const replayWindowSize = 64

// window tells messages seen before from new ones. Messages too old to tell
// count as seen.
type replayWindow struct {
	incarnation     uint64
	highestSequence uint64
	seenBits        uint64
	lastUsed        time.Time
}

// fresh says whether the message is new, and remembers it. An older incarnation
// than the one seen last is not new.
func (w *replayWindow) isNew(incarnation, sequence uint64, now time.Time) bool {
	w.lastUsed = now
	if incarnation != w.incarnation {
		if incarnation < w.incarnation {
			return false
		}
		*w = replayWindow{incarnation: incarnation, lastUsed: now}
	}
	if sequence > w.highestSequence {
		w.seenBits <<= min(sequence-w.highestSequence, replayWindowSize)
		w.seenBits |= 1
		w.highestSequence = sequence
		return true
	}
	behind := w.highestSequence - sequence
	if behind >= replayWindowSize || w.seenBits&(1<<behind) != 0 {
		return false
	}
	w.seenBits |= 1 << behind
	return true
}
