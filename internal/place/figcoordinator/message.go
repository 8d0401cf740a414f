package figcoordinator

import (
	"math"
	"time"

	"figtrail.dev/figtrail/internal/place/figbalancer"
)

// Request asks for a placement.
type Request struct {
	// Instance and Incarnation identify the run of the instance that asks. Number identifies the request
	// among those of that run.
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
	// Pool is the pool's name, and Account the client account's, by which requests are queued.
	Pool    string `cbor:"4,keyasint"`
	Account string `cbor:"5,keyasint,omitempty"`
	// DataCentre is the data centre whose servers are preferred.
	DataCentre string `cbor:"6,keyasint"`
	// PromptTokens is the length of the prompt, and Tokens the engine memory that the request needs before
	// its first event, in tokens. The coordinator adds the output that it expects.
	PromptTokens int64 `cbor:"7,keyasint"`
	Tokens       int64 `cbor:"8,keyasint"`
	// Priority orders requests in the queue; higher values go first.
	Priority int `cbor:"9,keyasint,omitempty"`
	// Wait is how long the request may wait for room, and Lasts how long it may run at most.
	Wait  time.Duration `cbor:"10,keyasint"`
	Lasts time.Duration `cbor:"11,keyasint"`
	// NoPrefill says that no prefill server is needed.
	NoPrefill bool `cbor:"12,keyasint,omitempty"`
	// Excluded holds the lifetimes of servers that must not be picked.
	Excluded []string `cbor:"13,keyasint,omitempty"`
	// Importance is the published priority plus one, from 1 (first) to 10; 0 if the sender knows none.
	// AccountImportance says that it is the account's, not the route's.
	Importance        int  `cbor:"14,keyasint,omitempty"`
	AccountImportance bool `cbor:"15,keyasint,omitempty"`
	// Age is the time since the caller's first attempt of this request arrived, as far as its timeout shows.
	Age time.Duration `cbor:"16,keyasint,omitempty"`
	// RouteImportance is the route's if AccountImportance is set; 0 if the sender knows none.
	RouteImportance int `cbor:"17,keyasint,omitempty"`
}

// arrivedAt returns when the caller's first attempt arrived, by the clock of the coordinator. It is the zero time if
// this is the first attempt. The queue bounds and counts absurd ages; here only the negation must not overflow.
func (q *Request) arrivedAt(now time.Time) time.Time {
	if q.Age == 0 {
		return time.Time{}
	}
	return now.Add(-max(q.Age, -math.MaxInt64))
}

// Status says how a request for a placement ended.
type Status uint8

// The states of a request for a placement.
const (
	// Placed means that the request may be sent to the servers in the answer.
	Placed Status = iota
	// Waiting means that the request is queued; the caller asks again with Await.
	Waiting
	// Refused means that the request was not placed.
	Refused
	// Unknown means that the coordinator holds no such request.
	Unknown
)

// Answer is the answer to a Request or an Await.
type Answer struct {
	Status Status `cbor:"1,keyasint"`
	// Decode and Prefill are the lifetimes of the servers; Prefill is empty if the decode server computes
	// the prompt.
	Decode  string `cbor:"2,keyasint,omitempty"`
	Prefill string `cbor:"3,keyasint,omitempty"`
	// RetryAfter is when room is expected, 0 if unknown, Full whether the servers lack room, and Reason
	// why the request was refused.
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	Full       bool          `cbor:"5,keyasint,omitempty"`
	Reason     string        `cbor:"6,keyasint,omitempty"`
	// Limits holds rate limits of the pool's servers that the coordinator knows.
	Limits []Limit `cbor:"7,keyasint,omitempty"`
	// Revision and Epoch are the position of the coordinator's list of servers. Elsewhere says that it coordinates no
	// server of the pool by its list of members.
	Revision  uint64 `cbor:"8,keyasint,omitempty"`
	Elsewhere bool   `cbor:"9,keyasint,omitempty"`
	Epoch     uint64 `cbor:"10,keyasint,omitempty"`
	// Reserved says that an engine was reserved for the request before it was placed.
	Reserved bool `cbor:"11,keyasint,omitempty"`
}

// Await asks for the answer to a waiting request.
type Await struct {
	Key Key `cbor:"1,keyasint"`
}

// Key identifies a request for a placement.
type Key struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Number      uint64 `cbor:"3,keyasint"`
}

// key returns the key of a request.
func (q *Request) key() Key { return Key{q.Instance, q.Incarnation, q.Number} }

// Part is a part of a placement.
type Part uint8

// The parts of a placement.
const (
	// Whole is the whole placement, also one that is still queued.
	Whole Part = iota
	// PrefillPart is the work at the prefill server.
	PrefillPart
	// PrefillReport is a result of the prefill server that was noticed after the end of its work.
	PrefillReport
	// AnswerReport is what the beginning of an answer says of the decode server; the answer goes on.
	AnswerReport
)

// End ends a placement or a part of it.
type End struct {
	Number uint64 `cbor:"1,keyasint"`
	Part   Part   `cbor:"2,keyasint,omitempty"`
	// Result says how the send to the server ended. Nothing is recorded of it if NoResult is set.
	Result   figbalancer.Result `cbor:"3,keyasint"`
	NoResult bool               `cbor:"4,keyasint,omitempty"`
	// OutputTokens is the length of a complete answer, in tokens; 0 if the answer is not complete.
	OutputTokens int64 `cbor:"5,keyasint,omitempty"`
}

// Ends carries the ends of several placements of one instance.
type Ends struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	All         []End  `cbor:"3,keyasint"`
}

// Held is a request in progress at an engine, as reported to the engine's new coordinator.
type Held struct {
	Number uint64        `cbor:"1,keyasint"`
	Pool   string        `cbor:"2,keyasint"`
	Decode string        `cbor:"3,keyasint"`
	Tokens int64         `cbor:"4,keyasint"`
	Lasts  time.Duration `cbor:"5,keyasint"`
}

// Adopt reports the requests in progress of one instance to a new coordinator of their engines, and the
// rate limits of these.
type Adopt struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	All         []Held `cbor:"3,keyasint"`
	// Limits holds the rate limits that the instance knows of servers of the new coordinator.
	Limits []Limit `cbor:"4,keyasint,omitempty"`
}

// Limit is a rate limit that a server named, in requests a second of all instances.
type Limit struct {
	Pool      string  `cbor:"1,keyasint"`
	Lifetime  string  `cbor:"2,keyasint"`
	PerSecond float64 `cbor:"3,keyasint"`
}

// Ack is the empty answer to Ends and Adopt.
type Ack struct{}
