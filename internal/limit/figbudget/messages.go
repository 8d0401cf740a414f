package figbudget

// Request is what one instance asks another in a single message. Instances that
// have nothing of a kind to say leave the list empty.
type Request struct {
	// From is the name of the asking instance.
	From string `cbor:"1,keyasint"`
	// Incarnation changes with each start of the asking instance. This field, and
	// Sequence and Peer, are there only beside reports and refunds.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the messages of one incarnation to one peer.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// Peer is the incarnation of the asked instance as far as it is known.
	// Reports and refunds count only if it is right.
	PeerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// Asks holds the leases that are asked for.
	LeaseRequests []LeaseRequest `cbor:"5,keyasint,omitempty"`
	// Reports holds what became of leases.
	LeaseReports []LeaseReport `cbor:"6,keyasint,omitempty"`
	// Refunds holds what requests reserved and did not use.
	Refunds []Refund `cbor:"7,keyasint,omitempty"`
	// Pulls asks for slots that the asking instance has gained.
	TransferRequests []TransferRequest `cbor:"8,keyasint,omitempty"`
	// Hello asks for the incarnation of the asked instance.
	WantIncarnation bool `cbor:"9,keyasint,omitempty"`
}

// settles says whether the message holds anything that must count once.
func (q *Request) mustApplyOnce() bool { return len(q.LeaseReports)+len(q.Refunds) > 0 }

// Reply answers a Request.
type Reply struct {
	// Incarnation changes with each start of the answering instance. It is zero
	// unless the request asked for it or had another one.
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	// Grants answers Asks, one for one.
	Grants []Grant `cbor:"2,keyasint,omitempty"`
	// Gives answers Pulls, one for one.
	TransferReplies []TransferReply `cbor:"3,keyasint,omitempty"`
}

// Ask asks the holder of a slot for a lease.
type LeaseRequest struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Need is how many tokens the request at hand lacks.
	Required int64 `cbor:"3,keyasint,omitempty"`
	// Ahead is how many tokens more the asker expects to spend before the lease ends.
	Prefetch int64 `cbor:"4,keyasint,omitempty"`
}

// Status says how a holder stood to an Ask.
type GrantStatus uint8

const (
	// Granted means that the slot is held here; the tokens may be fewer than asked.
	SlotReady GrantStatus = iota
	// NotHeld means that the slot isn't held here by the list that the instance has.
	SlotNotHeld
	// NotReady means that the slot is held here and may not be spent yet.
	SlotNotReady
)

// Grant is the answer to an Ask.
type Grant struct {
	// Status says whether the slot can be spent here.
	Status GrantStatus `cbor:"1,keyasint,omitempty"`
	// Lease numbers the lease; zero if no tokens were granted.
	Lease uint64 `cbor:"2,keyasint,omitempty"`
	// Tokens is the size of the lease.
	Tokens int64 `cbor:"3,keyasint,omitempty"`
	// Level is how many tokens the slot has left.
	Remaining int64 `cbor:"4,keyasint,omitempty"`
}

// Report tells the holder what became of a lease since the last report.
type LeaseReport struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Lease is the number of the lease.
	Lease uint64 `cbor:"3,keyasint"`
	// Spent is how many tokens were charged.
	Spent int64 `cbor:"4,keyasint,omitempty"`
	// Returned is how many tokens the lessee gave up unspent.
	Returned int64 `cbor:"5,keyasint,omitempty"`
}

// Refund gives back what requests reserved and did not use. A negative amount
// is what they used above their reservation.
type Refund struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Tokens is the amount.
	Tokens int64 `cbor:"3,keyasint"`
}

// Pull asks the former holder of a slot to hand it over.
type TransferRequest struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Version is the version of the list of instances that the asker has.
	ViewVersion uint64 `cbor:"3,keyasint"`
}

// Give is the answer to a Pull.
type TransferReply struct {
	// Given says whether the slot is handed over. It is true once at most.
	Transferred bool `cbor:"1,keyasint,omitempty"`
	// Balance is how many tokens it has.
	Balance int64 `cbor:"2,keyasint,omitempty"`
	// Outstanding is how many tokens are leased from it.
	Outstanding int64 `cbor:"3,keyasint,omitempty"`
}
