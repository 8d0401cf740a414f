package figowner

// Request is the peer call "reserve": one batch of what an instance wants of one
// owner. It names no client account.
type Request struct {
	// From is the name of the asking instance.
	From string `cbor:"1,keyasint"`
	// Epoch is the owner's incarnation that the lease numbers belong to.
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// Pool is the pool whose loads the reply carries. If it is empty, an owner of
	// few servers sends those of all.
	Pool string `cbor:"3,keyasint,omitempty"`
	// Reserve holds the wanted reservations; the reply has a grant for each.
	Reserve []Ask `cbor:"4,keyasint,omitempty"`
	// Renew holds the numbers of leases to extend.
	Renew []uint64 `cbor:"5,keyasint,omitempty"`
	// Release holds leases that have ended.
	Release []Release `cbor:"6,keyasint,omitempty"`
	// Failures holds evidence against servers.
	Failures []Failure `cbor:"7,keyasint,omitempty"`
	// Transfers holds finished KV cache transfers, for the link estimate.
	Transfers []Transfer `cbor:"8,keyasint,omitempty"`
}

// Ask asks for room on one server for one request.
type Ask struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// ID is the request's ID, as the server reports it.
	ID string `cbor:"2,keyasint"`
	// Pieces is the engine memory wanted on a decode server. Zero on others.
	Pieces int64 `cbor:"3,keyasint,omitempty"`
	// Tokens is the work: uncached prompt tokens on a prefill server, prompt
	// and output on a decode server, the charge of the call on a plain one.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// Output is the part of Tokens that a decode server generates.
	Output int64 `cbor:"5,keyasint,omitempty"`
	// MaxWaitMillis is the longest queue that a prefill may meet.
	MaxWaitMillis int64 `cbor:"6,keyasint,omitempty"`
	// AfterMillis is when a decode server will be sent its request.
	AfterMillis int64 `cbor:"7,keyasint,omitempty"`
	// Bytes is the KV cache to move to a decode server.
	Bytes int64 `cbor:"8,keyasint,omitempty"`
	// Held says that the request runs on the server already: its lease was
	// granted by another owner. Such an ask is never refused for room.
	Held bool `cbor:"9,keyasint,omitempty"`
	// Adapter is the adapter that the request uses, or empty.
	Adapter string `cbor:"10,keyasint,omitempty"`
}

// Release ends a lease.
type Release struct {
	// Lease is its number, or zero if the asker never learned it.
	Lease uint64 `cbor:"1,keyasint,omitempty"`
	// Server and ID name it if the number is unknown.
	Server string `cbor:"2,keyasint,omitempty"`
	// ID is the request's ID.
	ID string `cbor:"3,keyasint,omitempty"`
	// Tokens is the work that was done: prompt tokens on a prefill server,
	// generated ones on a decode server. Zero if it failed.
	Tokens int64 `cbor:"4,keyasint,omitempty"`
	// TookMillis is how long the server took, for a prefill that succeeded.
	TookMillis int64 `cbor:"5,keyasint,omitempty"`
	// AgoMillis is how long before the message was sent it ended.
	AgoMillis int64 `cbor:"6,keyasint,omitempty"`
	// Abandoned says that the server may still hold the request's memory.
	Abandoned bool `cbor:"7,keyasint,omitempty"`
}

// Evidence says what a server did wrong.
type Evidence uint8

const (
	// CallerError is an error that the caller caused. It counts for nothing.
	CallerError Evidence = iota
	// Refused is the server's own refusal for lack of room.
	Refused
	// Unreachable means that no connection could be made.
	Unreachable
	// ServerError is an error answer of the server.
	ServerError
	// Stalled means that the server fell silent or cut the stream.
	Stalled
	// ResultExpired means that a prefill's result was gone when it was fetched.
	ResultExpired
)

// Failure is one piece of evidence against a server.
type Failure struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// Evidence says what it did.
	Evidence Evidence `cbor:"2,keyasint"`
}

// Transfer is one finished KV cache transfer to a decode server.
type Transfer struct {
	// Server is the name of the decode server.
	Server string `cbor:"1,keyasint"`
	// Bytes is the amount moved.
	Bytes int64 `cbor:"2,keyasint"`
	// TookMillis is how long it took.
	TookMillis int64 `cbor:"3,keyasint"`
}

// Refusal says why an ask was not granted.
type Refusal uint8

const (
	// Granted means that the ask was granted.
	Granted Refusal = iota
	// NotOwner means that the server belongs to another instance in the view
	// of the one that was asked, or is not listed.
	NotOwner
	// Leaving means that the server or its data centre takes no new work.
	Leaving
	// Full means that there is not enough room, or too long a queue.
	Full
	// Warming means that the ramp after a cold start leaves no room.
	Warming
	// Broken means that the circuit breaker is open or no report is recent.
	Broken
	// Shared means that another owner may be granting too, so that only a part of the
	// room is given until the grants show in a report.
	Shared
)

// String returns the reason as logs and metrics write it.
func (r Refusal) String() string {
	return [...]string{"granted", "notOwner", "leaving", "full", "warming", "broken", "shared"}[r]
}

// MarshalText lets JSON show counts by name.
func (r Refusal) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Grant answers one Ask.
type Grant struct {
	// Refusal is Granted or the reason.
	Refusal Refusal `cbor:"1,keyasint,omitempty"`
	// Lease is the number to renew and release.
	Lease uint64 `cbor:"2,keyasint,omitempty"`
	// RetryMillis says when room is likely, if refused.
	RetryMillis int64 `cbor:"3,keyasint,omitempty"`
	// ReadyMillis is when a prefill is expected to end, queue included.
	ReadyMillis int64 `cbor:"4,keyasint,omitempty"`
	// DelayMillis is how much later the prefill must start, because the link of
	// the decode server is taken until then.
	DelayMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Load is the load index of one server. It rides on every reply.
type Load struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint"`
	// FreePieces is the room that the owner would grant now.
	FreePieces int64 `cbor:"2,keyasint,omitempty"`
	// TotalPieces is the server's memory; zero if unknown.
	TotalPieces int64 `cbor:"3,keyasint,omitempty"`
	// QueueTokens is the reserved work that isn't done.
	QueueTokens int64 `cbor:"4,keyasint,omitempty"`
	// TokensPerSecond is the estimated speed.
	TokensPerSecond int64 `cbor:"5,keyasint,omitempty"`
	// LinkKilobytes is the estimated rate of its link, in kB a second.
	LinkKilobytes int64 `cbor:"6,keyasint,omitempty"`
	// Closed says that no ask would be granted now, whatever its size.
	Closed bool `cbor:"7,keyasint,omitempty"`
	// Short says that a prefill server has so few prompts that another one is taken
	// whatever its wait.
	Short bool `cbor:"9,keyasint,omitempty"`
	// Resident holds the hashes of resident models and adapters, from ResidentHash.
	Resident []uint32 `cbor:"8,keyasint,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	// Epoch is the owner's incarnation.
	Epoch uint64 `cbor:"1,keyasint,omitempty"`
	// Grants holds one answer for each Ask, in order.
	Grants []Grant `cbor:"2,keyasint,omitempty"`
	// Unknown holds the renewed leases that the owner doesn't have.
	Unknown []uint64 `cbor:"3,keyasint,omitempty"`
	// Loads holds the load of the owned servers of the pool, at most maxLoads.
	Loads []Load `cbor:"4,keyasint,omitempty"`
}
