package figproxy

import (
	"time"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// HeaderLookup returns the value of the header field with the given name, or "" if the
// field is missing.
type HeaderLookup func(name string) string

// CallerMetadata is what the header of a caller's request says besides the payload.
type CallerMetadata struct {
	// ID is the request id. Each attempt of a caller has its own.
	ID string
	// Secret is the API key as the caller sent it.
	Secret string
	// CallerTimeout is how long the caller waits for the answer; 0 if it doesn't say.
	CallerTimeout time.Duration
	// PromptTokens and OutputTokens are the declared size in tokens; both are 0 if the
	// caller declares none.
	PromptTokens, OutputTokens int64
	// SharedParts holds the ids of the prompt's parts that other requests may contain as well, in
	// the order of the prompt.
	SharedParts []string
	// LastEventID is the id of the last event that the caller has received of a stream;
	// empty if it has none.
	LastEventID string
}

// Stage says which part of a model request a server has to compute.
type Stage uint8

const (
	// FullAnswer asks for the whole answer.
	FullAnswer Stage = iota
	// PrefillOnly asks the server to compute the prompt and keep its KV cache.
	PrefillOnly
)

// SendMetadata is what the router tells a server in the header, besides the caller's own
// fields.
type SendMetadata struct {
	// Server is the name of the server that the request is meant for. Any other server
	// must refuse it.
	Server string
	// Account is the client account's name; empty on routes without a key.
	Account string
	// Remaining is the time until the caller stops waiting.
	Remaining time.Duration
	// Priority is the published priority plus one, from 1 (first) to 10; 0 if the server isn't told.
	Priority int
	// Stage is the part that the server has to compute.
	Stage Stage
	// PrefillResult is the KV cache that a prefill server computed; nil if there is none.
	PrefillResult *PrefillResult
	// LastEventID is the id of the last event that the caller has received; empty if it
	// has none.
	LastEventID string
}

// PrefillResult identifies a KV cache that a prefill server keeps.
type PrefillResult struct {
	// Address is the prefill server's address. Handle identifies the KV cache there.
	Address, Handle string
}

// AnswerMetadata is what the status and the header of a server's answer say.
type AnswerMetadata struct {
	// NotRun says that the server did not run the request.
	NotRun bool
	// WrongServer says that the server at the address is not the one that the request
	// was meant for.
	WrongServer bool
	// FromApplication says that the server's application wrote the answer, and not a device
	// between the router and the application.
	FromApplication bool
	// ApplicationError says that the application answered with an error of its own.
	ApplicationError bool
	// Running, Waiting and Slots are the server's load: requests running, requests
	// waiting, and the requests that it can run at once. They are valid if HasLoad is set.
	Running, Waiting, Slots int
	HasLoad                 bool
	// WorkPercent is how long work takes at the server now, with 100 as the usual; 0 if unknown.
	WorkPercent int
	// RateLimit is the number of requests a second that the server takes from all instances together.
	// It is valid if Limited is set.
	RateLimit float64
	Limited   bool
	// Leaving says that the server leaves, so that it should get no more requests.
	Leaving bool
	// Pause is the time for which the server takes no more requests from this instance; 0 for none.
	Pause time.Duration
}

// Dialect translates between the router and the callers and servers of a platform.
// Its functions are stateless and only translate; they make no routing decisions.
type Dialect struct {
	// IDHeader is the name of the field that carries the request id in both directions.
	IDHeader string
	// ReadCaller reads the header of a caller's request.
	ReadCaller func(f HeaderLookup) CallerMetadata
	// StripsFromRequest says that the router or the HTTP connection sets this field
	// itself, so that a caller's value is not forwarded. name is in lower case.
	StripsFromRequest func(name string) bool
	// EndToEnd says that this field is meant for the other end even if a Connection field names it. name is in lower
	// case.
	EndToEnd func(name string) bool
	// SendHeader returns the header fields that carry m to a server.
	SendHeader func(m SendMetadata) []figsend.Header
	// ReadAnswer reads the status and the header of a server's answer.
	ReadAnswer func(status int, f HeaderLookup) AnswerMetadata
	// StripsFromAnswer says that this field of a server's answer is not forwarded to
	// callers. name is in lower case.
	StripsFromAnswer func(name string) bool
	// EventFields holds the names of the fields that the events of servers may have besides those of the standard. It
	// isn't nil.
	EventFields []string
	// ReadPrefillResult reads the body of the answer to a prefill. server is the address
	// of the prefill server.
	ReadPrefillResult func(server string, body []byte) (*PrefillResult, error)
}
