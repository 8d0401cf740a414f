package figsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

// listener is a loopback listener. Its connections are closed at the end of the test.
type listener struct {
	net.Listener
	mu         sync.Mutex
	conns      []net.Conn
	goroutines sync.WaitGroup
}

// listen starts a listener that calls serve for each connection in a new goroutine.
func listen(t testing.TB, serve func(net.Conn)) *listener {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &listener{Listener: n}
	l.goroutines.Go(func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			l.mu.Lock()
			l.conns = append(l.conns, c)
			l.mu.Unlock()
			l.goroutines.Go(func() { serve(c) })
		}
	})
	t.Cleanup(l.closeAll)
	return l
}

func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

func (l *listener) server() figview.Server {
	return figview.Server{Name: "worker", Address: l.Addr().String()}
}

// rawServer writes the result of answer for each request, and closes the connection if the result is empty. runs
// counts the requests that have been read.
type rawServer struct {
	*listener
	runs atomic.Int64
}

func newRawServer(t *testing.T, answer func(run int64, q *http.Request) string) *rawServer {
	t.Helper()
	s := &rawServer{}
	s.listener = listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		r := bufio.NewReader(c)
		for {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err = io.Copy(io.Discard, q.Body); err != nil {
				return
			}
			text := answer(s.runs.Add(1), q)
			if _, err = io.WriteString(c, text); err != nil || text == "" {
				return
			}
		}
	})
	return s
}

func okServer(t *testing.T) *rawServer {
	t.Helper()
	return newRawServer(t, func(int64, *http.Request) string { return ok })
}

// oneAnswerServer starts a server that reads one request from each connection, writes text, and closes the connection
// if closes is set.
func oneAnswerServer(t *testing.T, text string, closes bool) figview.Server {
	t.Helper()
	l := listen(t, func(c net.Conn) {
		_, _ = http.ReadRequest(newReader(c))
		_, _ = io.WriteString(c, text)
		if closes {
			_ = c.Close()
		}
	})
	return l.server()
}

// refusal is the answer of a server that refuses the request.
const refusal = "HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n"

// ok is a complete answer with the body "yes".
const ok = okHead + "yes"

// okHead is the header of ok.
const okHead = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"

func newSender(t testing.TB, opts Options) *Sender {
	t.Helper()
	s := New(opts)
	t.Cleanup(s.Close)
	return s
}

func callTo(server figview.Server, method string, idempotent bool) *Call {
	c := &Call{ID: "r1", Server: server, Method: method, Path: "/x", Idempotent: idempotent}
	if method != http.MethodGet && method != http.MethodHead {
		c.Body = []byte(`{"n":1}`)
	}
	return c
}

func newReader(c net.Conn) *bufio.Reader { return bufio.NewReader(c) }

// closedByPeer returns a channel that is closed when the peer has closed c.
func closedByPeer(c net.Conn) <-chan struct{} {
	closed := make(chan struct{})
	go func() {
		_, _ = io.Copy(io.Discard, c)
		close(closed)
	}()
	return closed
}

func requireKind(t *testing.T, err error, kind Kind, ran Outcome) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind.String(), KindOf(err).String(), err)
	require.Equal(t, ran.String(), OutcomeOf(err).String(), err)
}

func requireFailure(t *testing.T, s *Sender, c *Call, kind Kind, ran Outcome) {
	t.Helper()
	_, err := s.Do(t.Context(), c)
	requireKind(t, err, kind, ran)
}

func requireAnswer(t *testing.T, s *Sender, c *Call) *Answer {
	t.Helper()
	answer, err := s.Do(t.Context(), c)
	require.NoError(t, err)
	return answer
}

// dialThen returns a dial function that passes each new connection through then.
func dialThen(then func(net.Conn) (net.Conn, error)) func(context.Context, string, time.Duration) (net.Conn, error) {
	return func(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
		c, err := fignet.Dialer{}.Dial(ctx, address, limit)
		if err != nil {
			return nil, err
		}
		return then(c)
	}
}

// cancelCloses calls cancel when the server has read the request of do and has written begin, the beginning of the
// answer. It checks that do then fails with KindCancelled and that the connection is closed.
func cancelCloses(t *testing.T, begin string, cancel func(), do func(figview.Server) error) {
	t.Helper()
	arrived := make(chan (<-chan struct{}), 1)
	server := listen(t, func(c net.Conn) {
		_, _ = http.ReadRequest(newReader(c))
		_, _ = io.WriteString(c, begin)
		arrived <- closedByPeer(c)
	})
	failed := make(chan error, 1)
	go func() { failed <- do(server.server()) }()
	closed := <-arrived
	cancel()
	<-closed
	requireKind(t, <-failed, KindCancelled, OutcomeUnknown)
}

// relayTo starts a relay in front of a server and returns the relay and its address.
func relayTo(t *testing.T, to figview.Server) (*figemulator.Relay, figview.Server) {
	t.Helper()
	r, err := figemulator.StartRelay(to.Address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = r.Close() })
	return r, figview.Server{Name: to.Name, Address: r.Address()}
}
