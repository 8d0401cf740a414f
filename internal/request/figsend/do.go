package figsend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// lengthUnknown is the content length that fasthttp reports for a body that ends when the connection closes.
const lengthUnknown = -2

// lengthChunked is the content length that fasthttp reports for a chunked body.
const lengthChunked = -1

var errUnframed = errors.New("the answer has neither a content length nor chunks, so truncation can't be detected")

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
	return x.response.Header.ContentLength() > lengthUnknown ||
		hasNoBody(x.call.Method, x.response.StatusCode())
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
	length := r.Header.ContentLength()
	if length <= lengthUnknown && !x.allowsCloseDelimited() {
		return nil, fail(x.call, "answer", KindIncomplete, OutcomeUnknown, errUnframed)
	}
	h := holder{exchange: x}
	if err := h.holdLength(int64(length)); err != nil {
		return nil, h.failure(err)
	}
	if length < 0 {
		x.conn.onRead = h.grow
		defer func() { x.conn.onRead = nil }()
	}
	if err := r.ReadBody(x.reader, int(x.maxBody())); err != nil {
		return nil, h.failure(err)
	}
	if length == lengthChunked {
		if err := r.Header.ReadTrailer(x.reader); err != nil {
			return nil, h.failure(err)
		}
	}
	if b := r.SwapBody(nil); len(b) > 0 {
		answer.Body = b
	}
	return answer, nil
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
