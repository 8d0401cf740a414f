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
	// fleetAtOnce bounds the instances that are asked at the same moment.
	maxConcurrentQueries = 32
	// fleetTimeout bounds the wait for one instance; an operator waits for all.
	queryTimeout = time.Second
)

// StatusQuery is the peer call for a status.
type StatusQuery struct{}

// StatusAnswer carries a status in JSON.
type StatusAnswer struct {
	Text []byte `cbor:"1,keyasint"`
}

// InstanceStatus is the status of one instance, or why it isn't known.
type InstanceStatus struct {
	// Name and Address are as the asking instance knows them; Address is the one for
	// instances.
	Name    string `json:"name"`
	Address string `json:"address"`
	// Status is as on the instance's own page; nil if it didn't answer.
	Status json.RawMessage `json:"status,omitempty"`
	// Error says why there is no status.
	Error string `json:"error,omitempty"`
}

// Fleet asks others for their statuses.
type Fleet struct {
	// Self is this instance, Others returns those that it knows.
	Self   figview.Member
	Others func() []figview.Member
	// Ask sends the peer call to one of them.
	Ask func(ctx context.Context, m figview.Member) (*StatusAnswer, error)
}

// Statuses returns the status of this instance and of all others, by name. One
// that doesn't answer within a second has an error instead.
func (f *Fleet) Statuses(ctx context.Context, own any) []InstanceStatus {
	others := f.Others()
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
	_ = queries.Wait() // each failure stands in its row
	slices.SortFunc(all, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
	return all
}

func (f *Fleet) queryStatus(ctx context.Context, m figview.Member) ([]byte, error) {
	a, err := f.Ask(ctx, m)
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

// AnswerStatus answers the peer call for a status with what status returns.
func AnswerStatus(status func() any) func(context.Context, *StatusQuery) (*StatusAnswer, error) {
	return func(context.Context, *StatusQuery) (*StatusAnswer, error) {
		text, err := json.Marshal(status())
		if err != nil {
			return nil, err
		}
		return &StatusAnswer{Text: text}, nil
	}
}
