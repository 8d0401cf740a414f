// Package figview holds the published lists of instances and of backend servers as plain values,
// and assigns keys to instances by rendezvous hashing. It does no input or output and keeps no
// state, so all instances that hold the same version of a list reach the same decisions.
//
// # Usage
//
//	owner, ok := view.Owner(figview.Key("server", server.Name))
//	ranked := view.Rank(figview.Key("slot", account, "0"), dataCentre)
//
// The version of a list comes from the platform and only grows.
package figview

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is the state of an instance or a backend server on the platform's list.
type State uint8

const (
	// Live means that the instance or server takes new work.
	Live State = iota
	// Leaving means that the instance or server completes its work in progress and takes no new work.
	Leaving
)

// String returns the name that the published list uses.
func (s State) String() string {
	if s == Leaving {
		return "leaving"
	}
	return "live"
}

// Member is one instance of figtrail on the published list.
type Member struct {
	// Name is unique among all instances and stays the same over a restart.
	Name string
	// Address is the host and port at which the instance serves calls of other instances.
	Address string
	// DataCentre is the name of the instance's data centre.
	DataCentre string
	// State is the state on the list.
	State State
}

// View is one version of the list of instances. It must not be modified after its creation.
type View struct {
	// Version is the platform's revision of the list.
	Version uint64
	// Members holds the instances, sorted by name.
	Members []Member
}

// Role is the kind of work that a backend server does.
type Role uint8

const (
	// Plain serves calls to a service that does not separate prefill and decode.
	Plain Role = iota
	// Prefill computes the KV cache of a prompt.
	Prefill
	// Decode generates tokens from a KV cache.
	Decode
)

// String returns the name that the published list uses.
func (r Role) String() string {
	return [...]string{"plain", "prefill", "decode"}[r]
}

// ParseRole returns the role called name, as String returns it, and false for an unknown name.
func ParseRole(name string) (Role, bool) {
	for _, r := range []Role{Plain, Prefill, Decode} {
		if r.String() == name {
			return r, true
		}
	}
	return Plain, false
}

// Server is one backend server on the published list.
type Server struct {
	// Name is unique among all backend servers and stays the same over a restart.
	Name string `cbor:"Name"`
	// Address is the host and port of its HTTP interface.
	Address string `cbor:"Address"`
	// DataCentre is the name of the server's data centre.
	DataCentre string `cbor:"DataCentre"`
	// Pool is the name of the declared pool that the server belongs to.
	Pool string `cbor:"Pool"`
	// Role is the kind of work that the server does in its pool.
	Role Role `cbor:"Role"`
	// State is the state on the list.
	State State `cbor:"State"`
	// StartedAt is the start time of the server's process according to the list.
	StartedAt time.Time `cbor:"StartedAt"`
}

// ServerLoad is the load that one instance places on a backend server.
type ServerLoad struct {
	// Requests is the number of the instance's requests in progress at the server.
	Requests int `cbor:"1,keyasint"`
	// Tokens is the engine memory that these requests need, in tokens.
	Tokens int64 `cbor:"2,keyasint"`
}

// Servers is one version of the list of backend servers.
type Servers struct {
	// Version is the platform's revision of the list.
	Version uint64
	// All holds the backend servers, sorted by name.
	All []Server
}

// Key returns the hash of parts. Parts are separated by NUL bytes and must not contain any, so
// that different lists of parts give different hash inputs.
func Key(parts ...string) uint64 {
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// Weight returns the rendezvous-hashing weight of the instance called name for key.
func Weight(key uint64, name string) uint64 {
	// This is the 64-bit finalizer of splitmix64, applied to the exclusive or of both hashes.
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Find returns the member called name, and false if it is not listed.
func (v *View) Find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int {
		return strings.Compare(m.Name, n)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// Owner returns the live member with the highest weight for key, and false if
// no member is live. Ties go to the lower name.
func (v *View) Owner(key uint64) (Member, bool) {
	return v.OwnerIn(key, "")
}

// OwnerIn is like Owner but considers only the members of one data centre; an empty data centre
// means all.
func (v *View) OwnerIn(key uint64, dataCentre string) (Member, bool) {
	var best Member
	var bestWeight uint64
	found := false
	for _, m := range v.Members {
		if m.State != Live || (dataCentre != "" && m.DataCentre != dataCentre) {
			continue
		}
		if w := Weight(key, m.Name); !found || w > bestWeight {
			best, bestWeight, found = m, w, true
		}
	}
	return best, found
}

// Rank returns the live members of a data centre, highest weight for key first.
// An empty data centre means all.
func (v *View) Rank(key uint64, dataCentre string) []Member {
	var ranked []Member
	for _, m := range v.Members {
		if m.State == Live && (dataCentre == "" || m.DataCentre == dataCentre) {
			ranked = append(ranked, m)
		}
	}
	slices.SortStableFunc(ranked, func(a, b Member) int {
		x, y := Weight(key, a.Name), Weight(key, b.Name)
		switch {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return ranked
}

// NewView returns a view with the members sorted by name.
func NewView(version uint64, members []Member) *View {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return &View{Version: version, Members: sorted}
}
