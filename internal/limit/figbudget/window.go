package figbudget

import "time"

// replayWindowSize is the number of most recent sequence numbers in which duplicates are detected.
const replayWindowSize = 64

// replayWindow detects duplicate messages of one sender. Messages that are older than the window
// count as duplicates.
type replayWindow struct {
	incarnation     uint64
	highestSequence uint64
	seenBits        uint64
	lastUsed        time.Time
}

// isNew says whether the message was not seen before, and records it. Messages of an incarnation
// older than the latest one seen are not new.
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
