package figbudget

import (
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// freshness is how old a confirmed view may be for Fresh to hold.
	freshness = 2 * time.Second
	// settleTime is how long after the last acknowledgement another holder may
	// still take itself for fresh: freshness, the error of two clocks, and slack.
	settleTime = 2800 * time.Millisecond
	// leaseLife is how long a lease may be spent, on the lessee's clock from the ask.
	leaseLife = 1500 * time.Millisecond
	// leaseHeld is how long the holder keeps its tokens apart, from the answer:
	// leaseLife and the error of two clocks.
	leaseHeld = leaseLife + leaseLife/32
	// regeneration is how long after the last acknowledgement a gained slot
	// starts without a hand-over: no other holder grants, and its leases have ended.
	regeneration = settleTime + leaseHeld
	// gapLimit is how long ago the instance may have been fresh when it misses
	// versions of the list, for no other to have regenerated its slots in one of
	// them: regeneration less twice the freshness and the error of two clocks.
	gapLimit = regeneration - 2*(freshness+freshness/50) - lookTime
	// lookTime is how long a look at the view and its freshness may take and count.
	lookTime = 50 * time.Millisecond
	// epochsKept bounds the remembered views.
	epochsKept = 16
)

// epoch is the time in which one view was in force here.
type epoch struct {
	*placement
	// adopted is when it came into force.
	adopted time.Time
	// ripe is when slots gained with it regenerate; zero while some member
	// hasn't acknowledged the view.
	ripe time.Time
	// broken is set if others may have held this instance's slots between the
	// view before and this one.
	broken bool
}

// history is what an instance remembers of the views that it has had.
type history struct {
	self   string
	epochs []epoch
	// freshAt is when the view in force was last seen to be fresh.
	freshAt time.Time
}

// current returns the epoch in force, or nil before the first view.
func (h *history) current() *epoch {
	if len(h.epochs) == 0 {
		return nil
	}
	return &h.epochs[len(h.epochs)-1]
}

// adopt puts v in force. It returns false if v isn't newer than the view in force.
func (h *history) adopt(v *figview.View, now time.Time) bool {
	broken := false
	if c := h.current(); c != nil {
		if v.Version <= c.view.Version {
			return false
		}
		missed := v.Version > c.view.Version+1
		broken = missed && now.Sub(h.freshAt) > gapLimit
	}
	if len(h.epochs) == epochsKept {
		h.epochs = append(h.epochs[:0], h.epochs[1:]...)
	}
	h.epochs = append(h.epochs, epoch{placement: newPlacement(v), adopted: now, broken: broken})
	return true
}

// poll notes which views all other members have acknowledged. The clock is read
// after each answer, so that a pause in between counts for nothing.
func (h *history) poll(clock func() time.Time, acked func(version uint64) bool) {
	for i := range h.epochs {
		e := &h.epochs[i]
		if e.ripe.IsZero() && acked(e.view.Version) {
			e.ripe = clock().Add(regeneration)
		}
	}
}

// run returns the epoch with which this instance gained the slot that it holds
// now, and nil if it doesn't hold it.
func (h *history) run(id slotID) *epoch {
	start, ok := h.runStart(id, len(h.epochs)-1)
	if !ok {
		return nil
	}
	return &h.epochs[start]
}

// runStart returns the index of the first epoch of the unbroken run that ends
// with the epoch at index end.
func (h *history) runStart(id slotID, end int) (int, bool) {
	start := end + 1
	for start > 0 && h.epochs[start-1].holds(h.self, id) {
		start--
		if h.epochs[start].broken {
			break
		}
	}
	return start, start <= end
}

// since returns the epoch of a version, or the oldest one if that is forgotten.
func (h *history) since(version uint64) *epoch {
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
func (h *history) lost(id slotID) (*epoch, time.Time) {
	for end := len(h.epochs) - 1; end > 0; end-- {
		if h.epochs[end].holds(h.self, id) {
			return nil, time.Time{}
		}
		if h.epochs[end].broken {
			return nil, time.Time{}
		}
		if start, ok := h.runStart(id, end-1); ok {
			return &h.epochs[start], h.epochs[end].adopted
		}
	}
	return nil, time.Time{}
}

// before returns the holder that the slot most likely had before this instance
// gained it with epoch e.
func (h *history) before(id slotID, e *epoch) (figview.Member, bool) {
	for i := range h.epochs {
		if i > 0 && &h.epochs[i] == e && !e.broken {
			return h.epochs[i-1].holder(id)
		}
	}
	return e.without(h.self).holder(id)
}
