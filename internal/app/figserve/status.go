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

// Status is the answer of the admin page /status.
type Status struct {
	// Name, DataCentre and Incarnation identify the process.
	Name        string `json:"name"`
	DataCentre  string `json:"dataCentre"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is "ready" or the reason why not.
	Ready string `json:"ready"`
	// InFlight is the number of requests in progress, including waiting ones.
	InFlight int `json:"inFlight"`
	// LogLinesDropped counts log lines that were dropped because the log's buffer was full.
	LogLinesDropped uint64 `json:"logLinesDropped"`
	// Config, Peers, Budgets, Queues and Servers are the statuses of the components.
	Config  figstore.Status            `json:"config"`
	Peers   figmember.Status           `json:"peers"`
	Budgets figbudget.Statistics       `json:"budgets"`
	Queues  map[string]figqueue.Status `json:"queues"`
	Servers []figowner.Status          `json:"servers"`
}

// status collects the statuses of the components. If a component isn't registered, Ready
// holds the error.
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
		withService(i, serviceConfig, func(p *figstore.Store) { s.Config = p.Status() }),
		withService(i, serviceMembership, func(p *figmember.Membership) { s.Peers = p.Status() }),
		withService(i, serviceBudget, func(p *figbudget.Budget) { s.Budgets = p.Status() }),
		withService(i, serviceQueues, func(p *figqueue.Set) { s.Queues = p.Status() }),
		withService(i, serviceOwner, func(p *figowner.Owner) { s.Servers = p.Status() }),
	)
	if err != nil {
		s.Ready = err.Error()
	}
	return s
}

// withService looks up the service called name and passes it to fill. It returns an error if
// there is no such service of type T.
func withService[T any](i *Instance, name string, fill func(T)) error {
	p, err := figkernel.Lookup[T](i.kernel, name)
	if err == nil {
		fill(p)
	}
	return err
}
