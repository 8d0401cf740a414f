package figsend

import (
	"bytes"
	"cmp"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// requestIDHeader is the default of Options.IDHeader.
	requestIDHeader = "X-Request-Id"
)

// minSecretBytes is the minimum length at which the secret part of a key is searched for on its own. A shorter one
// could occur in a request by chance.
const minSecretBytes = 16

// hopByHop holds the header fields that apply to one connection only and are not forwarded, in lower case. It includes
// those that are set anew for each request.
var hopByHop = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-connection":    true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"te":                  true,
	"trailer":             true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"expect":              true,
	"content-length":      true,
	"host":                true,
}

// credentials holds the header fields in which callers send their key, in lower case.
var credentials = map[string]bool{
	"authorization": true,
	"x-api-key":     true,
}

var (
	errSecret = errors.New("the path or body of the request contains the caller's key")
	errPath   = errors.New("the path is not a valid request target")
	errMethod = errors.New("the method does not consist of upper-case letters")
	errHeader = errors.New("a header field has an invalid name or value")
)

// keyParts is the number of parts of a key, which are separated by underscores: a prefix, the public part and the
// secret part. Only the secret part may contain underscores.
const keyParts = 3

// secretOf returns the part of a key that must not be sent: its secret part if that has at least minSecretBytes,
// otherwise the whole key.
func secretOf(key string) string {
	parts := strings.SplitN(key, "_", keyParts)
	if secret := parts[len(parts)-1]; len(parts) == keyParts && len(secret) >= minSecretBytes {
		return secret
	}
	return key
}

// validate returns an error for a call whose method or path is malformed, or whose path or body contains the caller's
// key. The path is searched in escaped and in unescaped form.
func validate(c *Call) error {
	if !validMethod(c.Method) {
		return errMethod
	}
	if !validTarget(c.Path) {
		return errPath
	}
	if c.Secret == "" {
		return nil
	}
	secret := secretOf(c.Secret)
	if strings.Contains(c.Path, secret) || bytes.Contains(c.Body, []byte(secret)) {
		return errSecret
	}
	if plain, err := url.QueryUnescape(c.Path); err == nil && strings.Contains(plain, secret) {
		return errSecret
	}
	return nil
}

func validMethod(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return true
}

func validTarget(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func validField(h Header) bool {
	if h.Name == "" {
		return false
	}
	for i := range len(h.Name) {
		if b := h.Name[i]; b <= ' ' || b >= 0x7f || b == ':' {
			return false
		}
	}
	return !strings.ContainsAny(h.Value, "\r\n\x00")
}

// connectionFields returns the names that the Connection fields of header declare as hop-by-hop, in lower case, without
// those that are end-to-end.
func (s *Sender) connectionFields(header []Header) map[string]bool {
	var names map[string]bool
	for _, h := range header {
		if !strings.EqualFold(h.Name, "connection") {
			continue
		}
		for name := range strings.SplitSeq(h.Value, ",") {
			if names == nil {
				names = map[string]bool{}
			}
			if name = strings.ToLower(strings.TrimSpace(name)); !s.opts.EndToEnd(name) {
				names[name] = true
			}
		}
	}
	return names
}

// containsField reports whether header has a field with the given name.
func containsField(header []Header, name string) bool {
	for i := range header {
		if strings.EqualFold(header[i].Name, name) {
			return true
		}
	}
	return false
}

// buildRequest sets q to the request of c, without hop-by-hop fields, credentials and fields that contain the caller's
// key. What the caller declares as hop-by-hop doesn't apply to the fields that the router sets.
func (s *Sender) buildRequest(q *fasthttp.Request, c *Call, m sendMode) error {
	h := &q.Header
	h.SetNoDefaultContentType(true)
	h.SetMethod(c.Method)
	h.SetRequestURI(c.Path)
	h.SetHost(cmp.Or(c.Host, c.Server.Address))
	secret := secretOf(c.Secret)
	declared := s.connectionFields(c.Header)
	for _, f := range c.Header {
		name := strings.ToLower(f.Name)
		if hopByHop[name] || credentials[name] || declared[name] || strings.EqualFold(name, s.opts.IDHeader) ||
			containsField(c.RouterHeader, name) {
			continue
		}
		if secret != "" && (strings.Contains(f.Value, secret) || strings.Contains(f.Name, secret)) {
			continue
		}
		if !validField(f) {
			return errHeader
		}
		h.Add(f.Name, f.Value)
	}
	for _, f := range c.RouterHeader {
		if !validField(f) {
			return errHeader
		}
		h.Add(f.Name, f.Value)
	}
	if c.ID != "" {
		h.Set(s.opts.IDHeader, c.ID)
	}
	if m.streaming {
		h.Set(fasthttp.HeaderAcceptEncoding, "identity")
	}
	if !m.pooled {
		h.SetConnectionClose()
	}
	q.SetBodyRaw(c.Body)
	return nil
}

// endToEndFields returns the header fields of an answer without the hop-by-hop ones and the request id. The code that
// answers the caller sets its own request id.
func (s *Sender) endToEndFields(h *fasthttp.ResponseHeader) []Header {
	fields := make([]Header, 0, h.Len())
	for name, value := range h.All() {
		fields = append(fields, Header{Name: string(name), Value: string(value)})
	}
	declared := s.connectionFields(fields)
	kept := fields[:0]
	for _, f := range fields {
		name := strings.ToLower(f.Name)
		if !hopByHop[name] && !declared[name] && !strings.EqualFold(name, s.opts.IDHeader) {
			kept = append(kept, f)
		}
	}
	return kept
}
