// Package figanswer reads HTTP/1 answers and refuses those that are malformed or ambiguous. A lenient reader guesses:
// it takes status 000 for 200, or a field whose name ends in a blank for the field without it. Two readers that guess
// differently see different answers in the same bytes.
//
// An answer is malformed if
//
//   - its version isn't HTTP/1.0 or HTTP/1.1, or its status isn't from 100 to 599,
//   - a line doesn't end with CRLF, or continues the line before it,
//   - the name of a field isn't a token, such as one with a blank, or its value has a control byte,
//   - its length is stated twice, or both as a length and by chunks,
//   - it switches protocols, which no request asks for,
//   - its head, with those of the interim (1xx) answers before it, exceeds MaxHeadBytes or 100 fields,
//   - its chunks or their trailer break these rules or those of net/http/httputil.
//
// # Usage
//
//	var h fasthttp.ResponseHeader
//	if err := figanswer.ReadHead(r, &h); err != nil {
//		return err // errors.Is(err, figanswer.ErrMalformed), or the error of reading from r
//	}
//	body, err := io.ReadAll(figanswer.Body(r, &h))
//
// The caller decides whether the answer has a body at all, which depends on the request's method. After an error, the
// connection must be closed, as nobody knows where the next answer begins.
package figanswer
