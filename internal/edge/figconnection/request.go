package figconnection

import "github.com/valyala/fasthttp"

// Size returns the number of bytes of a request with a body of bodyBytes as it came, for Conn.Take; -1 for a body in chunks.
func Size(r *fasthttp.Request, bodyBytes int) int {
	const lineBytes = len("  HTTP/1.1\r\n")
	if r.Header.ContentLength() == -1 {
		return -1
	}
	return len(r.Header.Method()) + len(r.Header.RequestURI()) + lineBytes + len(r.Header.RawHeaders()) + bodyBytes
}

// HasNext reports whether a further request, or a part of one, has come on the connection. That one would be lost if the
// connection was closed after the answer to this one.
func HasNext(c *fasthttp.RequestCtx) bool {
	n, ok := c.Conn().(*Conn)
	return ok && n.HasNext()
}
