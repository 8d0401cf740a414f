package figfetch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// bodyLimit is the limit on bodies in these tests.
	bodyLimit = 100 << 10
	// testTimeout is the time limit of a call.
	testTimeout = 10 * time.Second
)

// rawService answers each request with the next of its texts, and the last one again and again.
type rawService struct {
	net.Listener
	// connections and requests count what has come, closed what the client has closed.
	connections, requests, closed atomic.Int64
}

func newRawService(t *testing.T, texts ...string) *rawService {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &rawService{Listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(c, texts)
		}
	}()
	return s
}

func (s *rawService) serve(c net.Conn, texts []string) {
	defer func() { _ = c.Close() }()
	defer s.closed.Add(1)
	for r := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		n := int(s.requests.Add(1))
		if _, err := io.WriteString(c, texts[min(n, len(texts))-1]); err != nil {
			return
		}
	}
}

func (s *rawService) client() *Client {
	return New(Options{Address: s.Addr().String(), Timeout: testTimeout, BodyLimit: bodyLimit, Header: "Era"})
}

const soundAnswer = "HTTP/1.1 200 OK\r\nEra: 7\r\nContent-Length: 2\r\n\r\n{}"

func TestGet(t *testing.T) {
	s := newRawService(t, soundAnswer, "HTTP/1.1 429 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n")
	c := s.client()
	for _, want := range []Response{{200, []byte("{}"), "7"}, {429, []byte{}, ""}, {410, []byte{}, ""}} {
		got, err := c.Get(t.Context(), "/x?y=z", 0)
		require.NoError(t, err)
		require.Equal(t, want, *got)
	}
	require.EqualValues(t, 1, s.connections.Load())
}

// An answer in doubt must fail, its connection must be closed, and the next call must get the answer to itself.
func TestAnswersInDoubt(t *testing.T) {
	const sized = "Content-Length: 2\r\n\r\n{}"
	for name, text := range map[string]string{
		"status 000":         "HTTP/1.1 000 OK\r\n" + sized,
		"status 600":         "HTTP/1.1 600 OK\r\n" + sized,
		"another protocol":   "HTTP/1.1 101 OK\r\n" + sized,
		"blank in a name":    "HTTP/1.1 200 OK\r\nX Y: z\r\n" + sized,
		"blank after a name": "HTTP/1.1 200 OK\r\nEra : 9\r\n" + sized,
		"folded line":        "HTTP/1.1 200 OK\r\nEra: 9\r\n Z: 9\r\n" + sized,
		"two lengths":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
		"trailer":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: z\r\n\r\n",
		"endless fields":     "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", 4000),
		"endless body":       "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 2*bodyLimit),
		"endless chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 2*bodyLimit),
	} {
		t.Run(name, func(t *testing.T) {
			s := newRawService(t, text, soundAnswer)
			c := s.client()
			_, err := c.Get(t.Context(), "/x", 0)
			require.Error(t, err)
			require.Eventually(t, func() bool { return s.closed.Load() == 1 }, testTimeout, time.Millisecond)
			got, err := c.Get(t.Context(), "/x", 0)
			require.NoError(t, err)
			require.Equal(t, "7", got.Header)
		})
	}
}

// Bytes after an answer belong to no call, whether they come with it or later.
func TestSecondAnswers(t *testing.T) {
	s := newRawService(t, soundAnswer+"HTTP/1.1 200 OK\r\nEra: 9\r\nContent-Length: 2\r\n\r\n[]", soundAnswer)
	c := s.client()
	for range 2 {
		got, err := c.Get(t.Context(), "/x", 0)
		require.NoError(t, err)
		require.Equal(t, "7", got.Header)
		require.Equal(t, "{}", string(got.Body))
	}
	require.EqualValues(t, 2, s.connections.Load())
}

// A call must end with its context, and at its deadline, while the service is silent.
func TestGetEnds(t *testing.T) {
	s := newRawService(t, "HTTP/1.1 200 OK\r\n")
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := s.client().Get(ctx, "/x", 0)
	require.ErrorIs(t, err, context.Canceled)
	c := New(Options{Address: s.Addr().String(), Timeout: 20 * time.Millisecond, BodyLimit: bodyLimit})
	_, err = c.Get(t.Context(), "/x", 20*time.Millisecond)
	require.Error(t, err)
	require.NotErrorIs(t, err, context.Canceled)
}
