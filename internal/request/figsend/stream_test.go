package figsend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// streamHead is the header of a stream with chunked encoding.
const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunked returns each part as a chunk, followed by the last chunk if whole is set.
func chunked(whole bool, parts ...string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(strconv.FormatInt(int64(len(p)), 16) + "\r\n" + p + "\r\n")
	}
	if whole {
		b.WriteString("0\r\n\r\n")
	}
	return b.String()
}

func TestStreamEnds(t *testing.T) {
	const (
		one  = "data: {\"id\":\"cmpl-r1\",\"n\":1}\n\n"
		two  = "data: {\"id\":\"r1\",\"n\":2}\r\n\r\n"
		done = "data: [DONE]\n\n"
	)
	identity := strings.Replace(streamHead, "Transfer-Encoding: chunked", "X: y", 1)
	tests := []struct {
		name   string
		text   string
		match  bool
		events int
		kind   Kind // KindOther means that the stream ends with io.EOF
	}{
		{"marker", streamHead + chunked(true, one, two+done), true, 2, 0},
		{"end marker before the connection is lost", streamHead + chunked(false, one, two, done), true, 2, 0},
		{"end marker without length", identity + one + done, true, 1, 0},
		{"last chunk without end marker", streamHead + chunked(true, one, two), true, 2, KindIncomplete},
		{"last chunk, no end marker required", streamHead + chunked(true, "data: a\ndata: b\n\n", "event: x\ndata: c\n\n"), false, 2, 0},
		{"end marker not required, then another event", streamHead + chunked(true, done, "data: a\n\n"), false, 2, 0},
		{"end marker not required, connection lost after it", streamHead + chunked(false, done), false, 1, KindIncomplete},
		{"neither length nor end marker", identity + "data: a\n\n", false, 1, KindIncomplete},
		{"connection lost between events", streamHead + chunked(false, one), true, 1, KindIncomplete},
		{"connection lost within an event", streamHead + chunked(false, one, "data: {\"id\""), true, 1, KindIncomplete},
		{"last chunk within an event", streamHead + chunked(true, one, "data: [DONE]\n"), true, 1, KindIncomplete},
		{"connection lost within a chunk", streamHead + chunked(false, one) + "40\r\ndata: [DO", true, 1, KindIncomplete},
		{"id of another request", streamHead + chunked(true, one, "data: {\"id\":\"cmpl-r2\"}\n\n", done), true, 1, KindMismatched},
		{"id after an unknown prefix", streamHead + chunked(true, "data: {\"id\":\"crossed-r1\"}\n\n", done), true, 0, KindMismatched},
		{"longer id", streamHead + chunked(true, "data: {\"id\":\"xr1\"}\n\n", done), true, 0, KindMismatched},
		{"no id", streamHead + chunked(true, "data: {\"n\":1}\n\n", done), true, 0, KindMismatched},
		{"error event", streamHead + chunked(true, "data: {\"error\":{}}\n\n", done), true, 1, 0},
		{"comments", streamHead + chunked(true, ": ping\n\n", "retry: 1\n\n", one, done), true, 1, 0},
		{"very many comments", streamHead + chunked(true, strings.Repeat(": ping\n\n", maxEventBytes/4), one, done), true, 1, 0},
		{"data line too long", streamHead + chunked(true, "data: "+strings.Repeat("x", maxEventBytes+1)+"\n\n", done), false, 0, KindTooLarge},
		{"too many lines", streamHead + chunked(true, strings.Repeat("data: "+strings.Repeat("x", 999)+"\n", 1100)), false, 0, KindTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSender(t, Options{})
			c := callTo(oneAnswerServer(t, tt.text, true), http.MethodPost, false)
			c.MatchEvents = tt.match
			stream, err := s.Stream(t.Context(), c)
			require.NoError(t, err)
			defer stream.Close()
			events := 0
			for {
				_, err = stream.Next(t.Context(), waitTimeout)
				if err != nil {
					break
				}
				events++
			}
			require.Equal(t, tt.events, events)
			if tt.kind == KindOther {
				require.Equal(t, io.EOF, err)
			} else {
				requireKind(t, err, tt.kind, OutcomeUnknown)
			}
			require.Equal(t, tt.kind == KindMismatched, s.Mismatched.Load() == 1)
			_, again := stream.Next(t.Context(), waitTimeout)
			require.Equal(t, err, again, "Next returns the same error again")
		})
	}
}

