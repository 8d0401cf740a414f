package figbudget

import (
	"slices"
	"strconv"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// placement assigns each slot to a holder under one view of the fleet. It depends on the view
// alone, so that all instances with the same view agree.
type placement struct {
	view        *figview.View
	dataCentres []string
}

// newPlacement returns the placement under v. Only data centres with a live member hold slots.
func newPlacement(v *figview.View) *placement {
	p := &placement{view: v}
	for _, m := range v.Members {
		if m.State == figview.Live && !slices.Contains(p.dataCentres, m.DataCentre) {
			p.dataCentres = append(p.dataCentres, m.DataCentre)
		}
	}
	slices.Sort(p.dataCentres)
	return p
}

// without returns the placement under the same view without the member called name.
func (p *placement) without(name string) *placement {
	members := slices.DeleteFunc(slices.Clone(p.view.Members), func(m figview.Member) bool {
		return m.Name == name
	})
	return newPlacement(&figview.View{Version: p.view.Version, Members: members})
}

// holder returns the instance that holds the slot, and false if no member is live.
func (p *placement) holder(id slotID) (figview.Member, bool) {
	if len(p.dataCentres) == 0 {
		return figview.Member{}, false
	}
	key := figview.Key("slot", id.account, strconv.Itoa(id.index))
	return p.view.OwnerIn(key, p.slotDataCentre(id))
}

// holds says whether the instance called name holds the slot.
func (p *placement) holds(name string, id slotID) bool {
	m, ok := p.holder(id)
	return ok && m.Name == name
}

// slotDataCentre returns the data centre in which the slot is held. The slots of an account are
// spread over different data centres as far as there are enough. When a data centre leaves the
// view, few slots move besides its own.
func (p *placement) slotDataCentre(id slotID) string {
	var used [SlotCount]string
	for i := range id.index + 1 {
		key := figview.Key("slotCentre", id.account, strconv.Itoa(i))
		used[i] = p.chooseDataCentre(key, used[:i])
	}
	return used[id.index]
}

// chooseDataCentre returns the data centre with the highest rendezvous weight for key that isn't in
// used, or the highest of all if every one is in used.
func (p *placement) chooseDataCentre(key uint64, used []string) string {
	best, bestWeight := "", uint64(0)
	for _, c := range p.dataCentres {
		if len(used) < len(p.dataCentres) && slices.Contains(used, c) {
			continue
		}
		if w := figview.Weight(key, c); best == "" || w > bestWeight {
			best, bestWeight = c, w
		}
	}
	return best
}
