package figstore_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// latency is the one-way latency between two instances, or an instance and the service.
	latency = 500 * time.Microsecond
	// askTimeout is the deadline of a call to a peer.
	askTimeout = time.Second
	// readTimeout is added to a read's wait to give its deadline.
	readTimeout = 2 * time.Second
)

var errNoAnswer = errors.New("no answer")

// service is a configuration service in memory. It must be used in a synctest bubble, so that waits take no real
// time.
type service struct {
	mu      sync.Mutex
	changed chan struct{}
	// values and instances hold all changes in order. The revision of each is its length.
	values    []figplatform.Value
	instances []figplatform.Instance

	reads atomic.Int64
	down  atomic.Bool
	// replicas holds, by instance name, the service that this instance reads instead.
	replicas sync.Map
}

func newService() *service { return &service{changed: make(chan struct{})} }

// copy returns an independent service with the present contents, which then serves as a stale replica.
func (s *service) copy() *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := newService()
	c.values, c.instances = slices.Clone(s.values), slices.Clone(s.instances)
	return c
}

func (s *service) change(apply func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	apply()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) publish(path, text string) {
	s.change(func() {
		s.values = append(s.values, figplatform.Value{Path: path, Version: uint64(len(s.values) + 1), Text: text})
	})
}

// list sets a row of the list of instances and returns the list's revision.
func (s *service) list(m figview.Member, gone bool) (revision uint64) {
	s.change(func() {
		s.instances = append(s.instances, figplatform.Instance{Member: m, Gone: gone})
		revision = uint64(len(s.instances))
	})
	return revision
}

// wait returns when changed reports true or the wait is over; at once with a wait of 0.
func (s *service) wait(ctx context.Context, wait time.Duration, hasChanges func() bool) error {
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		changed, done := s.changed, wait == 0 || hasChanges()
		s.mu.Unlock()
		if s.down.Load() {
			return errNoAnswer
		}
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-end.C:
			return nil
		case <-changed:
		}
	}
}

// reader is the connection of one instance to the service.
type reader struct {
	*service
	n    *network
	name string
}

// read performs one read. It returns the latest change of each row after a revision, and the current revision.
func read[T any](
	ctx context.Context, r reader, after uint64, wait time.Duration, list func(*service) []T, name func(T) string,
) (rows []T, revision uint64, err error) {
	if err := r.n.transmit(ctx, r.name, "service", readTimeout); err != nil {
		return nil, 0, err
	}
	r.reads.Add(1)
	if r.down.Load() {
		return nil, 0, errNoAnswer
	}
	at := r.service
	if other, ok := r.replicas.Load(r.name); ok {
		at = other.(*service)
	}
	if err := at.wait(ctx, wait, func() bool { return uint64(len(list(at))) > after }); err != nil {
		return nil, 0, err
	}
	if err := r.n.transmit(ctx, r.name, "service", readTimeout); err != nil {
		return nil, 0, err
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	changes := list(at)
	for _, c := range changes[min(after, uint64(len(changes))):] {
		rows = slices.DeleteFunc(rows, func(r T) bool { return name(r) == name(c) })
		rows = append(rows, c)
	}
	return rows, uint64(len(changes)), nil
}

func (r reader) platform() figplatform.Platform {
	return figplatform.Platform{
		Values: func(ctx context.Context, after uint64, wait time.Duration) (*figplatform.Values, error) {
			rows, revision, err := read(ctx, r, after, wait,
				func(s *service) []figplatform.Value { return s.values },
				func(v figplatform.Value) string { return v.Path })
			return &figplatform.Values{Revision: revision, Values: rows}, err
		},
		Instances: func(ctx context.Context, after uint64, wait time.Duration) (*figplatform.Instances, error) {
			rows, revision, err := read(ctx, r, after, wait,
				func(s *service) []figplatform.Instance { return s.instances },
				func(i figplatform.Instance) string { return i.Name })
			if after == 0 {
				rows = slices.DeleteFunc(rows, func(i figplatform.Instance) bool { return i.Gone })
			}
			return &figplatform.Instances{Revision: revision, Rows: rows}, err
		},
		Servers: func(ctx context.Context, after uint64, wait time.Duration) (*figplatform.Servers, error) {
			_, _, err := read(ctx, r, after, wait, func(*service) []string { return nil }, strings.Clone)
			return &figplatform.Servers{}, err
		},
	}
}

// network connects nodes and the service. Messages on a cut link are lost.
type network struct {
	cut, nodes   sync.Map
	calls, bytes atomic.Int64
}

func (n *network) setCut(a, b string, cut bool) {
	n.cut.Store([2]string{a, b}, cut)
	n.cut.Store([2]string{b, a}, cut)
}

// transmit waits for the one-way latency, or for the timeout if the link is cut, in which case it fails.
func (n *network) transmit(ctx context.Context, from, to string, timeout time.Duration) error {
	wait := latency
	cut, _ := n.cut.Load([2]string{from, to})
	if cut == true {
		wait = timeout
	}
	if err := figtimer.New(figtimer.System()).Sleep(ctx, wait); err != nil {
		return err
	}
	if cut == true {
		return errNoAnswer
	}
	return nil
}

// traffic holds the number of calls and the bytes of their messages.
type traffic struct{ calls, bytes int64 }

func (n *network) traffic() traffic { return traffic{n.calls.Load(), n.bytes.Load()} }

func (t traffic) since(before traffic) traffic {
	return traffic{t.calls - before.calls, t.bytes - before.bytes}
}

func (t traffic) onWire() float64 { return float64(t.bytes + callOverhead*t.calls) }

func call[Q, R any](
	ctx context.Context, n *network, from, to string, q *Q, answer func(*node) func(context.Context, *Q) (*R, error),
) (*R, error) {
	if err := n.transmit(ctx, from, to, askTimeout); err != nil {
		return nil, err
	}
	peer, ok := n.nodes.Load(to)
	if !ok {
		return nil, errNoAnswer
	}
	r, err := answer(peer.(*node))(ctx, q)
	if err != nil {
		return nil, err
	}
	for _, message := range []any{q, r} {
		b, _ := cbor.Marshal(message)
		n.bytes.Add(int64(len(b)))
	}
	n.calls.Add(1)
	return r, n.transmit(ctx, to, from, askTimeout)
}
