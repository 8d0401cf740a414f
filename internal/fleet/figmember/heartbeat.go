package figmember

import "github.com/cespare/xxhash/v2"

// Heartbeat is the message with which two instances exchange their state. Request and answer have
// the same form.
type Heartbeat struct {
	// From is the sender's name, Incarnation that of its process.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// View is the version of the list of instances that the sender holds, and
	// Newest the highest version that it knows to exist.
	View   uint64 `cbor:"3,keyasint"`
	Newest uint64 `cbor:"4,keyasint"`
	// AgeMillis is the time, rounded up to milliseconds, since the configuration service was last known
	// to have no list newer than View; a negative value means never.
	AgeMillis int64 `cbor:"5,keyasint"`
	// Source is the hash of the name of the instance to which the service confirmed that.
	Source uint64 `cbor:"14,keyasint,omitempty"`
	// Highest and Digest are the highest revision and a digest of the sender's published values, as
	// Options.Digest returns them.
	Highest uint64 `cbor:"6,keyasint"`
	Digest  uint64 `cbor:"7,keyasint"`
	// Draining is true if the sender takes no more work.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Acks holds the sender's acknowledgements that changed after SinceSequence, up to Sequence.
	Acks          []ViewAck `cbor:"9,keyasint,omitempty"`
	SinceSequence uint64    `cbor:"13,keyasint,omitempty"`
	Sequence      uint64    `cbor:"10,keyasint"`
	// Seen is the sequence up to which the sender has the acknowledgements of the receiver's
	// incarnation SeenIncarnation.
	Seen            uint64 `cbor:"11,keyasint,omitempty"`
	SeenIncarnation uint64 `cbor:"12,keyasint,omitempty"`
}

// ViewAck says that an incarnation of a member has held a version of the list. It never becomes
// false, so it may be relayed over any path and arrive late.
type ViewAck struct {
	_ struct{} `cbor:",toarray"`
	// Member is the hash of the member's name.
	Member uint64
	// Incarnation is that of the member's process.
	Incarnation uint64
	// View is the version of the list.
	View uint64
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
