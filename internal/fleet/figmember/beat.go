package figmember

import "github.com/cespare/xxhash/v2"

// Beat is the message by which two instances tell each other how they are. The
// request and the answer have the same form.
type Beat struct {
	// From is the name of the sender, Incarnation that of its process.
	From        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// View is the version of the list of instances that the sender holds, and
	// Newest the highest version that it knows to exist.
	View   uint64 `cbor:"3,keyasint"`
	Newest uint64 `cbor:"4,keyasint"`
	// AgeMillis is how long ago, at most, the service said that no list newer than
	// View existed; negative for never.
	AgeMillis int64 `cbor:"5,keyasint"`
	// Source is the hash of the name of the instance that the service said it to.
	Source uint64 `cbor:"14,keyasint,omitempty"`
	// Highest and Digest stand for the sender's published values.
	Highest uint64 `cbor:"6,keyasint"`
	Digest  uint64 `cbor:"7,keyasint"`
	// Draining senders take no more work.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Acks holds the sender's rows that changed after Base, up to Sequence.
	Acks     []ViewAck  `cbor:"9,keyasint,omitempty"`
	SinceSequence     uint64 `cbor:"13,keyasint,omitempty"`
	Sequence uint64 `cbor:"10,keyasint"`
	// Seen is the highest Sequence that the sender has of the addressee's
	// incarnation SeenOf.
	Seen   uint64 `cbor:"11,keyasint,omitempty"`
	SeenIncarnation uint64 `cbor:"12,keyasint,omitempty"`
}

// ViewAck says that an incarnation of a member has held a version of the list. It is
// true for good, so that it may travel by any way and arrive late.
type ViewAck struct {
	_ struct{} `cbor:",toarray"`
	// Member is the hash of the member's name.
	Member uint64
	// Incarnation is that of the member's process.
	Incarnation uint64
	// View is the version that it held.
	View uint64
}

func hashOf(name string) uint64 { return xxhash.Sum64String(name) }
