package figbudget

// Request is one message from an instance to a peer. It batches lease requests, lease reports,
// refunds and transfer requests; lists without entries are omitted from the encoding.
type Request struct {
	// From is the name of the sending instance.
	From string `cbor:"1,keyasint"`
	// Incarnation identifies one run of the sending instance's process and grows with each start.
	// Incarnation, Sequence and PeerIncarnation are set only if the message holds lease reports or
	// refunds.
	Incarnation uint64 `cbor:"2,keyasint,omitempty"`
	// Sequence numbers the sender's messages with lease reports or refunds to one peer, within one
	// incarnation of the sender. The peer uses it to detect duplicates.
	Sequence uint64 `cbor:"3,keyasint,omitempty"`
	// PeerIncarnation is the incarnation of the receiver that the sender knows. The receiver
	// ignores lease reports and refunds for another incarnation than its own.
	PeerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	// LeaseRequests holds the leases that the sender asks for.
	LeaseRequests []LeaseRequest `cbor:"5,keyasint,omitempty"`
	// LeaseReports tells how many tokens of earlier leases were spent and returned.
	LeaseReports []LeaseReport `cbor:"6,keyasint,omitempty"`
	// Refunds holds tokens that requests reserved and did not use.
	Refunds []Refund `cbor:"7,keyasint,omitempty"`
	// TransferRequests asks for the state of slots that the sender has gained.
	TransferRequests []TransferRequest `cbor:"8,keyasint,omitempty"`
	// WantIncarnation asks the receiver for its incarnation.
	WantIncarnation bool `cbor:"9,keyasint,omitempty"`
}

// mustApplyOnce says whether the message holds anything that must not be applied twice.
func (q *Request) mustApplyOnce() bool { return len(q.LeaseReports)+len(q.Refunds) > 0 }

// Reply answers a Request.
type Reply struct {
	// Incarnation is the incarnation of the answering instance. It is zero unless the request asked
	// for it or held lease reports or refunds for another incarnation.
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	// Grants holds one answer for each entry of LeaseRequests, in the same order.
	Grants []Grant `cbor:"2,keyasint,omitempty"`
	// TransferReplies holds one answer for each entry of TransferRequests, in the same order.
	TransferReplies []TransferReply `cbor:"3,keyasint,omitempty"`
}

// LeaseRequest asks the holder of a slot for a lease.
type LeaseRequest struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Required is the number of tokens that the current request still lacks.
	Required int64 `cbor:"3,keyasint,omitempty"`
	// Prefetch is the number of further tokens that the sender expects to spend before the lease
	// expires.
	Prefetch int64 `cbor:"4,keyasint,omitempty"`
}

// GrantStatus says whether the receiver of a LeaseRequest can lease tokens from the slot.
type GrantStatus uint8

const (
	// SlotReady means that the receiver holds the slot and may spend it. The grant may still be for
	// fewer tokens than requested, or for none.
	SlotReady GrantStatus = iota
	// SlotNotHeld means that the receiver doesn't hold the slot under its view of the fleet, or
	// doesn't know the account.
	SlotNotHeld
	// SlotNotReady means that the receiver holds the slot but may not spend it now: the slot isn't
	// active yet, or the receiver's view isn't fresh.
	SlotNotReady
)

// Grant is the answer to a LeaseRequest.
type Grant struct {
	// Status says whether the receiver can lease tokens from the slot.
	Status GrantStatus `cbor:"1,keyasint,omitempty"`
	// Lease is the number of the lease; zero if no tokens were granted.
	Lease uint64 `cbor:"2,keyasint,omitempty"`
	// Tokens is the size of the lease.
	Tokens int64 `cbor:"3,keyasint,omitempty"`
	// Remaining is the slot's balance after the grant.
	Remaining int64 `cbor:"4,keyasint,omitempty"`
}

// LeaseReport tells the holder how a lease was used. The lessee has removed the lease.
type LeaseReport struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Lease is the number of the lease.
	Lease uint64 `cbor:"3,keyasint"`
	// Spent is the number of tokens that were charged.
	Spent int64 `cbor:"4,keyasint,omitempty"`
	// Returned is the number of tokens that the lessee gives back unspent.
	Returned int64 `cbor:"5,keyasint,omitempty"`
}

// Refund returns tokens that requests reserved and did not use. A negative amount charges tokens
// that requests used above their reservation.
type Refund struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// Tokens is the amount.
	Tokens int64 `cbor:"3,keyasint"`
}

// TransferRequest asks the former holder of a slot for its state.
type TransferRequest struct {
	// Account is the client account.
	Account string `cbor:"1,keyasint"`
	// Slot is the index of the slot.
	Slot int `cbor:"2,keyasint,omitempty"`
	// ViewVersion is the version of the sender's view of the fleet.
	ViewVersion uint64 `cbor:"3,keyasint"`
}

// TransferReply is the answer to a TransferRequest.
type TransferReply struct {
	// Transferred says whether the slot now belongs to the requester. A former holder transfers
	// each slot at most once.
	Transferred bool `cbor:"1,keyasint,omitempty"`
	// Balance is the number of tokens in the slot.
	Balance int64 `cbor:"2,keyasint,omitempty"`
	// Outstanding is the number of tokens that the former holder has leased from the slot.
	Outstanding int64 `cbor:"3,keyasint,omitempty"`
}
