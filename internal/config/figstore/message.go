package figstore

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Request asks a peer for the values and list changes that the sender lacks.
type Request struct {
	// From is the name of the sending instance.
	From string `cbor:"1,keyasint"`
	// Notify marks a notification that the sender has new data; the reply to it is empty.
	Notify bool `cbor:"2,keyasint,omitempty"`
	// Highest is the highest version of any value that the sender holds.
	Highest uint64 `cbor:"3,keyasint"`
	// Digest is a hash over all values that the sender holds.
	Digest uint64 `cbor:"4,keyasint"`
	// Buckets holds the digest of each bucket of the sender's values. It is sent to find differences among values
	// up to Highest.
	Buckets []uint64 `cbor:"5,keyasint,omitempty"`
	// First is the first bucket to compare.
	First int `cbor:"8,keyasint,omitempty"`
	// Instances and Servers are the revisions of the sender's lists.
	Instances uint64 `cbor:"6,keyasint"`
	Servers   uint64 `cbor:"7,keyasint"`
}

// Reply is the answer to a Request.
type Reply struct {
	// Ready says that the peer's configuration is complete (see Store.Ready).
	Ready bool `cbor:"1,keyasint"`
	// Highest and Digest describe the peer's values, as in Request.
	Highest uint64 `cbor:"2,keyasint"`
	Digest  uint64 `cbor:"3,keyasint"`
	// More says that the reply was cut at its size limit and another Request would return more values.
	More bool `cbor:"4,keyasint,omitempty"`
	// Next is the first bucket of the next Request after a bucket comparison; 0 after the last bucket.
	Next int `cbor:"10,keyasint,omitempty"`
	// Values holds values that the sender of the Request lacks.
	Values []Value `cbor:"5,keyasint,omitempty"`
	// Instances and Servers hold the list changes that the sender of the Request lacks; nil if it lacks none.
	Instances *ListChanges[InstanceChange] `cbor:"6,keyasint,omitempty"`
	Servers   *ListChanges[ServerChange]   `cbor:"7,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds since the service last answered an instance, as far as the peer knows;
	// negative if it knows of no answer.
	AgeMillis int64 `cbor:"8,keyasint"`
	// Source is the name of the instance that received this last answer.
	Source string `cbor:"9,keyasint,omitempty"`
}

// Value is the wire form of a published value.
type Value struct {
	Path    string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint"`
	Text    string `cbor:"3,keyasint,omitempty"`
	Deleted bool   `cbor:"4,keyasint,omitempty"`
	// Packed holds a long text in DEFLATE format; Text is then empty.
	Packed []byte `cbor:"5,keyasint,omitempty"`
}

// ListChanges holds the changes of a published list up to Revision.
type ListChanges[R any] struct {
	Revision uint64 `cbor:"1,keyasint"`
	// All says that Rows is the whole list.
	All  bool `cbor:"2,keyasint,omitempty"`
	Rows []R  `cbor:"3,keyasint"`
}

// InstanceChange is the wire form of a changed row of the list of instances.
type InstanceChange struct {
	Name       string        `cbor:"1,keyasint"`
	Address    string        `cbor:"2,keyasint"`
	DataCentre string        `cbor:"3,keyasint"`
	State      figview.State `cbor:"4,keyasint,omitempty"`
	Gone       bool          `cbor:"5,keyasint,omitempty"`
}

// ServerChange is the wire form of a changed row of the list of backend servers.
type ServerChange struct {
	Name       string        `cbor:"1,keyasint"`
	Address    string        `cbor:"2,keyasint"`
	DataCentre string        `cbor:"3,keyasint"`
	Pool       string        `cbor:"4,keyasint"`
	Role       figview.Role  `cbor:"5,keyasint"`
	State      figview.State `cbor:"6,keyasint,omitempty"`
	// StartedMillis is the server's start time in milliseconds since the Unix epoch.
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

// changesSince returns the changes of l after a revision in wire form; nil if l is no newer.
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

// applyChanges applies received changes to l. It returns true if l changed; c may be nil.
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
