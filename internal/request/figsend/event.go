package figsend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream, in bytes.
const maxEventBytes = 1 << 20

// maxCommentBytes bounds the comments that are kept before an event, in bytes: far more
// than a server sends to keep a connection open between two events.
const maxCommentBytes = 4 << 10

// endMarker is the data of the event that ends a stream of a model engine.
const endMarker = "[DONE]"

var errEventTooLarge = errors.New("an event exceeds its limit")

// Event is one server-sent event.
type Event struct {
	// Name is the event's type, empty for the ordinary one. It is valid until
	// the next call of Next.
	Name []byte
	// Data holds the data lines, joined by newlines. It is valid until the next
	// call of Next.
	Data []byte
	// ID is the event's id, empty if it has none. It is valid until the next call
	// of Next.
	ID []byte
	// Raw holds the bytes of the event as they came, with the comments before it,
	// unless they are very many, and the empty line that ends it. It is valid until the next call of Next.
	Raw []byte
}

// AppendEvent appends e to dst in the form of the wire.
func AppendEvent(dst []byte, e Event) []byte {
	if len(e.Name) > 0 {
		dst = append(dst, "event: "...)
		dst = append(dst, e.Name...)
		dst = append(dst, '\n')
	}
	for line := range bytes.SplitSeq(e.Data, []byte("\n")) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

// eventReader splits a body into events. Its buffers are used again for each.
type eventReader struct {
	lines    *bufio.Reader
	name     []byte
	data     []byte
	id       []byte
	raw      []byte
	longLine []byte
}

// next returns the next event that has data. An end between two events is
// io.EOF, one inside an event io.ErrUnexpectedEOF.
func (r *eventReader) next() (Event, error) {
	r.name, r.data, r.id, r.raw = r.name[:0], r.data[:0], r.id[:0], r.raw[:0]
	begun, hasData := false, false
	for {
		raw, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (begun || len(raw) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		r.raw = append(r.raw, raw...)
		line := trimLine(raw)
		if len(line) == 0 {
			if hasData {
				return Event{Name: r.name, Data: r.data, ID: r.id, Raw: r.raw}, nil
			}
			r.name, r.id, begun = r.name[:0], r.id[:0], false
			if len(r.raw) > maxCommentBytes {
				r.raw = r.raw[:0]
			}
			continue
		}
		begun = begun || line[0] != ':'
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			r.name = append(r.name[:0], value...)
		case "id":
			r.id = append(r.id[:0], value...)
		case "data":
			if hasData {
				r.data = append(r.data, '\n')
			}
			r.data = append(r.data, value...)
			hasData = true
		}
		if len(r.raw) > maxEventBytes {
			return Event{}, errEventTooLarge
		}
	}
}

// line returns the next line with its end.
func (r *eventReader) line() ([]byte, error) {
	r.longLine = r.longLine[:0]
	for {
		part, err := r.lines.ReadSlice('\n')
		if err == nil && len(r.longLine) == 0 {
			return part, nil
		}
		r.longLine = append(r.longLine, part...)
		if len(r.longLine) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if err == nil {
			return r.longLine, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longLine, err
		}
	}
}

func trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
