package figqueue

import "cmp"

// Ahead estimates how many waiting requests are placed before a new item: those of a higher class, of the same class and
// more important ones, and of equal ones all of its own account and of each other account at most as many as its weight
// gives it until the item is placed.
func (q *Queue) Ahead(item Item) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.scheduler
	s.now = q.opts.Clock.Now()
	item, _ = bounded(item, s.now)
	f := s.flows[item.Account]
	level := item.Importance
	if f != nil {
		level = s.importanceOf(f, &item)
	}
	before, own := 0, 1
	equal := map[*flow]int{}
	for _, g := range s.flows {
		for _, w := range g.waiting {
			switch order := cmp.Or(cmp.Compare(item.Priority, w.item.Priority), cmp.Compare(s.importanceOf(g, &w.item), level)); {
			case order < 0:
				before++
			case order == 0 && g == f:
				own++
			case order == 0:
				equal[g]++
			}
		}
	}
	sum := float64(before + own - 1)
	for g, n := range equal {
		sum += min(float64(n), float64(own)/float64(item.Weight)*g.weight)
	}
	return int(sum)
}
