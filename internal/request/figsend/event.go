package figsend

import (
	"bufio"
	"bytes"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// maxEventBytes bounds one event of a stream with the comments before it, in bytes.
	maxEventBytes = 1 << 20
	// unheldEventBytes is the size up to which the buffers of a stream need no reservation. It is smaller than that of
	// answers, as a stream keeps its buffers between events.
	unheldEventBytes = 4 << 10
)

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

// span is a part of eventReader.raw. The buffer may move while an event is read, so that it can't be kept as a slice.
type span struct{ begin, end int }

// eventReader splits a body into server-sent events. It reuses its buffers for each event.
type eventReader struct {
	lines *bufio.Reader
	// fields holds the names of fields besides those of the standard that lines may have. Nil accepts all lines.
	fields []string
	// raw holds the event as received, data the values of its "data" fields.
	raw, data heldBuffer
	// name and id are the values of the last "event" and "id" fields.
	name, id span
	// held is the memory that the buffers have reserved.
	held *reservation
}

// newEventReader returns a reader of the events of body, for which memory is reserved above unheldEventBytes.
func newEventReader(body io.Reader, fields []string, held *reservation) eventReader {
	empty := heldBuffer{held: held, free: unheldEventBytes, limit: maxEventBytes}
	return eventReader{lines: bufio.NewReaderSize(body, lineBufferBytes), fields: fields, raw: empty, data: empty, held: held}
}

// next returns the next event that has data. It returns io.EOF if the body ends between two events, and
// io.ErrUnexpectedEOF if it ends inside one. It returns errEventLine for a line that r.fields doesn't allow.
func (r *eventReader) next() (Event, error) {
	r.reset()
	inEvent, hasData := false, false
	for {
		line, err := r.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (inEvent || line.end > line.begin) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		text := trimLine(r.raw.bytes[line.begin:line.end])
		if len(text) == 0 {
			if hasData {
				return Event{Name: r.text(r.name), Data: r.data.bytes, ID: r.text(r.id), Raw: r.raw.bytes}, nil
			}
			r.name, r.id, inEvent = span{}, span{}, false
			if len(r.raw.bytes) > maxCommentBytes {
				r.raw.bytes = r.raw.bytes[:0]
			}
			continue
		}
		inEvent = inEvent || text[0] != ':'
		field, value, _ := bytes.Cut(text, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		at := span{begin: line.begin + len(text) - len(value), end: line.begin + len(text)}
		switch string(field) {
		case "event":
			r.name = at
		case "id":
			r.id = at
		case "data":
			if err := r.appendData(value, hasData); err != nil {
				return Event{}, err
			}
			hasData = true
		case "", "retry":
		default:
			if r.fields != nil && !slices.Contains(r.fields, string(field)) {
				return Event{}, errEventLine
			}
		}
	}
}

// reset forgets the last event. Buffers that have grown are dropped, so that a stream holds no more than its events need.
func (r *eventReader) reset() {
	r.name, r.id = span{}, span{}
	if max(cap(r.raw.bytes), cap(r.data.bytes)) > unheldEventBytes {
		r.raw.bytes, r.data.bytes = nil, nil
		r.held.release()
	}
	r.raw.bytes, r.data.bytes = r.raw.bytes[:0], r.data.bytes[:0]
}

// text returns the bytes of a part of the event.
func (r *eventReader) text(s span) []byte { return r.raw.bytes[s.begin:s.end] }

// appendData appends a line of data, after a newline if it isn't the first.
func (r *eventReader) appendData(value []byte, hasData bool) error {
	if hasData {
		if err := r.data.append('\n'); err != nil {
			return err
		}
	}
	return r.data.append(value...)
}

// readLine appends the next line to r.raw, with its line ending. If the body ends before that, it returns the part of
// the line that has been read.
func (r *eventReader) readLine() (span, error) {
	line := span{begin: len(r.raw.bytes), end: len(r.raw.bytes)}
	for {
		part, readErr := r.lines.ReadSlice('\n')
		if len(r.raw.bytes)+len(part) > maxEventBytes {
			return line, errEventTooLarge
		}
		if err := r.raw.append(part...); err != nil {
			return line, err
		}
		line.end = len(r.raw.bytes)
		if !errors.Is(readErr, bufio.ErrBufferFull) {
			return line, readErr
		}
	}
}

func trimLine(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
