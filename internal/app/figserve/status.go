package figserve

import (
	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Status is what /status shows.
type Status struct {
	Name        string               `json:"name"`
	DataCentre  string               `json:"dataCentre"`
	Incarnation uint64               `json:"incarnation"`
	Ready       string               `json:"ready"`
	InFlight    int                  `json:"inFlight"`
	Config      figstore.Status      `json:"config"`
	Peers       figmember.Status     `json:"peers"`
	Budgets     figbudget.Statistics `json:"budgets"`
	Servers     []figowner.Status    `json:"servers"`
}

func (i *Instance) status() any {
	ready := "ready"
	if err := i.Ready(); err != nil {
		ready = err.Error()
	}
	return Status{
		Name:        i.Name,
		DataCentre:  i.DataCentre,
		Incarnation: i.incarnation,
		Ready:       ready,
		InFlight:    i.workers.Running(),
		Config:      i.store.Status(),
		Peers:       i.member.Status(),
		Budgets:     i.budget.Status(),
		Servers:     i.owner.Status(),
	}
}
