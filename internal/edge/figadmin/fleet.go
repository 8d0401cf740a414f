package figadmin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// maxConcurrentQueries bounds the instances that are queried concurrently.
	maxConcurrentQueries = 32
	// queryTimeout bounds the query of one instance. It is short because the response
	// waits for all instances.
	queryTimeout = time.Second
)

// StatusQuery is the request of the peer call that returns an instance's status.
type StatusQuery struct{}

// StatusAnswer is the response of the peer call; Text is the status in JSON.
type StatusAnswer struct {
	Text []byte `cbor:"1,keyasint"`
}

// InstanceStatus is the status of one instance, or the error of the query.
type InstanceStatus struct {
	// Name and Address are those in the member list of the querying instance; Address
	// is the address for peer calls.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Status is the status that the instance returns at /status; nil if it didn't answer.
	Status json.RawMessage `json:"status,omitempty"`
	// Error says why there is no status.
	Error string `json:"error,omitempty"`
}

// Fleet queries other instances for their statuses.
type Fleet struct {
	// Self is this instance; Peers returns the other known instances.
	Self  figview.Member
	Peers func() []figview.Member
	// Query sends the peer call to one instance. It must be safe for concurrent use.
	Query func(ctx context.Context, m figview.Member) (*StatusAnswer, error)
}

// Statuses returns the statuses of this instance and of all its peers, sorted by
// name. A peer that doesn't answer within a second has an error instead. own is the
// status of this instance.
func (f *Fleet) Statuses(ctx context.Context, own any) []InstanceStatus {
	others := f.Peers()
	all := make([]InstanceStatus, len(others)+1)
	all[len(others)] = statusOf(f.Self, func() ([]byte, error) { return json.Marshal(own) })
	var queries errgroup.Group
	queries.SetLimit(maxConcurrentQueries)
	for i, m := range others {
		queries.Go(func() error {
			queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			all[i] = statusOf(m, func() ([]byte, error) { return f.queryStatus(queryCtx, m) })
			return nil
		})
	}
	_ = queries.Wait() // failures are reported in the Error fields
	slices.SortFunc(all, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (f *Fleet) queryStatus(ctx context.Context, m figview.Member) ([]byte, error) {
	a, err := f.Query(ctx, m)
	if err != nil {
		return nil, err
	}
	return a.Text, nil
}

func statusOf(m figview.Member, read func() ([]byte, error)) InstanceStatus {
	s := InstanceStatus{Name: m.Name, Address: m.Address}
	text, err := read()
	if err != nil {
		s.Error = err.Error()
		return s
	}
	s.Status = text
	return s
}

// AnswerStatus returns the handler of the peer call, which returns the result of
// status as JSON.
func AnswerStatus(status func() any) func(context.Context, *StatusQuery) (*StatusAnswer, error) {
	return func(context.Context, *StatusQuery) (*StatusAnswer, error) {
		text, err := json.Marshal(status())
		if err != nil {
			return nil, err
		}
		return &StatusAnswer{Text: text}, nil
	}
}
