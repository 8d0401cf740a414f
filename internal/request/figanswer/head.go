package figanswer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// MaxHeadBytes bounds the head of an answer with those of the interim answers before it, and its trailer. The
	// buffer of the reader bounds each of them too.
	MaxHeadBytes = 16 << 10
	// maxFields bounds the fields of a head or a trailer, as a parsed field takes far more memory than a short line.
	maxFields = 100
	// maxHeads bounds the interim answers and the final one.
	maxHeads = 5
)

// statusLine matches a version, a status from 100 to 599 and an optional reason without control bytes.
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-5][0-9][0-9]( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)

// ErrMalformed is wrapped by the errors of answers that break the rules of the package.
var ErrMalformed = errors.New("malformed answer")

var (
	errStatusLine  = malformed(errors.New("no status line of HTTP/1.0 or HTTP/1.1"))
	errInterim     = malformed(errors.New("too many interim (1xx) answers"))
	errInterimBody = malformed(errors.New("an interim (1xx) answer with a length"))
	errUpgrade     = malformed(errors.New("another protocol"))
	errLineEnd     = malformed(errors.New("a line without CRLF at its end"))
	errFieldName   = malformed(errors.New("the name of a field is not a token"))
	errTooLarge    = malformed(errors.New("the head or the trailer is too large"))
	errTwoLengths  = malformed(errors.New("both a length and chunks, or chunks in HTTP/1.0"))
)

func malformed(cause error) error { return fmt.Errorf("%w: %w", ErrMalformed, cause) }

// ReadHead reads the head of the final answer from r into h, and skips those of interim answers. It returns an error
// that wraps ErrMalformed, or the error of r: io.EOF before a head, io.ErrUnexpectedEOF inside one.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	left := MaxHeadBytes
	for range maxHeads {
		n, err := checkHead(r, left)
		if err != nil {
			return err
		}
		left -= n
		if err := h.Read(r); err != nil {
			return malformed(err)
		}
		switch status := h.StatusCode(); {
		case status >= fasthttp.StatusOK:
			return nil
		case status == fasthttp.StatusSwitchingProtocols:
			return errUpgrade
		case h.ContentLength() > lengthUnknown:
			return errInterimBody
		}
	}
	return errInterim
}

// checkHead waits until r has buffered a whole head, and returns its length. Each line is checked as it arrives, so that
// a malformed head fails without a wait for its end.
func checkHead(r *bufio.Reader, limit int) (int, error) {
	line, err := peekLine(r, 0, limit)
	if err != nil {
		return 0, err
	}
	if !statusLine.Match(line) {
		return 0, errStatusLine
	}
	isHTTP10 := bytes.HasPrefix(line, []byte("HTTP/1.0"))
	f, err := checkFields(r, len(line)+len("\r\n"), limit)
	if err != nil {
		return 0, err
	}
	if f.isChunked && (f.hasLength || isHTTP10) {
		return 0, errTwoLengths
	}
	return f.end, nil
}

// fields says what checkFields found.
type fields struct {
	// end is the number of buffered bytes up to the end of the empty line after the fields.
	end int
	// hasLength and isChunked say that there is a Content-Length and a Transfer-Encoding.
	hasLength, isChunked bool
}

// checkFields checks the names of the fields of a head or a trailer, from the byte begin of the buffer up to the empty
// line after them. The values are left to fasthttp.
func checkFields(r *bufio.Reader, begin, limit int) (fields, error) {
	f := fields{end: begin}
	for range maxFields + 1 {
		line, err := peekLine(r, f.end, limit)
		if err != nil {
			return f, noEOF(err)
		}
		f.end += len(line) + len("\r\n")
		if len(line) == 0 {
			return f, nil
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return f, errFieldName
		}
		f.hasLength = f.hasLength || bytes.EqualFold(name, []byte(fasthttp.HeaderContentLength))
		f.isChunked = f.isChunked || bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding))
	}
	return f, errTooLarge
}

// isToken reports whether name is a token of RFC 9110, which has no blanks.
func isToken(name []byte) bool {
	for _, b := range name {
		isAlphanumeric := '0' <= b && b <= '9' || 'A' <= b && b <= 'Z' || 'a' <= b && b <= 'z'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// peekLine returns the line that begins at the byte begin of r's buffer, without its CRLF, and reads more if r has
// buffered only a part of it. The line is valid until the next read.
func peekLine(r *bufio.Reader, begin, limit int) ([]byte, error) {
	for searched := begin; ; {
		b, _ := r.Peek(r.Buffered())
		b = b[:min(len(b), limit)]
		if i := bytes.IndexByte(b[searched:], '\n'); i >= 0 {
			line, ok := bytes.CutSuffix(b[begin:searched+i], []byte("\r"))
			if !ok {
				return nil, errLineEnd
			}
			return line, nil
		}
		searched = len(b)
		if searched >= limit {
			return nil, errTooLarge
		}
		_, err := r.Peek(searched + 1)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil, errTooLarge
		case errors.Is(err, io.EOF) && searched > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
}
