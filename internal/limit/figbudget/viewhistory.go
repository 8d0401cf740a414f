package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// maxViewAge is how long ago a view may have been confirmed as the latest for Options.Fresh to
	// return true.
	maxViewAge = 2 * time.Second
	// staleHolderTime is how long after the last acknowledgement of a view the former holder of a
	// slot may still consider its older view fresh and grant leases: maxViewAge, the error of two
	// clocks, and slack.
	staleHolderTime = 2800 * time.Millisecond
	// leaseTTL is how long a lease may be spent, on the lessee's clock and from its request.
	leaseTTL = 1500 * time.Millisecond
	// holderLeaseTTL is how long the holder reserves the tokens of a lease, on its own clock and
	// from its answer: leaseTTL and the error of two clocks.
	holderLeaseTTL = leaseTTL + leaseTTL/32
	// takeoverDelay is how long after the last acknowledgement of a view a slot that was gained
	// with it starts empty without a transfer: by then no former holder grants leases from the
	// slot, and all leases that one granted have expired.
	takeoverDelay = staleHolderTime + holderLeaseTTL
	// maxFreshGap is how long ago the view may last have been fresh when this instance skips
	// versions of the list and still keeps its slots. In a shorter time no other instance can have
	// gained and activated them under a skipped version: takeoverDelay less twice maxViewAge, the
	// error of two clocks and maxViewReadTime.
	maxFreshGap = takeoverDelay - 2*(maxViewAge+maxViewAge/50) - maxViewReadTime
	// maxViewReadTime is how long reading the view and its freshness may take. If it takes longer,
	// the view counts as not fresh.
	maxViewReadTime = 50 * time.Millisecond
	// maxEpochs bounds the views in a viewHistory.
	maxEpochs = 16
)

// viewEpoch is the period in which one view was the current one of this instance.
type viewEpoch struct {
	*placement
	// adoptedAt is when the view became the current one.
	adoptedAt time.Time
	// activateAt is when slots gained with this view become active without a transfer; zero until
	// all other members have acknowledged the view.
	activateAt time.Time
	// discontinuous is set if other instances may have held this instance's slots between the
	// previous view and this one.
	discontinuous bool
}

// viewHistory holds the current view of this instance and earlier ones, oldest first.
type viewHistory struct {
	self   string
	epochs []viewEpoch
	// lastFreshAt is when the current view was last seen to be fresh.
	lastFreshAt time.Time
}

// current returns the current epoch, or nil before the first view.
func (h *viewHistory) current() *viewEpoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return &h.epochs[len(h.epochs)-1]
}

// adopt makes v the current view. It returns false and changes nothing if v isn't newer.
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

// recordAcks sets the activation time of views that all other members have acknowledged. It reads
// the clock after each check, so that a pause of the process during the check can't date an
// acknowledgement too early.
func (h *viewHistory) recordAcks(clock func() time.Time, acked func(version uint64) bool) {
	for i := range h.epochs {
		e := &h.epochs[i]
		if e.activateAt.IsZero() && acked(e.view.Version) {
			e.activateAt = clock().Add(takeoverDelay)
		}
	}
}

// findGainEpoch returns the epoch in which this instance gained the slot that it holds now, or nil
// if it doesn't hold the slot.
func (h *viewHistory) findGainEpoch(id slotID) *viewEpoch {
	start, ok := h.gainIndex(id, len(h.epochs)-1)
	if !ok {
		return nil
	}
	return &h.epochs[start]
}

// gainIndex returns the index of the epoch in which this instance gained the slot that it holds in
// the epoch at index end. It returns false if this instance doesn't hold the slot in that epoch. A
// discontinuous epoch counts as a new gain.
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

// epochOfVersion returns the epoch of a version of the view, or the oldest epoch if that version is
// no longer in the history.
func (h *viewHistory) epochOfVersion(version uint64) *viewEpoch {
	for i := len(h.epochs) - 1; i > 0; i-- {
		if h.epochs[i].view.Version <= version {
			return &h.epochs[i]
		}
	}
	return &h.epochs[0]
}

// lastHeld returns the epoch in which this instance last gained a slot that it has since lost, and
// when it lost the slot. It returns nil if it holds the slot now, if it held the slot in no epoch
// of the history, or if a discontinuous epoch came since.
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

// previousHolder returns the instance that most likely held the slot before this instance gained it
// in epoch e: the holder in the epoch before, or, if that one is unknown or e is discontinuous, the
// holder under e's view without this instance.
func (h *viewHistory) previousHolder(id slotID, e *viewEpoch) (figview.Member, bool) {
	for i := range h.epochs {
		if i > 0 && &h.epochs[i] == e && !e.discontinuous {
			return h.epochs[i-1].holder(id)
		}
	}
	return e.without(h.self).holder(id)
}
