package figquarantine

import (
	"cmp"
	"slices"
	"time"
)

// blame returns the records that explain the crashes best: the one with the most crashes first, then
// the one with the most crashes that this doesn't explain, as long as these suffice. A part is passed over
// if parts after it explain its crashes, because prompts of many kinds begin alike.
func (t *Table) blame(now time.Time) map[*record]bool {
	open := make(map[*record][]uint64, len(t.records))
	for _, r := range t.records {
		if crashes := r.open(); len(crashes) >= crashThreshold && now.Sub(r.crashedAt) < quarantineTime {
			open[r] = crashes
		}
	}
	blamed := map[*record]bool{}
	for len(open) > 0 {
		var worst *record
		for r, crashes := range open {
			if worst == nil || r.worseThan(worst, len(crashes), len(open[worst])) {
				worst = r
			}
		}
		explained := open[worst]
		delete(open, worst)
		if explainedAfter(worst, explained, open) {
			continue
		}
		blamed[worst] = true
		for r, crashes := range open {
			open[r] = slices.DeleteFunc(crashes, func(crash uint64) bool { return slices.Contains(explained, crash) })
			if len(open[r]) < crashThreshold {
				delete(open, r)
			}
		}
	}
	return blamed
}

// explainedAfter reports whether parts that come after that of r in prompts explain its crashes.
func explainedAfter(r *record, crashes []uint64, open map[*record][]uint64) bool {
	unexplained := 0
	for _, crash := range crashes {
		found := false
		for o, others := range open {
			found = found || o.Depth > r.Depth && slices.Contains(others, crash)
		}
		if !found {
			unexplained++
		}
	}
	return float64(unexplained) <= maxUnexplained*float64(len(crashes))
}

// worseThan orders records by their crashes, then by their depth. The identity makes the order the same
// at all instances.
func (r *record) worseThan(o *record, crashes, otherCrashes int) bool {
	return cmp.Or(cmp.Compare(crashes, otherCrashes), cmp.Compare(r.Depth, o.Depth), cmp.Compare(r.Part, o.Part)) > 0
}
