package figingress

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/edge/figconnection"
	"figtrail.dev/figtrail/internal/limit/figmemory"
)

const (
	// firstBodyBytes is the size of the first buffer for a body in chunks.
	firstBodyBytes = 4 << 10
	// tooLargeField marks the head of a request whose announced body is too large. No caller can send a field of this
	// name, as the colon ends a name.
	tooLargeField = ":too-large"
	// connectionParts is the size of a connection's buffers and stacks in parts of its largest head.
	connectionParts = 2
)

// ConnectionBytes returns the memory that a connection takes with heads of at most headerLimit bytes.
func ConnectionBytes(headerLimit int) int64 { return connectionParts * int64(headerLimit) }

// receiveHeader makes the handler run before the body is read if the body is large or too large.
func (s *Server) receiveHeader(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	length := h.ContentLength()
	switch {
	case length > s.opts.BodyLimit:
		h.SetContentLength(0)
		h.Set(tooLargeField, "1")
	case length > figmemory.SmallBytes:
		// fasthttp reads at most this many bytes of a body before the handler.
		return fasthttp.RequestConfig{MaxRequestBodySize: 1}
	}
	return fasthttp.RequestConfig{}
}

// expect decides whether a caller that waits for a 100 (Continue) is to send its body.
func (s *Server) expect(c *fasthttp.RequestCtx) int {
	n, ok := c.Conn().(*figconnection.Conn)
	if !ok {
		return fasthttp.StatusExpectationFailed
	}
	if err := s.reserveBody(c, n); err != nil {
		s.handleError(c, err)
		return c.Response.StatusCode()
	}
	return fasthttp.StatusContinue
}

// reserveBody reserves memory for a body of an announced length. It fails with errTooLarge or errNoMemory.
func (s *Server) reserveBody(c *fasthttp.RequestCtx, n *figconnection.Conn) error {
	if len(c.Request.Header.Peek(tooLargeField)) > 0 {
		return errTooLarge
	}
	length := c.Request.Header.ContentLength()
	if length <= 0 || n.Holding.Held(figmemory.Bodies) > 0 {
		return nil
	}
	if !n.Holding.TryGrow(figmemory.Bodies, int64(length)) {
		return errNoMemory
	}
	return nil
}

// readBody reads the body of a request, for which it reserves memory before. Its errors are those that handleError knows.
func (s *Server) readBody(c *fasthttp.RequestCtx, n *figconnection.Conn) ([]byte, error) {
	if err := s.reserveBody(c, n); err != nil {
		return nil, err
	}
	r := c.RequestBodyStream()
	length := c.Request.Header.ContentLength()
	if r == nil || length == 0 {
		return nil, nil
	}
	if length < 0 {
		return s.readChunks(r, n)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, unexpected(err)
	}
	return body, nil
}

// readChunks reads a body of unknown length into a buffer that doubles whenever it is full.
func (s *Server) readChunks(r io.Reader, n *figconnection.Conn) ([]byte, error) {
	size := min(firstBodyBytes, s.opts.BodyLimit+1)
	if !n.Holding.TryGrow(figmemory.Bodies, int64(size)) {
		return nil, errNoMemory
	}
	body := make([]byte, 0, size)
	for {
		read, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+read]
		switch {
		case len(body) > s.opts.BodyLimit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, unexpected(err)
		case len(body) < cap(body):
			continue
		}
		// One byte more than the limit shows that the body is too large.
		size = min(2*cap(body), s.opts.BodyLimit+1)
		if !n.Holding.TryGrow(figmemory.Bodies, int64(size)) {
			return nil, errNoMemory
		}
		grown := make([]byte, len(body), size)
		copy(grown, body)
		n.Holding.Shrink(figmemory.Bodies, int64(cap(body)))
		body = grown
	}
}

// unexpected returns the error for the end of a connection inside a body.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
