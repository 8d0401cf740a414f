package figpeer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcwire"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// maxSocketBytes is the most that the buffers of a connection hold.
const maxSocketBytes = 8 << 20

// faultyPeer sends a text again and again once a call has come, until the connection is closed. It adds the bytes to sent.
func faultyPeer(t *testing.T, text []byte, sent *atomic.Int64, closed chan<- struct{}) figview.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = c.Read(make([]byte, 4<<10))
		for err == nil {
			var n int
			n, err = c.Write(text)
			sent.Add(int64(n))
		}
		close(closed)
	}()
	return figview.Member{Name: "b", Address: l.Addr().String()}
}

// An answer of another instance that is no answer must fail its call, and its connection must be closed before the answer
// exceeds what one may have.
func TestAnswersInDoubt(t *testing.T) {
	data := make([]byte, 64<<10)
	frame := func(kind drpcwire.Kind, done bool) []byte {
		return drpcwire.AppendFrame(nil, drpcwire.Frame{Data: data, ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: kind, Done: done})
	}
	for name, text := range map[string][]byte{
		"HTTP":                    []byte("HTTP/1.1 000 OK\r\nX Y: z\r\n\r\n"),
		"no frames":               []byte(strings.Repeat("\xff", 64<<10)),
		"zeros":                   data,
		"message without end":     frame(drpcwire.KindMessage, false),
		"error without end":       frame(drpcwire.KindError, false),
		"message that is no CBOR": frame(drpcwire.KindMessage, true),
		"frame without end":       append(drpcwire.AppendFrame(nil, drpcwire.Frame{ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage})[:3], 0xff, 0xff, 0xff, 0x7f),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var sent atomic.Int64
			closed := make(chan struct{})
			m := faultyPeer(t, text, &sent, closed)
			c := NewClient(ClientOptions{Timeout: 10 * time.Second})
			_, err := Call[echoMessage, echoMessage](context.Background(), c, m, "echo", &echoMessage{Text: "hello"})
			require.Error(t, err)
			require.NotErrorIs(t, err, context.DeadlineExceeded)
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				require.Fail(t, "the connection stays open")
			}
			require.Less(t, sent.Load(), int64(2*MaxMessageBytes+maxSocketBytes))
			require.NoError(t, c.Close())
		})
	}
}
