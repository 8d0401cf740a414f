package figqueue

import (
	"cmp"
	"time"
)

const (
	// levels is the number of values of an importance: 1 (first) to 10, and 0, which stands for unknown.
	levels = 11
	// unknownImportance is what an item without an importance counts as: the middle, as engines assume it.
	unknownImportance = 6
	// floorFraction is the part of the placed tokens that the waiting importances below the first get together, so that
	// none starves.
	floorFraction = 1.0 / 8
	// classLate and classNormal are the values of Item.Priority of requests that miss their latency target and of those
	// that can meet it.
	classLate   = -1
	classNormal = 0
	// maxClass bounds Item.Priority, maxTokens and maxBytes bound an item's size. Sums over a full queue stay far below
	// the limits of int64.
	maxClass  = 1 << 20
	maxTokens = 1 << 40
	maxBytes  = 1 << 40
	// maxAge bounds the time since the arrival of a caller's first attempt. It is far above the time limits of routes, by
	// which instances bound it.
	maxAge = time.Hour
)

// boundedImportance returns the importance that n counts as.
func boundedImportance(n int) int {
	if n == 0 {
		return unknownImportance
	}
	return min(max(n, 1), levels-1)
}

// bounded returns the item with values inside their bounds, and whether any was outside. Items come from other
// instances.
func bounded(item Item, now time.Time) (Item, bool) {
	b := item
	b.Priority = min(max(item.Priority, -maxClass), maxClass)
	b.Tokens = min(max(item.Tokens, 0), maxTokens)
	b.Bytes = min(max(item.Bytes, 0), maxBytes)
	b.Weight = min(max(item.Weight, 1), maxTokens)
	if item.ArrivedAt.IsZero() {
		b.ArrivedAt = now
	} else if item.ArrivedAt.After(now) {
		b.ArrivedAt = now
	} else if oldest := now.Add(-maxAge); item.ArrivedAt.Before(oldest) {
		b.ArrivedAt = oldest
	}
	b.Importance, b.RouteImportance = boundedImportance(item.Importance), boundedImportance(item.RouteImportance)
	outside := b.Priority != item.Priority || b.Tokens != item.Tokens || b.Bytes != item.Bytes ||
		!item.ArrivedAt.IsZero() && !b.ArrivedAt.Equal(item.ArrivedAt) ||
		item.Importance != 0 && b.Importance != item.Importance ||
		item.RouteImportance != 0 && b.RouteImportance != item.RouteImportance
	return b, outside
}

// importanceOf returns the importance that an item of f counts as now. An account's own importance counts while the
// account has had at most its share; then the route's counts, if that is less important.
func (s *scheduler) importanceOf(f *flow, item *Item) int {
	if !item.AccountImportance || s.shares.within(f.account, s.now) {
		return item.Importance
	}
	return max(item.Importance, item.RouteImportance)
}

// mixed reports whether requests of different importance wait, or may count as such.
func (s *scheduler) mixed() bool {
	if s.ownCount > 0 {
		return true
	}
	seen := 0
	for _, n := range s.countAt {
		if n > 0 {
			seen++
		}
	}
	return seen > 1
}

// candidate is an entry that may go next, with what orders it.
type candidate struct {
	flow  *flow
	index int
	class int
	level int
}

func (c *candidate) entry() *entry { return c.flow.waiting[c.index] }

// takeFromFloor returns the candidate of the most important level whose floor pays for it, or first. It adds the part of
// the chosen request's tokens that is due to the other levels that wait, which undoFloor takes back.
func (s *scheduler) takeFromFloor(first candidate, now time.Time) candidate {
	below := s.candidatesBelow(&first, now)
	chosen, waiting := first, 0
	for level := range below {
		c := &below[level]
		switch {
		case c.flow != nil:
			waiting++
			if chosen.level == first.level && s.floors[level] >= c.entry().size() {
				chosen = *c
			}
		case s.countAt[level] == 0:
			s.floors[level] = 0
		}
	}
	e := chosen.entry()
	tokens := e.size()
	for level := range below {
		if below[level].flow != nil {
			e.floors[level] = tokens * floorFraction / float64(waiting)
		}
	}
	if chosen.level == first.level {
		e.floors[chosen.level] = -s.floors[chosen.level]
	} else {
		e.floors[chosen.level] -= tokens
		s.counters.PlacedByFloor++
	}
	for level, change := range e.floors {
		s.floors[level] += change
	}
	return chosen
}