// With EventFields, lines that no event has end the stream, and all others are passed on unchanged.
func TestLinesThatEventsDoNotHave(t *testing.T) {
	const one = "id: 1\ndata: a\n\n"
	for text, events := range map[string]int{
		one:                             1,
		": comment\n\n:\n" + one:        1,
		"version: 7\n" + one:            1,
		"retry: 9\r\n\r\n" + one:        1,
		"\r\n\n" + one:                  1,
		"event\nid\ndata\n\n":           1,
		"Version: 7\n" + one:            0,
		"versions: 7\n" + one:           0,
		" data: a\n\n":                  0,
		"Data: a\n\n":                   0,
		"HTTP/1.1 503 No\r\n\r\n" + one: 0,
		"full\n\n" + one:                0,
		"full\n\n":                      0,
		"{}\n" + one:                    0,
	} {
		s := newSender(t, Options{EventFields: []string{"version"}})
		stream, err := s.Stream(t.Context(), callTo(oneAnswerServer(t, streamHead+chunked(true, text), true), http.MethodPost, false))
		require.NoError(t, err)
		e, err := stream.Next(t.Context(), waitTimeout)
		if events == 0 {
			requireKind(t, err, KindOther, OutcomeUnknown)
			continue
		}
		require.NoError(t, err, "%q", text)
		require.Equal(t, text, string(e.Raw))
		_, err = stream.Next(t.Context(), waitTimeout)
		require.Equal(t, io.EOF, err)
	}
}

func TestStreamOfAnotherType(t *testing.T) {
	s := newSender(t, Options{})
	stream, err := s.Stream(t.Context(), callTo(oneAnswerServer(t, ok, true), http.MethodPost, false))
	require.NoError(t, err)
	defer stream.Close()
	require.Equal(t, "yes", string(stream.Answer.Body))
	_, err = stream.Next(t.Context(), waitTimeout)
	require.Equal(t, io.EOF, err)

	_, err = s.Stream(t.Context(), callTo(oneAnswerServer(t, refusal, true), http.MethodPost, false))
	requireKind(t, err, KindRefused, NotRun)
}

// TestStreamStalls has the server send only comments, or nothing, after one event. Comments must not extend the stall
// limit.
func TestStreamStalls(t *testing.T) {
	for _, more := range []string{"", chunked(false, ": ping\n\n")} {
		server := listen(t, func(c net.Conn) {
			_, _ = http.ReadRequest(newReader(c))
			_, err := io.WriteString(c, streamHead+chunked(false, "data: a\n\n"))
			for err == nil && more != "" {
				_, err = io.WriteString(c, more)
			}
		})
		for _, kind := range []Kind{KindStalled, KindDeadline} {
			s := newSender(t, Options{})
			c := callTo(server.server(), http.MethodPost, false)
			stall := shortTimeout
			if kind == KindDeadline {
				c.Deadline, stall = time.Now().Add(10*shortTimeout), time.Hour
			}
			stream, err := s.Stream(t.Context(), c)
			require.NoError(t, err)
			_, err = stream.Next(t.Context(), waitTimeout)
			require.NoError(t, err)
			_, err = stream.Next(t.Context(), stall)
			requireKind(t, err, kind, OutcomeUnknown)
			require.Equal(t, kind == KindStalled, s.Stalled.Load() == 1)
		}
	}
}

