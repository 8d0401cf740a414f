package figstore

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Request asks a peer for what it has and the asker lacks.
type Request struct {
	// From is the name of the asker.
	From string `cbor:"1,keyasint"`
	// Notify says that the asker has something new; the answer is empty.
	Notify bool `cbor:"2,keyasint,omitempty"`
	// Highest is the highest version of any value that the asker has.
	Highest uint64 `cbor:"3,keyasint"`
	// Digest stands for all values that the asker has.
	Digest uint64 `cbor:"4,keyasint"`
	// Buckets holds the digests of the asker's values by bucket; it is sent to find
	// differences that Highest doesn't show.
	Buckets []uint64 `cbor:"5,keyasint,omitempty"`
	// First is the first bucket to compare.
	First int `cbor:"8,keyasint,omitempty"`
	// Instances and Servers are the revisions of the asker's lists.
	Instances uint64 `cbor:"6,keyasint"`
	Servers   uint64 `cbor:"7,keyasint"`
}

// Reply is the answer to a Request.
type Reply struct {
	// Ready says that the peer serves, so that what it has is complete.
	Ready bool `cbor:"1,keyasint"`
	// Highest and Digest are as in Request, for the peer.
	Highest uint64 `cbor:"2,keyasint"`
	Digest  uint64 `cbor:"3,keyasint"`
	// More says that another Request would bring more values.
	More bool `cbor:"4,keyasint,omitempty"`
	// Next is the bucket to go on with after a comparison; zero at its end.
	Next int `cbor:"10,keyasint,omitempty"`
	// Values holds values that the asker lacks.
	Values []Value `cbor:"5,keyasint,omitempty"`
	// Instances and Servers hold the changes of the lists, nil if the asker has them.
	Instances *ListChanges[InstanceChange] `cbor:"6,keyasint,omitempty"`
	Servers   *ListChanges[ServerChange]   `cbor:"7,keyasint,omitempty"`
	// AgeMillis is how long ago the service last answered the peer or one whom it
	// heard of, in milliseconds; negative for never.
	AgeMillis int64 `cbor:"8,keyasint"`
	// Source is the name of the instance that the service answered then.
	Source string `cbor:"9,keyasint,omitempty"`
}

// Value is a published value as it travels.
type Value struct {
	Path    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Text    string `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Packed holds a long text in the form of DEFLATE in the place of Text.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// ListChanges holds changes of a published list up to a revision.
type ListChanges[R any] struct {
	Revision uint64 `cbor:"1,keyasint"`
	// All says that Rows are the whole list.
	All  bool `cbor:"2,keyasint,omitempty"`
	Rows []R  `cbor:"3,keyasint"`
}

// InstanceChange is a changed row of the list of instances.
type InstanceChange struct {
	Name       string        `cbor:"1,keyasint"`
	Address    string        `cbor:"2,keyasint"`
	DataCentre string        `cbor:"3,keyasint"`
	State      figview.State `cbor:"4,keyasint,omitempty"`
	Gone       bool          `cbor:"5,keyasint,omitempty"`
}

// ServerChange is a changed row of the list of backend servers.
type ServerChange struct {
	Name       string        `cbor:"1,keyasint"`
	Address    string        `cbor:"2,keyasint"`
	DataCentre string        `cbor:"3,keyasint"`
	Pool       string        `cbor:"4,keyasint"`
	Role       figview.Role  `cbor:"5,keyasint"`
	State      figview.State `cbor:"6,keyasint,omitempty"`
	// StartedMillis counts from the Unix epoch.
	StartedMillis int64 `cbor:"7,keyasint"`
	Gone          bool  `cbor:"8,keyasint,omitempty"`
}

func valuesToWire(values []figplatform.Value) []Value {
	out := make([]Value, 0, len(values))
	for _, v := range values {
		out = append(out, compress(v))
	}
	return out
}

// changesSince returns what an asker lacks of a list, each row as it travels; nil
// for nothing.
func changesSince[T, R any](l *list[T], revision uint64, toWire func(change[T]) R) *ListChanges[R] {
	if l.revision <= revision {
		return nil
	}
	rows, all := l.after(revision)
	c := &ListChanges[R]{Revision: l.revision, All: all}
	for _, r := range rows {
		c.Rows = append(c.Rows, toWire(r))
	}
	return c
}

// takeChanges takes in changes that have travelled. It returns true if there was
// something new.
func applyChanges[T, R any](l *list[T], c *ListChanges[R], fromWire func(R) change[T]) bool {
	if c == nil {
		return false
	}
	rows := make([]change[T], 0, len(c.Rows))
	for _, r := range c.Rows {
		rows = append(rows, fromWire(r))
	}
	return l.apply(c.Revision, c.All, rows)
}

func instanceToWire(c change[figview.Member]) InstanceChange {
	m := c.value
	return InstanceChange{m.Name, m.Address, m.DataCentre, m.State, c.gone}
}

func instanceFromWire(r InstanceChange) change[figview.Member] {
	m := figview.Member{Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, State: r.State}
	return change[figview.Member]{r.Name, m, r.Gone}
}

func serverToWire(c change[figview.Server]) ServerChange {
	v := c.value
	return ServerChange{
		v.Name, v.Address, v.DataCentre, v.Pool, v.Role, v.State, v.StartedAt.UnixMilli(), c.gone,
	}
}

func serverFromWire(r ServerChange) change[figview.Server] {
	v := figview.Server{
		Name: r.Name, Address: r.Address, DataCentre: r.DataCentre, Pool: r.Pool,
		Role: r.Role, State: r.State, StartedAt: time.UnixMilli(r.StartedMillis).UTC(),
	}
	return change[figview.Server]{r.Name, v, r.Gone}
}
