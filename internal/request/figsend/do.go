package figsend

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/request/figanswer"
)

// minReadBytes is the room for each read of a body of unknown length.
const minReadBytes = 512

var (
	errUnframed     = errors.New("the answer has neither a content length nor chunks, so truncation can't be detected")
	errBodyTooLarge = errors.New("the body of the answer is too large")
)

// Do sends c once and reads the complete answer. An answer of any status is returned without an error, unless
// Options.IsRefusal reports that the server refused the request (by default, status 429): Do then returns a Failure
// with NotRun, KindRefused and the answer. The answer is complete when its content length or its last chunk has been
// read. An answer that has neither is a failure, unless Options.AllowCloseDelimited is set. All errors are of type
// *Failure.
func (s *Sender) Do(ctx context.Context, c *Call) (*Answer, error) {
	x, f := s.send(ctx, c, sendMode{pooled: c.allowsPooled()})
	if f != nil {
		return nil, f
	}
	answer, f := x.readAnswer()
	var err error
	if f == nil {
		answer, err = x.checkRefusal(answer)
	}
	x.finish(f == nil && c.allowsPooled() && x.hasFraming() && !x.response.ConnectionClose())
	if f != nil {
		return nil, f
	}
	return answer, err
}

// allowsPooled reports whether Do uses a pooled connection for c.
func (c *Call) allowsPooled() bool { return c.Idempotent || c.KeepAlive }

// hasFraming reports whether the end of the answer can be told without closing the connection: it has a content length
// or chunked encoding, or it has no body.
func (x *exchange) hasFraming() bool {
	return figanswer.IsFramed(&x.response.Header) || hasNoBody(x.call.Method, x.response.StatusCode())
}

// checkRefusal returns answer, or a Failure if answer is the server's refusal of the request.
func (x *exchange) checkRefusal(answer *Answer) (*Answer, error) {
	if !x.sender.opts.IsRefusal(answer) {
		return answer, nil
	}
	x.conn.recordRefusal(x.call.ID)
	f := fail(x.call, "answer", KindRefused, NotRun, errors.New("the server refused the request"))
	f.Answer = answer
	return nil, f
}

// readAnswer reads the header and the body of the answer.
func (x *exchange) readAnswer() (*Answer, *Failure) {
	if f := x.readHeader(); f != nil {
		return nil, f
	}
	return x.readBody()
}

// readBody reads the body up to its last byte or chunk. The header must have been read before.
func (x *exchange) readBody() (*Answer, *Failure) {
	r := x.response
	answer := &Answer{
		Status:       r.StatusCode(),
		Header:       x.sender.endToEndFields(&r.Header),
		Body:         []byte{},
		ConnectionID: x.conn.id,
	}
	if hasNoBody(x.call.Method, answer.Status) {
		return answer, nil
	}
	if !figanswer.IsFramed(&r.Header) && !x.allowsCloseDelimited() {
		return nil, fail(x.call, "answer", KindIncomplete, OutcomeUnknown, errUnframed)
	}
	body := heldBuffer{held: &x.held, free: unheldBytes, limit: int(x.maxBody())}
	if err := body.readAll(figanswer.Body(x.reader, &r.Header), r.Header.ContentLength()); err != nil {
		x.held.release()
		return nil, x.failure("answer", err)
	}
	if len(body.bytes) > 0 {
		answer.Body = body.bytes
	}
	return answer, nil
}

// readAll reads a body of length bytes, or of an unknown length if that is negative. It fails if the limit of the buffer
// is exceeded.
func (b *heldBuffer) readAll(body io.Reader, length int) error {
	if length > b.limit {
		return errBodyTooLarge
	}
	if length >= 0 {
		if err := b.grow(length); err != nil {
			return err
		}
		b.bytes = b.bytes[:length]
		_, err := io.ReadFull(body, b.bytes)
		return err
	}
	for len(b.bytes) <= b.limit {
		if err := b.grow(min(minReadBytes, b.limit+1-len(b.bytes))); err != nil {
			return err
		}
		n, err := body.Read(b.bytes[len(b.bytes):cap(b.bytes)])
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case err == nil || len(b.bytes) > b.limit:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return err
		}
	}
	return errBodyTooLarge
}

// allowsCloseDelimited reports whether the end of the connection may end the answer. It may not for HTTP/1.0, and not
// after a failed write, to which the kernel has reported a reset of the connection: a read then finds only its end.
func (x *exchange) allowsCloseDelimited() bool {
	return x.sender.opts.AllowCloseDelimited && x.response.Header.IsHTTP11() && x.writeFailure == nil
}

// maxBody returns the limit on the answer's body, in bytes.
func (x *exchange) maxBody() int64 {
	if x.call.MaxBodyBytes > 0 {
		return x.call.MaxBodyBytes
	}
	return x.sender.opts.MaxBodyBytes
}

// hasNoBody reports whether HTTP defines the answer to have no body, whatever its header says.
func hasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
