package figsend

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// lengthUnknown is what the library gives as the length of a body that ends
// with its connection.
const lengthUnknown = -2

// lengthChunked is what the library gives as the length of a chunked body.
const lengthChunked = -1

var errUnframed = errors.New("the answer has neither a length nor chunks, so its end can't be proved")

// Do sends c once and reads the whole answer. Any status but 429 is an answer.
// A 429 is the server's own refusal and comes back as a Failure with NotRun. All
// errors are of type *Failure. The answer's end is proved by its length or its
// last chunk; an answer without either is a failure.
func (s *Sender) Do(ctx context.Context, c *Call) (*Answer, error) {
	x, f := s.send(ctx, c, sendMode{pooled: c.allowsPooled()})
	if f != nil {
		return nil, f
	}
	answer, f := x.readAnswer()
	x.finish(f == nil && c.allowsPooled() && x.hasFraming() && !x.response.ConnectionClose())
	if f != nil {
		return nil, f
	}
	return s.checkRefusal(c, answer)
}

// allowsPooled says that c may use a kept connection.
func (c *Call) allowsPooled() bool { return c.Idempotent || c.Keep }

// hasFraming says that the answer's own framing shows its end.
func (x *exchange) hasFraming() bool {
	return x.response.Header.ContentLength() > lengthUnknown ||
		hasNoBody(x.call.Method, x.response.StatusCode())
}

// checkRefusal turns the server's own refusal into a failure.
func (s *Sender) checkRefusal(c *Call, answer *Answer) (*Answer, error) {
	if !s.opts.Refused(answer) {
		return answer, nil
	}
	f := fail(c, "answer", KindRefused, NotRun, errors.New("the server refused the request"))
	f.Answer = answer
	return nil, f
}

// readAnswer reads the answer with its body.
func (x *exchange) readAnswer() (*Answer, *Failure) {
	if f := x.readHeader(); f != nil {
		return nil, f
	}
	return x.readBody()
}

// readBody reads the readBody to its proved end.
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
	if length <= lengthUnknown && !x.sender.opts.CloseEnds {
		return nil, fail(x.call, "answer", KindCut, Unknown, errUnframed)
	}
	if err := r.ReadBody(x.reader, int(x.maxBody())); err != nil {
		return nil, x.failure("answer", err)
	}
	if length == lengthChunked {
		if err := r.Header.ReadTrailer(x.reader); err != nil {
			return nil, x.failure("answer", err)
		}
	}
	if b := r.SwapBody(nil); len(b) > 0 {
		answer.Body = b
	}
	return answer, nil
}

// maxBody returns the largest body that the call accepts, in bytes.
func (x *exchange) maxBody() int64 {
	if x.call.MaxAnswer > 0 {
		return x.call.MaxAnswer
	}
	return x.sender.opts.MaxAnswer
}

// hasNoBody says that an answer has no body, whatever its header says.
func hasNoBody(method string, status int) bool {
	return method == fasthttp.MethodHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}
