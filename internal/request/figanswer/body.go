package figanswer

import (
	"bufio"
	"io"
	"net"
	"net/http/httputil"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Content lengths that fasthttp reports for a body without one.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// IsFramed reports whether the answer states where its body ends. Otherwise the body ends with the connection.
func IsFramed(h *fasthttp.ResponseHeader) bool { return h.ContentLength() > lengthUnknown }

// Body returns the body of the answer whose head was read from r into h. It doesn't use h later. Read returns io.EOF only
// at the end that the head states, after the last chunk and the trailer, or, if it states none, at the end of r.
func Body(r *bufio.Reader, h *fasthttp.ResponseHeader) io.Reader {
	switch n := h.ContentLength(); {
	case n >= 0:
		return &sizedBody{source: r, left: n}
	case n == lengthChunked:
		return &chunkedBody{source: r, chunks: httputil.NewChunkedReader(r)}
	default:
		return r
	}
}

// sizedBody is a body of a known length.
type sizedBody struct {
	source *bufio.Reader
	left   int
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.source.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, noEOF(err)
}

// chunkedBody is a body in chunks, with a trailer, which is checked and dropped.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	// atTrailer says that the last chunk has been read, err the result of reading the trailer after it.
	atTrailer bool
	err       error
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	switch {
	case b.err != nil:
		return 0, b.err
	case b.atTrailer:
		b.err = b.readTrailer()
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		b.atTrailer, err = true, nil
		if n == 0 && len(p) > 0 {
			return b.Read(p)
		}
	}
	return n, asMalformed(err)
}

// readTrailer reads the fields after the last chunk. It returns io.EOF, with which the body ends, if they are well-formed.
func (b *chunkedBody) readTrailer() error {
	f, err := checkFields(b.source, 0, MaxHeadBytes)
	if err != nil {
		return err
	}
	var h fasthttp.ResponseHeader
	if err := h.ReadTrailer(b.source); err != nil {
		return malformed(err)
	}
	if f.hasLength || f.isChunked {
		return errTwoLengths
	}
	return io.EOF
}

// noEOF replaces io.EOF, which came before the end that the answer states.
func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// asMalformed marks an error of the reader of chunks, unless it comes from the connection.
func asMalformed(err error) error {
	var connection net.Error
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &connection) {
		return err
	}
	return malformed(err)
}
