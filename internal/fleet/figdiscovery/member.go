package figdiscovery

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member is an instance's description of itself.
type Member struct {
	Name       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	// Incarnation identifies one run of the process. It grows with each restart.
	Incarnation uint64 `cbor:"4,keyasint"`
	// MemoryMB is the memory of the instance in MB, by which work for the whole fleet is assigned.
	MemoryMB int `cbor:"5,keyasint"`
}

// State is the state of a member.
type State uint8

// The states of a member. Of two records with the same incarnation and version, the one with the
// higher state is valid.
const (
	// Alive means that the member answers probes.
	Alive State = iota
	// Suspect means that the member didn't answer and is declared dead soon unless it refutes that.
	Suspect
	// Leaving means that the member shuts down. It still serves but takes no new work for others.
	Leaving
	// Dead means that the member has ended or can't be reached.
	Dead
)

// String returns the name of the state in the status.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s]
}

// Record is what an instance knows of a member, as it is sent to others.
type Record struct {
	Member

	// Version grows when the member refutes a suspicion or changes its state.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	State   State  `cbor:"7,keyasint,omitempty"`
}

// replaces reports whether r is newer than o, another record of the same member.
func (r *Record) replaces(o *Record) bool {
	switch {
	case r.Incarnation != o.Incarnation:
		return r.Incarnation > o.Incarnation
	case r.Version != o.Version:
		return r.Version > o.Version
	default:
		return r.State > o.State
	}
}

// hash returns the record's part of the digest of a list.
func (r *Record) hash() uint64 {
	b := make([]byte, 0, len(r.Name)+2*binary.MaxVarintLen64+1)
	b = append(b, r.Name...)
	b = binary.AppendUvarint(b, r.Incarnation)
	b = binary.AppendUvarint(b, r.Version)
	b = append(b, byte(r.State))
	return xxhash.Sum64(b)
}

// memberRecord is a known member with what this instance adds to its record.
type memberRecord struct {
	Record

	// changedAt is when the state last changed here, heardAt when the member last answered or sent a
	// message; zero if it never did.
	changedAt, heardAt time.Time
}

// present reports whether the member counts as a member of the fleet.
func (m *memberRecord) present() bool { return m.State == Alive || m.State == Suspect }

// Message is a probe, a push, and the answer to both.
type Message struct {
	From Record `cbor:"1,keyasint"`
	// Digest is the digest of the sender's list, and Members the number of members in it.
	Digest  uint64 `cbor:"2,keyasint"`
	Members int    `cbor:"3,keyasint"`
	// News holds records that changed recently.
	News []Record `cbor:"4,keyasint,omitempty"`
	// Revision and Epoch are the position of the configuration that the sender uses.
	Revision uint64 `cbor:"5,keyasint,omitempty"`
	// Evidence is the digest of what the sender knows of prompt parts on which servers crash.
	Evidence uint64 `cbor:"6,keyasint,omitempty"`
	Epoch    uint64 `cbor:"7,keyasint,omitempty"`
}

// IndirectProbe asks an instance to probe another one.
type IndirectProbe struct {
	Target Member `cbor:"1,keyasint"`
}

// IndirectResult says whether the target of an IndirectProbe answered.
type IndirectResult struct {
	Answered bool `cbor:"1,keyasint"`
}

// SyncRequest asks an instance for the records that the sender lacks.
type SyncRequest struct {
	From Record `cbor:"1,keyasint"`
	// Hashes holds the hashes of the sender's records.
	Hashes []uint64 `cbor:"2,keyasint"`
}

// SyncAnswer holds the records whose hashes were not in the SyncRequest.
type SyncAnswer struct {
	Records []Record `cbor:"1,keyasint"`
}
