package figowner

// Request is the body of the peer call "reserve". It carries everything that one instance has to send
// to one owner at a time. It names no client account.
type Request struct {
	// From is the name of the sending instance.
	From string `cbor:"1,keyasint"`
	// Epoch is the owner's incarnation that issued the lease numbers in Renew and Release.
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// Pool is the pool whose loads the reply carries. If it is empty, an owner of few servers sends the
	// loads of all of them.
	Pool string `cbor:"3,keyasint,omitempty"`
	// Reserve holds the reservations to make. The reply holds one result for each, in order.
	Reserve []ReservationRequest `cbor:"4,keyasint,omitempty"`
	// Renew holds the numbers of leases to renew.
	Renew []uint64 `cbor:"5,keyasint,omitempty"`
	// Release holds the leases that have ended.
	Release []Release `cbor:"6,keyasint,omitempty"`
	// Failures holds failures of servers that the sender has seen.
	Failures []Failure `cbor:"7,keyasint,omitempty"`
	// Transfers holds finished KV cache transfers; the owner estimates link rates from them.
	Transfers []Transfer `cbor:"8,keyasint,omitempty"`
}

// ReservationRequest asks for a reservation on one server for one request.
type ReservationRequest struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// ID is the request's ID, by which the server also reports the request.
	ID string `cbor:"2,keyasint"`
	// Pieces is the KV cache memory wanted on a decode server, in pieces. It is zero for all other
	// servers.
	Pieces int64 `cbor:"3,keyasint,omitempty"`
	// Tokens is the amount of work: uncached prompt tokens on a prefill server, prompt and output tokens
	// on a decode server. A plain server counts each call as one whatever the value is.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// OutputTokens is the part of Tokens that a decode server generates.
	OutputTokens int64 `cbor:"5,keyasint,omitempty"`
	// MaxWaitMillis is the longest time that a prefill may wait in the server's queue.
	MaxWaitMillis int64 `cbor:"6,keyasint,omitempty"`
	// StartDelayMillis is the time until the request is sent to the decode server.
	StartDelayMillis int64 `cbor:"7,keyasint,omitempty"`
	// TransferBytes is the size of the KV cache to transfer to a decode server.
	TransferBytes int64 `cbor:"8,keyasint,omitempty"`
	// AlreadyRunning says that the request runs on the server under a lease that another owner granted.
	// Such a reservation is not refused for lack of room.
	AlreadyRunning bool `cbor:"9,keyasint,omitempty"`
	// Adapter is the name of the adapter that the request uses, or empty.
	Adapter string `cbor:"10,keyasint,omitempty"`
}

// Release tells an owner that a lease has ended.
type Release struct {
	// Lease is the lease number, or zero if the holder never received it.
	Lease uint64 `cbor:"1,keyasint,omitempty"`
	// Server is the name of the backend server. Server and ID identify the lease if the number is zero.
	Server string `cbor:"2,keyasint,omitempty"`
	// ID is the request's ID.
	ID string `cbor:"3,keyasint,omitempty"`
	// Tokens is the work done: prompt tokens on a prefill server, generated tokens on a decode server, any
	// positive number on a plain server. It is zero if the request failed.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// PrefillMillis is the duration of a prefill that succeeded.
	PrefillMillis int64 `cbor:"5,keyasint,omitempty"`
	// EndedAgoMillis is the time from the end of the request to the sending of the message.
	EndedAgoMillis int64 `cbor:"6,keyasint,omitempty"`
	// Abandoned says that the server may still hold the request's memory.
	Abandoned bool `cbor:"7,keyasint,omitempty"`
}

// FailureKind is the kind of a failure that an instance has seen on a server.
type FailureKind uint8

const (
	// CallerError is an error that the caller caused. The circuit breaker ignores it.
	CallerError FailureKind = iota
	// Refused is a refusal by the server itself for lack of room. The circuit breaker ignores it.
	Refused
	// Unreachable means that no connection to the server could be made.
	Unreachable
	// ServerError means that the server answered with an error.
	ServerError
	// StreamFailed means that the server stopped sending or closed the stream before its end.
	StreamFailed
	// ResultExpired means that the server had discarded a prefill result before the result was fetched.
	// The circuit breaker ignores it.
	ResultExpired
)

