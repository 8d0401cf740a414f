package figproxy

import (
	"time"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// Fields gives the value of a header field by its name, empty if it isn't there.
type Fields func(name string) string

// Claims is what a caller says of its request.
type Claims struct {
	// ID is the request id, unique for each attempt of the caller.
	ID string
	// Secret is the key's text.
	Secret string
	// Patience is how long the caller waits; 0 if it doesn't say.
	Patience time.Duration
	// PromptTokens and OutputTokens are the declared size; both 0 if there is none.
	PromptTokens, OutputTokens int64
	// After is the id of the last event that the caller has of a stream; empty for
	// none.
	After string
}

// Stage says which part of a model request a server is asked for.
type Stage uint8

const (
	// FullAnswer asks for the answer.
	FullAnswer Stage = iota
	// PrefillOnly asks for the prompt to be computed and kept.
	PrefillOnly
)

// Mark is what the router tells a server beside the caller's own header.
type Mark struct {
	// Server is the name of the only server that may run it.
	Server string
	// Account is the client account's name; empty on open routes.
	Account string
	// Left is the time until the caller stops waiting.
	Left time.Duration
	// Stage is the part that is asked for.
	Stage Stage
	// Result is where a prefill left the KV cache; nil if there is none.
	Result *PrefillResult
	// After is the id of the last event that the caller has; empty for none.
	After string
}

// PrefillResult is a KV cache that a prefill server keeps.
type PrefillResult struct {
	// Address is that server's, Handle its name for the KV cache.
	Address, Handle string
}

// Word is what an answer says beside its body.
type Word struct {
	// NotRun says that the server did not run the request.
	NotRun bool
	// Moved says that another server has the address.
	Moved bool
	// Genuine says that the answer comes from the server's application.
	Genuine bool
	// Erred says that the application answered with an error of its own.
	Erred bool
	// Running, Waiting and Slots are the server's load, if Loaded.
	Running, Waiting, Slots int
	Loaded                  bool
}

// Dialect translates between the router and the callers and servers of a platform.
// Its functions decide nothing and hold no state.
type Dialect struct {
	// IDHeader carries the request id in both directions.
	IDHeader string
	// Claims reads the header of a caller's request.
	Claims func(f Fields) Claims
	// Owned says that a field is the router's or the connection's to set and isn't
	// passed on from callers; the name is in lower case.
	Owned func(name string) bool
	// Mark returns the fields that tell a server of m.
	Mark func(m Mark) []figsend.Header
	// Word reads the header of an answer.
	Word func(status int, f Fields) Word
	// Internal says that a field of an answer is not for callers; the name is in
	// lower case.
	Internal func(name string) bool
	// PrefillResult reads the answer to a prefill.
	PrefillResult func(server string, body []byte) (*PrefillResult, error)
}
