// Package figview holds the published lists as plain values: the instances that
// make up the fleet and the backend servers beside them, with the hashing that
// gives each thing its instance. It does no input or output and keeps no state,
// so that all instances that hold the same version decide alike.
//
// # Usage
//
//	owner, ok := view.Owner(figview.Key("server", server.Name))
//	ranked := view.Rank(figview.Key("slot", account, "0"), dataCentre)
//
// The version of a view comes from the platform and only grows.
package figview

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what the platform's list says of an instance or a backend server.
type State uint8

const (
	// Live means that it takes work.
	Live State = iota
	// Leaving means that it ends the work it has and takes no more.
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
	// Name is unique among all instances and kept over a restart.
	Name string
	// Address is the host and port of its peer protocol.
	Address string
	// DataCentre is the name of the data centre it stands in.
	DataCentre string
	// State says whether it is leaving.
	State State
}

// View is one version of the list of instances. It is not changed once made.
type View struct {
	// Version is the platform's revision of the list.
	Version uint64
	// Members holds the instances, sorted by name.
	Members []Member
}

// Role says what a backend server does.
type Role uint8

const (
	// Plain serves ordinary calls.
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

// ParseRole is the inverse of String. It returns false for an unknown name.
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
	// Name is unique among all backend servers and kept over a restart.
	Name string `cbor:"Name"`
	// Address is the host and port of its HTTP interface.
	Address string `cbor:"Address"`
	// DataCentre is the name of the data centre it stands in.
	DataCentre string `cbor:"DataCentre"`
	// Pool is the pool of the tree of declarations that it belongs to.
	Pool string `cbor:"Pool"`
	// Role says what it does in that pool.
	Role Role `cbor:"Role"`
	// State says whether it is leaving.
	State State `cbor:"State"`
	// StartedAt is when its process started, as far as the list knows.
	StartedAt time.Time `cbor:"StartedAt"`
}

// Held is what one instance has in progress at a backend server.
type Held struct {
	// Requests counts its requests there.
	Requests int `cbor:"1,keyasint"`
	// Tokens is the engine memory that they need, in tokens.
	Tokens int64 `cbor:"2,keyasint"`
}

// Servers is one version of the list of backend servers.
type Servers struct {
	// Version is the platform's revision of the list.
	Version uint64
	// All holds the backend servers, sorted by name.
	All []Server
}

// Key joins parts to a key for hashing. Parts can't run into each other.
func Key(parts ...string) uint64 {
	return xxhash.Sum64String(strings.Join(parts, "\x00"))
}

// Weight returns the rendezvous weight of the instance called name for key.
func Weight(key uint64, name string) uint64 {
	// A 64-bit finalizer (splitmix64) over the two hashes.
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Find returns the member called name.
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

// OwnerIn is Owner among the members of one data centre; an empty name means all.
func (v *View) OwnerIn(key uint64, dataCentre string) (Member, bool) {
	var best Member
	var top uint64
	found := false
	for _, m := range v.Members {
		if m.State != Live || (dataCentre != "" && m.DataCentre != dataCentre) {
			continue
		}
		if w := Weight(key, m.Name); !found || w > top {
			best, top, found = m, w, true
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