// Failure is one failure of a server.
type Failure struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// Kind is the kind of the failure.
	Kind FailureKind `cbor:"2,keyasint"`
}

// Transfer is one finished KV cache transfer to a decode server.
type Transfer struct {
	// Server is the name of the decode server.
	Server string `cbor:"1,keyasint"`
	// Bytes is the amount of data transferred.
	Bytes int64 `cbor:"2,keyasint"`
	// DurationMillis is the duration of the transfer.
	DurationMillis int64 `cbor:"3,keyasint"`
}

// Outcome is the outcome of a reservation request: Granted or the reason for a refusal.
type Outcome uint8

const (
	// Granted means that the reservation was granted.
	Granted Outcome = iota
	// NotOwner means that the server belongs to another instance according to the view of the instance
	// that got the request, or that the server is not listed.
	NotOwner
	// Leaving means that the server or its data centre is being drained and takes no new work.
	Leaving
	// Full means that the server lacks memory or its queue is too long.
	Full
	// Warming means that the limit of the ramp after a cold start is reached.
	Warming
	// Unavailable means that the circuit breaker is open or its probe has not finished, that the last
	// report is too old, or that a stream or connection has failed since the last report.
	Unavailable
	// HandoverLimited means that another owner may be granting too, and that the part of the free memory
	// that may be granted before the next report is used up.
	HandoverLimited
)

// String returns the outcome as written to logs and metrics.
func (r Outcome) String() string {
	return [...]string{"granted", "notOwner", "leaving", "full", "warming", "broken", "shared"}[r]
}

// MarshalText encodes the outcome by name, so that it can be a JSON object key.
func (r Outcome) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// ReservationResult is the result of one ReservationRequest.
type ReservationResult struct {
	// Outcome is Granted or the reason for the refusal.
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	// Lease is the lease number for renewal and release. It is zero if the reservation was refused.
	Lease uint64 `cbor:"2,keyasint,omitempty"`
	// RetryMillis is the suggested delay before a retry, if the reservation was refused.
	RetryMillis int64 `cbor:"3,keyasint,omitempty"`
	// PrefillDoneMillis is the expected time until a prefill ends, including its wait in the queue.
	PrefillDoneMillis int64 `cbor:"4,keyasint,omitempty"`
	// PrefillDelayMillis is how much later the prefill should start, because the transfer link to the
	// decode server is reserved until then.
	PrefillDelayMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Load is the load index of one server. Replies carry it.
type Load struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// FreePieces is the memory, in pieces, that the owner could grant now.
	FreePieces int64 `cbor:"2,keyasint,omitempty"`
	// TotalPieces is the server's memory in pieces, or zero if unknown.
	TotalPieces int64 `cbor:"3,keyasint,omitempty"`
	// QueueTokens is the unfinished work: calls on a plain server, tokens on all others.
	QueueTokens int64 `cbor:"4,keyasint,omitempty"`
	// TokensPerSecond is the estimated prefill speed.
	TokensPerSecond int64 `cbor:"5,keyasint,omitempty"`
	// LinkKilobytesPerSecond is the estimated rate of the server's transfer link, in kB per second.
	LinkKilobytesPerSecond int64 `cbor:"6,keyasint,omitempty"`
	// RefusesAll says that the owner would now refuse any reservation, whatever its size.
	RefusesAll bool `cbor:"7,keyasint,omitempty"`
	// AcceptsAnyWait says that the owner would accept another prompt whatever its expected wait, because
	// the prefill speed is still being measured and the server has few prompts.
	AcceptsAnyWait bool `cbor:"9,keyasint,omitempty"`
	// ResidentHashes holds the hashes of the loaded models and adapters, as ResidentHash returns them.
	ResidentHashes []uint32 `cbor:"8,keyasint,omitempty"`
}

// Reply is the reply to a Request.
type Reply struct {
	// Epoch is the owner's incarnation.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
	// Results holds one result for each ReservationRequest, in order.
	Results []ReservationResult `cbor:"2,keyasint,omitempty"`
	// Unknown holds the leases from Request.Renew that the owner could not renew.
	Unknown []uint64 `cbor:"3,keyasint,omitempty"`
	// Loads holds the load of owned servers of the requested pool, at most maxLoads.
	Loads []Load `cbor:"4,keyasint,omitempty"`
}
