package figquarantine

import (
	"cmp"
	"slices"
	"time"
)

// blame returns the records that explain the crashes best: the one with the most crashes first, then
// the one with the most crashes that this doesn't explain, as long as these suffice. A part is passed over
// if parts that are more suspect explain its crashes.
func (t *Table) blame(now time.Time) map[*record]bool {
	open := make(map[*record][]uint64, len(t.records))
	for _, r := range t.records {
		if len(r.Crashes) < crashThreshold || now.Sub(r.crashedAt) >= quarantineTime {
			continue
		}
		if crashes := r.open(); r.suffice(crashes) && !r.isOutlasted(now) {
			open[r] = crashes
			r.cleared, r.lost = len(r.Crashes)-len(crashes), r.lostRuns()
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
		if explainedByOthers(worst, explained, open) {
			continue
		}
		blamed[worst] = true
		for r, crashes := range open {
			open[r] = slices.DeleteFunc(crashes, func(crash uint64) bool {
				return slices.Contains(explained, crash) && !r.standsOut(crash, worst)
			})
			if !r.suffice(open[r]) {
				delete(open, r)
			}
		}
	}
	return blamed
}

// explainedByOthers reports whether parts that are more suspect than that of r explain its crashes.
func explainedByOthers(r *record, crashes []uint64, open map[*record][]uint64) bool {
	unexplained := 0
	for _, crash := range crashes {
		found := false
		for o, others := range open {
			found = found || o.moreSuspectThan(r) && slices.Contains(others, crash)
		}
		if !found {
			unexplained++
		}
	}
	return float64(unexplained) <= maxUnexplained*float64(len(crashes))
}

// moreSuspectThan reports whether a smaller fraction of the crashes on r than of those on o is cleared. If they are the same,
// it is the part of which at most half as many runs were lost, and otherwise the one that comes later in prompts, because
// prompts of many kinds begin alike.
func (r *record) moreSuspectThan(o *record) bool {
	mine, others := r.cleared*len(o.Crashes), o.cleared*len(r.Crashes)
	switch {
	case mine != others:
		return mine < others
	case 2*r.lost <= o.lost || 2*o.lost <= r.lost:
		return r.lost < o.lost
	}
	return r.Depth > o.Depth
}

// worseThan orders records by their crashes, then by the fewest lost runs and by their depth. The identity makes the order the
// same at all instances.
func (r *record) worseThan(o *record, crashes, otherCrashes int) bool {
	return cmp.Or(cmp.Compare(crashes, otherCrashes), cmp.Compare(o.lost, r.lost), cmp.Compare(r.Depth, o.Depth), cmp.Compare(r.Part, o.Part)) > 0
}

// suffice reports whether these crashes of the record suffice for a quarantine. One that took a crowd of runs along counts
// half: the part is then in use on most servers, whatever ends them.
func (r *record) suffice(crashes []uint64) bool {
	halves := 0
	for _, crash := range crashes {
		if halves += 2; r.lossIn(crash).isCrowd() {
			halves--
		}
	}
	return halves >= 2*crashThreshold
}

// standsOut reports whether a crash that o explains may be due to the part of r all the same: it came where runs with the part
// end at the latest, and later than o's. So two parts whose runs are lost together on a server are told apart.
func (r *record) standsOut(crash uint64, o *record) bool {
	l := r.lossIn(crash)
	if l.isCrowd() || l.Reached <= o.lossIn(crash).Reached+outlastStep {
		return false
	}
	for _, other := range r.Losses {
		if other.Reached > l.Reached+outlastStep {
			return false
		}
	}
	return true
}