// TestStreamGivenUp has a stream given up while Next waits for a silent server.
func TestStreamGivenUp(t *testing.T) {
	server := listen(t, func(c net.Conn) {
		_, _ = http.ReadRequest(newReader(c))
		_, _ = io.WriteString(c, streamHead+chunked(false, "data: a\n\n"))
		_, _ = io.Copy(io.Discard, c)
	})
	s := newSender(t, Options{})
	stream, err := s.Stream(t.Context(), callTo(server.server(), http.MethodPost, false))
	require.NoError(t, err)
	_, err = stream.Next(t.Context(), waitTimeout)
	require.NoError(t, err)
	time.AfterFunc(shortTimeout, stream.GiveUp)
	_, err = stream.Next(t.Context(), waitTimeout)
	requireKind(t, err, KindStalled, OutcomeUnknown)
	require.EqualValues(t, 1, s.Stalled.Load())
}

// TestStreamGivenUpAfterItsEnd has a stream given up of which everything has been received.
func TestStreamGivenUpAfterItsEnd(t *testing.T) {
	server := oneAnswerServer(t, streamHead+chunked(true, "data: a\n\n", "data: b\n\n"), true)
	stream, err := newSender(t, Options{}).Stream(t.Context(), callTo(server, http.MethodPost, false))
	require.NoError(t, err)
	_, err = stream.Next(t.Context(), waitTimeout)
	require.NoError(t, err)
	stream.GiveUp()
	_, err = stream.Next(t.Context(), waitTimeout)
	require.NoError(t, err)
	_, err = stream.Next(t.Context(), waitTimeout)
	require.Equal(t, io.EOF, err)
}

func TestStreamCancelled(t *testing.T) {
	cancels := map[string]func(stream *Stream, cancelSend, cancelNext context.CancelFunc){
		"close":          func(s *Stream, _, _ context.CancelFunc) { s.Close() },
		"send's context": func(_ *Stream, c, _ context.CancelFunc) { c() },
		"next's context": func(_ *Stream, _, c context.CancelFunc) { c() },
	}
	for name, cancel := range cancels {
		t.Run(name, func(t *testing.T) {
			sendCtx, cancelSend := context.WithCancel(t.Context())
			defer cancelSend()
			nextCtx, cancelNext := context.WithCancel(t.Context())
			defer cancelNext()
			s := newSender(t, Options{})
			open := make(chan *Stream, 1)
			cancelAll := func() { cancel(<-open, cancelSend, cancelNext) }
			cancelCloses(t, streamHead, cancelAll, func(server figview.Server) error {
				stream, err := s.Stream(sendCtx, callTo(server, http.MethodPost, false))
				open <- stream
				if err != nil {
					return err
				}
				_, err = stream.Next(nextCtx, time.Hour)
				return err
			})
		})
	}
}

// eventsOf returns a reader of events with a read buffer of size bytes.
func eventsOf(wire []byte, size int) eventReader {
	r := newEventReader(bytes.NewReader(nil), nil, nil)
	r.lines = bufio.NewReaderSize(bytes.NewReader(wire), size)
	return r
}

func TestEventRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.StringMatching(`[a-z: ]{1,9}(\n[a-z: ]{0,9}){0,3}`)).Draw(t, "data")
		var wire []byte
		for _, d := range data {
			wire = AppendEvent(wire, Event{Name: []byte("n"), Data: []byte(d)})
		}
		size := rapid.IntRange(16, 64).Draw(t, "buffer")
		r := eventsOf(wire, size)
		for _, d := range data {
			e, err := r.next()
			require.NoError(t, err)
			require.Equal(t, d, string(e.Data))
			require.Equal(t, "n", string(e.Name))
		}
		_, err := r.next()
		require.Equal(t, io.EOF, err)
	})
}

// FuzzEvents checks that the size of the read buffer makes no difference to the events that are read from arbitrary
// bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("event: a\ndata: b\r\n\r\n: c\n\ndata:d\ndata\n\ndata: [DONE]\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		small := eventsOf(wire, 16)
		large := eventsOf(wire, 1<<16)
		for {
			a, failed := small.next()
			b, err := large.next()
			require.Equal(t, err, failed)
			if err != nil {
				return
			}
			require.Equal(t, string(b.Data), string(a.Data))
			require.Equal(t, string(b.Name), string(a.Name))
			require.Equal(t, string(b.ID), string(a.ID))
			require.Equal(t, string(b.Raw), string(a.Raw))
		}
	})
}
