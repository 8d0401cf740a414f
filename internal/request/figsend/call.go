package figsend

import (
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Header is one header field. Names are case-insensitive.
type Header struct {
	Name, Value string
}

// Call is one request to one backend server.
type Call struct {
	// ID is the request id, sent in the header field Options.IDHeader. If it is empty, no id is sent and the ids in
	// answers are not checked.
	ID string
	// Host is the value of the Host header. Empty means the server's address.
	Host string
	// Server is the backend server that the request is sent to.
	Server figview.Server
	// Method is the HTTP method.
	Method string
	// Path is the path and query in escaped form, as in the request line.
	Path string
	// Header holds the caller's header fields. Hop-by-hop fields, credentials and fields that contain Secret are not
	// sent.
	Header []Header
	// RouterHeader holds the header fields that the router sets itself. They replace the caller's fields of the same
	// names, and no Connection field of the caller removes them.
	RouterHeader []Header
	// Body is sent unchanged. It is not modified, and not referenced after the call or once a stream is open.
	Body []byte
	// Secret is the caller's key. Header fields that contain it are left out; a call whose path or body contains it
	// fails with KindInvalid. Empty means that there is no key.
	Secret string
	// Idempotent says that the call may be repeated. Do then uses a pooled connection, which it doesn't do for other
	// calls unless KeepAlive is set.
	Idempotent bool
	// KeepAlive makes Do and Stream use a pooled connection and return it to the pool after a complete answer, also for a
	// call that isn't idempotent. If the server closes the pooled connection as the call is sent, the call fails with
	// OutcomeUnknown.
	KeepAlive bool
	// Deadline is when the call fails with KindDeadline. Zero means that only the context's deadline applies.
	Deadline time.Time
	// MaxBodyBytes bounds the answer's body. Zero means Options.MaxBodyBytes.
	MaxBodyBytes int64
	// MatchEvents requires that the JSON data of each event of a stream has an "id" that names the request (see
	// MatchesRequestID) or is an error without an id, and that the stream ends with an event whose data is "[DONE]".
	MatchEvents bool
}

// withoutBody returns a copy with only the fields that an open stream needs, so that the body and the header can be
// freed while the stream is read.
func (c *Call) withoutBody() *Call {
	return &Call{ID: c.ID, Server: c.Server, Method: c.Method, MatchEvents: c.MatchEvents}
}

// Answer is a complete answer (HTTP response) of a backend server.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end header fields, without the request id.
	Header []Header
	// Body is the complete body, owned by the receiver. It is empty but not nil if the answer has no body.
	Body []byte
	// ConnectionID identifies the connection that carried the answer. It is unique within the Sender.
	ConnectionID uint64
}

// Get returns the first value of the header field name, or "" if there is none.
func (a *Answer) Get(name string) string {
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
