package figsend

import (
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Header is one header field. Names are matched without regard to case.
type Header struct {
	Name, Value string
}

// Call is one request to one backend server.
type Call struct {
	// ID is the request id. It is sent in the sender's IDHeader.
	ID string
	// Host is the host that the request names. Empty means the server's address.
	Host string
	// Server is where the call goes.
	Server figview.Server
	// Method is the HTTP method.
	Method string
	// Path is the path and query, as it stands on the request line.
	Path string
	// Header holds the caller's header fields. Hop-by-hop fields and those that
	// carry the key are not sent.
	Header []Header
	// Body is sent as it is. It is not changed and not kept after the call.
	Body []byte
	// Secret is the caller's key. A call that contains it anywhere else than in
	// a header field, which is left out, is refused. Empty means none.
	Secret string
	// Idempotent allows a kept connection. A call without it gets a new one.
	Idempotent bool
	// Keep allows a kept connection for any call and keeps it afterwards. A call
	// that is lost with its connection has an unknown outcome.
	Keep bool
	// Deadline ends the call. Zero means the context's deadline alone.
	Deadline time.Time
	// MaxAnswer bounds the answer's body in bytes. Zero means the sender's limit.
	MaxAnswer int64
	// MatchEvents requires that each event of a stream carries ID in its "id"
	// field, and that the stream ends with the end marker "[DONE]".
	MatchEvents bool
}

// withoutBody returns what a stream needs of its call, so that the rest can be
// freed while it runs.
func (c *Call) withoutBody() *Call {
	return &Call{ID: c.ID, Server: c.Server, Method: c.Method, MatchEvents: c.MatchEvents}
}

// Answer is a whole answer of a backend server.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the end-to-end header fields.
	Header []Header
	// Body is complete and belongs to the receiver. It is empty and not nil if
	// there is none.
	Body []byte
	// ConnectionID is the generation of the connection that carried it.
	ConnectionID uint64
}

// Get returns the first value of the header field called name, or "".
func (a *Answer) Get(name string) string {
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}