// undoFloor takes back what takeFromFloor changed for an entry that was not placed.
func (s *scheduler) undoFloor(e *entry) {
	for level, change := range e.floors {
		s.floors[level] = max(0, s.floors[level]-change)
		e.floors[level] = 0
	}
}

// candidatesBelow returns, for each importance below that of first, the request that goes first among those of at least
// the class of first.
func (s *scheduler) candidatesBelow(first *candidate, now time.Time) [levels]candidate {
	var found [levels]candidate
	for _, f := range s.flows {
		var seen [levels]bool
		for i, e := range f.waiting {
			level := s.importanceOf(f, &e.item)
			if level <= first.level || seen[level] || e.priority(now) < first.class {
				continue
			}
			seen[level] = true
			c := candidate{flow: f, index: i, class: first.class, level: level}
			if found[level].flow == nil || s.compareCandidates(&c, &found[level]) < 0 {
				found[level] = c
			}
		}
	}
	return found
}

// tokensByFloor returns the tokens that are placed until the floor of its importance has paid for e and for those of its
// importance that wait.
func (s *scheduler) tokensByFloor(e *entry) float64 {
	shared := 0
	for level, n := range s.countAt {
		if n > 0 || level == e.item.Importance {
			shared++
		}
	}
	return float64(s.tokensAt[e.item.Importance]+e.item.Tokens) * float64(max(1, shared-1)) / floorFraction
}

// refuseHopeless refuses the requests of which even the least possible wait exceeds the deadline, because requests that
// are more important wait before them. The wait is the shorter one of that behind those and that by the floor.
func (s *scheduler) refuseHopeless(now time.Time) {
	rate := s.rate.perSecond()
	if rate <= 0 || !s.mixed() {
		return
	}
	var before [levels + 1]float64
	waiting := 0.0
	for _, f := range s.flows {
		for _, e := range f.waiting {
			if e.item.Priority >= classNormal && !e.late {
				before[s.importanceOf(f, &e.item)+1] += float64(e.item.Tokens)
			}
		}
	}
	for level := 1; level <= levels; level++ {
		if before[level] > 0 {
			waiting++
		}
		before[level] += before[level-1]
	}
	var hopeless []*entry
	for _, f := range s.flows {
		for _, e := range f.waiting {
			ahead := before[s.importanceOf(f, &e.item)]
			wait := min(ahead, float64(e.item.Tokens)*max(1, waiting-1)/floorFraction) / rate
			if ahead > 0 && e.item.Priority <= classNormal && !e.item.Deadline.IsZero() &&
				wait > max(0, e.item.Deadline.Sub(now).Seconds()) {
				hopeless = append(hopeless, e)
			}
		}
	}
	for _, e := range hopeless {
		s.refuseWaiting(e, Displaced)
	}
}

// leastImportant returns the waiting request that is least important, if it is less important than e, of no higher class
// and, if only is not nil, in that flow. Of equal ones it is the last of the account with the most tokens for its weight.
func (s *scheduler) leastImportant(e *entry, f, only *flow) *entry {
	if s.oneImportance(e) {
		return nil
	}
	var found *entry
	level := s.importanceOf(f, &e.item)
	for _, g := range s.flows {
		if only != nil && g != only {
			continue
		}
		for _, w := range g.waiting {
			if l := s.importanceOf(g, &w.item); l < level || l == level && found == nil || w.item.Priority > e.item.Priority {
				continue
			} else if l > level || g.isLarger(found.flow) {
				found, level = w, l
			}
		}
	}
	return found
}

// isLarger orders flows by their waiting tokens for their weight, and then by name. It returns true for the same flow.
func (f *flow) isLarger(g *flow) bool {
	order := cmp.Or(cmp.Compare(float64(f.tokens)/f.weight, float64(g.tokens)/g.weight), cmp.Compare(g.account, f.account))
	return order >= 0
}

// displace refuses a waiting request because a more important one needs its place. It returns false if e is nil.
func (s *scheduler) displace(e *entry) bool {
	if e == nil {
		return false
	}
	s.refuseWaiting(e, Displaced)
	return true
}
