package figmemory

import "time"

// Phase says what a holder does at the moment.
type Phase uint32

// Phases of a holder.
const (
	// Idle means that the holder waits for the first byte of a request.
	Idle Phase = iota
	// Receiving means that a request is being read from the holder.
	Receiving
	// Running means that the holder waits for its answer. Such a holder is never evicted.
	Running
	// Sending means that an answer is being written to the holder.
	Sending
)

// candidate is a holder that may be evicted.
type candidate struct {
	holding    *Holding
	phase      Phase
	bytes      int64
	progressAt time.Time
	evicted    bool
}

// chooseIdle returns the candidate that has been idle for longest, and for at least the stall time; nil if there is none.
func chooseIdle(all []*candidate, now time.Time, stall time.Duration) *candidate {
	var chosen *candidate
	for _, c := range all {
		if c.evicted || c.phase != Idle || now.Sub(c.progressAt) < stall {
			continue
		}
		if chosen == nil || c.progressAt.Before(chosen.progressAt) {
			chosen = c
		}
	}
	return chosen
}

// chooseHolder returns the candidate with the largest product of bytes and time without progress, of those that have made
// none for the stall time; nil if there is none.
func chooseHolder(all []*candidate, now time.Time, stall time.Duration) *candidate {
	var chosen *candidate
	most := 0.0
	for _, c := range all {
		idle := now.Sub(c.progressAt)
		if c.evicted || c.phase == Running || idle < stall || c.bytes == 0 {
			continue
		}
		if weight := float64(c.bytes) * idle.Seconds(); weight > most {
			chosen, most = c, weight
		}
	}
	return chosen
}
