package figsend

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// doAllocations bounds the allocations of a call on a pooled connection: the answer with its header fields and
	// body, the exchange, and the function that closes the connection when the context ends.
	doAllocations = 19
	// doCalls is the number of calls over which the allocations are counted.
	doCalls = 500
	// eventAllocations bounds the allocations of an event: the id that is extracted from it.
	eventAllocations = 1
	// streamEvents is the number of events over which the allocations are averaged.
	streamEvents = 20_000
)

// callWithoutServerAllocs returns a function that makes one call on a pooled connection. The server answers without
// allocating, so that only the allocations of the sender are counted.
func callWithoutServerAllocs(tb testing.TB) func() {
	answer := []byte(ok)
	l := listen(tb, func(c net.Conn) {
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			if err != nil {
				return
			}
			if bytes.HasSuffix(b[:n], []byte("\r\n\r\n")) {
				_, _ = c.Write(answer)
			}
		}
	})
	c := callTo(l.server(), http.MethodGet, true)
	c.Header = []Header{{"Accept", "application/json"}}
	s := newSender(tb, Options{})
	ctx, cancel := context.WithCancel(tb.Context())
	tb.Cleanup(cancel)
	return func() {
		if _, err := s.Do(ctx, c); err != nil {
			tb.Error(err)
		}
	}
}

func TestDoAllocations(t *testing.T) {
	call := callWithoutServerAllocs(t)
	fewest := math.Inf(1)
	for range doCalls {
		fewest = min(fewest, testing.AllocsPerRun(1, call))
	}
	require.LessOrEqual(t, fewest, float64(doAllocations))
	if raceEnabled {
		// The race detector makes sync.Pool drop items at random, so only a call that lost none has a fixed count.
		return
	}
	require.LessOrEqual(t, testing.AllocsPerRun(doCalls, call), float64(doAllocations))
}

// nextEvent returns a function that reads one event of an endless stream.
func nextEvent(tb testing.TB) func() {
	event := []byte(chunked(false, "data: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"word\"}}]}\n\n"))
	l := listen(tb, func(c net.Conn) {
		_, _ = c.Read(make([]byte, 4096))
		_, err := io.WriteString(c, streamHead)
		for err == nil {
			_, err = c.Write(event)
		}
	})
	c := callTo(l.server(), http.MethodPost, false)
	c.MatchEvents = true
	s := newSender(tb, Options{})
	stream, err := s.Stream(context.Background(), c)
	require.NoError(tb, err)
	tb.Cleanup(stream.Close)
	return func() {
		if _, err := stream.Next(stream.exchange.ctx, waitTimeout); err != nil {
			tb.Error(err)
		}
	}
}

func TestStreamAllocations(t *testing.T) {
	allocations := testing.AllocsPerRun(streamEvents, nextEvent(t))
	require.LessOrEqual(t, allocations, float64(eventAllocations))
}

func BenchmarkDo(b *testing.B) {
	call := callWithoutServerAllocs(b)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
}

func BenchmarkStreamEvent(b *testing.B) {
	next := nextEvent(b)
	b.ReportAllocs()
	for b.Loop() {
		next()
	}
}

// TestStreamMemory bounds the memory that an open stream holds while it waits for events, including both ends of its
// connection.
func TestStreamMemory(t *testing.T) {
	const (
		streams = 200
		// A quarter of each stream's share if 5,000 streams use 256 MB.
		limit = 12 << 10
	)
	server := listen(t, func(c net.Conn) {
		b := make([]byte, 4096)
		for {
			n, err := c.Read(b)
			if err != nil || bytes.HasSuffix(b[:n], []byte("end")) {
				break
			}
		}
		_, _ = io.WriteString(c, streamHead+chunked(false, "data: {\"id\":\"r1\"}\n\n"))
	})
	s := newSender(t, Options{})
	open := make([]*Stream, 0, streams)
	before := heap()
	for range streams {
		c := callTo(server.server(), http.MethodPost, false)
		c.Body = append(make([]byte, 100<<10), "end"...)
		stream, err := s.Stream(t.Context(), c)
		require.NoError(t, err)
		_, err = stream.Next(t.Context(), waitTimeout)
		require.NoError(t, err)
		open = append(open, stream)
	}
	used := heap() - before
	for _, stream := range open {
		stream.Close()
	}
	require.Less(t, used/streams, int64(limit))
}

// heap returns the bytes in use after a garbage collection.
func heap() int64 {
	var m runtime.MemStats
	// The second collection empties the victim caches of sync.Pool.
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
