package figsend

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream, and each line in it, in bytes.
const maxEventBytes = 1 << 20

// maxCommentBytes bounds the lines without data, such as comments, that Event.Raw keeps before an event, in bytes. It
// is far more than servers send between two events to keep a connection open.
const maxCommentBytes = 4 << 10

// endMarker is the data of the last event in a model engine's stream.
const endMarker = "[DONE]"

var (
	errEventTooLarge = errors.New("a server-sent event exceeds 1 MiB")
	errEventLine     = errors.New("a line is not a field of a server-sent event")
)

// Event is one server-sent event. Its slices are valid until the next call of Stream.Next.
type Event struct {
	// Name is the value of the "event" field, the event's type. It is empty for the default type.
	Name []byte
	// Data holds the values of the "data" fields, joined by newlines.
	Data []byte
	// ID is the value of the "id" field, empty if there is none.
	ID []byte
	// Raw holds the event as received, with the empty line that ends it and the comments before it. Comments that
	// exceed 4 KiB are left out.
	Raw []byte
}

// AppendEvent appends e's name and data to dst in text/event-stream format.
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

// eventReader splits a body into server-sent events. It reuses its buffers for each event.
type eventReader struct {
	lines *bufio.Reader
	// fields holds the names of fields besides those of the standard that lines may have. Nil accepts all lines.
	fields   []string
	name     []byte
	data     []byte
	id       []byte
	raw      []byte
	longLine []byte
}

// next returns the next event that has data. It returns io.EOF if the body ends between two events, and
// io.ErrUnexpectedEOF if it ends inside one. It returns errEventLine for a line that r.fields doesn't allow.
func (r *eventReader) next() (Event, error) {
	r.name, r.data, r.id, r.raw = r.name[:0], r.data[:0], r.id[:0], r.raw[:0]
	inEvent, hasData := false, false
	for {
		raw, err := r.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (inEvent || len(raw) > 0) {
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
			r.name, r.id, inEvent = r.name[:0], r.id[:0], false
			if len(r.raw) > maxCommentBytes {
				r.raw = r.raw[:0]
			}
			continue
		}
		inEvent = inEvent || line[0] != ':'
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
		case "", "retry":
		default:
			if r.fields != nil && !slices.Contains(r.fields, string(field)) {
				return Event{}, errEventLine
			}
		}
		if len(r.raw) > maxEventBytes {
			return Event{}, errEventTooLarge
		}
	}
}

// line returns the next line with its line ending. The slice is valid until the next call.
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
