package figserve

import (
	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figstore"
	"figtrail.dev/figtrail/internal/core/figkernel"
	"figtrail.dev/figtrail/internal/fleet/figmember"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Status is what /status shows.
type Status struct {
	// Name, DataCentre and Incarnation tell which process answers.
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is "ready" or the reason why not.
	Ready string `json:"ready"`
	// InFlight counts the requests in progress, waiting ones included.
	InFlight int `json:"inFlight"`
	// LogLinesDropped counts log lines that found the log full.
	LogLinesDropped uint64 `json:"logLinesDropped"`
	// Config, Peers, Budgets, Queues and Servers come from the parts.
	Config  figstore.Status            `json:"config"`
	Peers   figmember.Status           `json:"peers"`
	Budgets figbudget.Statistics       `json:"budgets"`
	Queues  map[string]figqueue.Status `json:"queues"`
	Servers []figowner.Status          `json:"servers"`
}

// status asks the parts by their names.
func (i *Instance) status() any {
	s := Status{
		Name:        i.Name,
		DataCentre:  i.DataCentre,
		Incarnation: i.incarnation,
		Ready:       "ready",
		InFlight:    i.workers.Running(),

		LogLinesDropped: i.DroppedLines(),
	}
	if err := i.Ready(); err != nil {
		s.Ready = err.Error()
	}
	err := errors.Join(
		show(i, serviceConfig, func(p *figstore.Store) { s.Config = p.Status() }),
		show(i, serviceMembership, func(p *figmember.Membership) { s.Peers = p.Status() }),
		show(i, serviceBudget, func(p *figbudget.Budget) { s.Budgets = p.Status() }),
		show(i, serviceQueues, func(p *figqueue.Set) { s.Queues = p.Status() }),
		show(i, serviceOwner, func(p *figowner.Owner) { s.Servers = p.Status() }),
	)
	if err != nil {
		s.Ready = err.Error()
	}
	return s
}

// show finds a service by its name and lets it fill in its part.
func show[T any](i *Instance, name string, fill func(T)) error {
	p, err := figkernel.Lookup[T](i.kernel, name)
	if err == nil {
		fill(p)
	}
	return err
}
