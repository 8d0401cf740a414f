package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// freshness is how old a confirmed view may be for Fresh to hold.
	maxViewAge = 2 * time.Second
	// settleTime is how long after the last acknowledgement another holder may
	// still take itself for fresh: freshness, the error of two clocks, and slack.
	staleHolderTime = 2800 * time.Millisecond
	// leaseLife is how long a lease may be spent, on the lessee's clock from the ask.
	leaseTTL = 1500 * time.Millisecond
	// leaseHeld is how long the holder keeps its tokens apart, from the answer:
	// leaseLife and the error of two clocks.
	holderLeaseTTL = leaseTTL + leaseTTL/32
	// regeneration is how long after the last acknowledgement a gained slot
	// starts without a hand-over: no other holder grants, and its leases have ended.
	takeoverDelay = staleHolderTime + holderLeaseTTL
	// gapLimit is how long ago the instance may have been fresh when it misses
	// versions of the list, for no other to have regenerated its slots in one of
	// them: regeneration less twice the freshness and the error of two clocks.
	maxFreshGap = takeoverDelay - 2*(maxViewAge+maxViewAge/50) - maxViewReadTime
	// lookTime is how long a look at the view and its freshness may take and count.
	maxViewReadTime = 50 * time.Millisecond
	// epochsKept bounds the remembered views.
	maxEpochs = 16
)

// epoch is the time in which one view was in force here.
type viewEpoch struct {
	*placement
	// adopted is when it came into force.
	adoptedAt time.Time
	// ripe is when slots gained with it regenerate; zero while some member
	// hasn't acknowledged the view.
	activateAt time.Time
	// broken is set if others may have held this instance's slots between the
	// view before and this one.
	discontinuous bool
}

// history is what an instance remembers of the views that it has had.
type viewHistory struct {
	self   string
	epochs []viewEpoch
	// freshAt is when the view in force was last seen to be fresh.
	lastFreshAt time.Time
}

// current returns the epoch in force, or nil before the first view.
func (h *viewHistory) current() *viewEpoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return &h.epochs[len(h.epochs)-1]
}

// adopt puts v in force. It returns false if v isn't newer than the view in force.
func (h *viewHistory) adopt(v *figview.View, now time.Time) bool {
	discontinuous := false
	if c := h.current(); c != nil {
		if v.Version <= c.view.Version {
			return false
		}
		missed := v.Version > c.view.Version+1
		discontinuous = missed && now.Sub(h.lastFreshAt) > maxFreshGap
	}
	if len(h.epochs) == maxEpochs {
		h.epochs = append(h.epochs[:0], h.epochs[1:]...)
	}
	h.epochs = append(h.epochs, viewEpoch{placement: newPlacement(v), adoptedAt: now, discontinuous: discontinuous})
	return true
}

// poll notes which views all other members have acknowledged. The clock is read
// after each answer, so that a pause in between counts for nothing.
func (h *viewHistory) recordAcks(clock func() time.Time, acked func(version uint64) bool) {
	for i := range h.epochs {
		e := &h.epochs[i]
		if e.activateAt.IsZero() && acked(e.view.Version) {
			e.activateAt = clock().Add(takeoverDelay)
		}
	}
}

// run returns the epoch with which this instance gained the slot that it holds
// now, and nil if it doesn't hold it.
func (h *viewHistory) findGainEpoch(id slotID) *viewEpoch {
	start, ok := h.gainIndex(id, len(h.epochs)-1)
	if !ok {
		return nil
	}
	return &h.epochs[start]
}

// runStart returns the index of the first epoch of the unbroken run that ends
// with the epoch at index end.
func (h *viewHistory) gainIndex(id slotID, end int) (int, bool) {
	start := end + 1
	for start > 0 && h.epochs[start-1].holds(h.self, id) {
		start--
		if h.epochs[start].discontinuous {
			break
		}
	}
	return start, start <= end
}

// since returns the epoch of a version, or the oldest one if that is forgotten.
func (h *viewHistory) epochOfVersion(version uint64) *viewEpoch {
	for i := len(h.epochs) - 1; i > 0; i-- {
		if h.epochs[i].view.Version <= version {
			return &h.epochs[i]
		}
	}
	return &h.epochs[0]
}

// lost returns the epoch with which the last run of the slot began and when it
// ended. It returns nil if the slot is held now, or if others may have held it
// since.
func (h *viewHistory) lastHeld(id slotID) (*viewEpoch, time.Time) {
	for end := len(h.epochs) - 1; end > 0; end-- {
		if h.epochs[end].holds(h.self, id) {
			return nil, time.Time{}
		}
		if h.epochs[end].discontinuous {
			return nil, time.Time{}
		}
		if start, ok := h.gainIndex(id, end-1); ok {
			return &h.epochs[start], h.epochs[end].adoptedAt
		}
	}
	return nil, time.Time{}
}

// before returns the holder that the slot most likely had before this instance
// gained it with epoch e.
func (h *viewHistory) previousHolder(id slotID, e *viewEpoch) (figview.Member, bool) {
	for i := range h.epochs {
		if i > 0 && &h.epochs[i] == e && !e.discontinuous {
			return h.epochs[i-1].holder(id)
		}
	}
	return e.without(h.self).holder(id)
}
