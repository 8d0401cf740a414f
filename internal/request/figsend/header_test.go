package figsend

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHeadersSent(t *testing.T) {
	const key = "ft_k1_0123456789abcdefgh"
	got := make(chan *http.Request, 1)
	server := newRawServer(t, func(_ int64, q *http.Request) string {
		got <- q
		return "HTTP/1.1 200 OK\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nX-Request-Id: r1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nKeep-Alive: 3\r\nContent-Length: 0\r\n\r\n"
	})
	c := callTo(server.server(), http.MethodPost, false)
	c.Secret = key
	c.Header = []Header{
		{"authorization", "Bearer " + key},
		{"X-API-Key", "other"},
		{"X-Copy", "0123456789abcdefgh"},
		{"Cookie", "k=" + key},
		{"Connection", "keep-alive, X-Named"},
		{"X-Named", "1"},
		{"Transfer-Encoding", "chunked"},
		{"Content-Length", "7777"},
		{"Expect", "100-continue"},
		{"Upgrade", "h2c"},
		{"TE", "trailers"},
		{"Proxy-Authorization", "x"},
		{"X-Request-Id", "forged"},
		{"Idempotency-Key", "abc-1"},
		{"Content-Type", "application/json"},
		{"X-Twice", "1"},
		{"X-Twice", "2"},
	}
	answer := requireAnswer(t, newSender(t, Options{}), c)
	require.Equal(t, []Header{{"Set-Cookie", "a=1"}, {"Set-Cookie", "b=2"}, {"X-End", "2"}}, answer.Header)
	q := <-got
	require.Equal(t, http.Header{
		"Content-Length":  {"7"},
		"Content-Type":    {"application/json"},
		"Connection":      {"close"},
		"Idempotency-Key": {"abc-1"},
		"X-Request-Id":    {"r1"},
		"X-Twice":         {"1", "2"},
	}, q.Header)
}

func TestSecretOf(t *testing.T) {
	require.Equal(t, "0123456789abcdef", secretOf("ft_k1_0123456789abcdef"))
	require.Equal(t, "0123_56789_bcdef_hi", secretOf("ft_k1_0123_56789_bcdef_hi"))
	require.Equal(t, "ft_k1_short", secretOf("ft_k1_short"))
	require.Equal(t, "plain", secretOf("plain"))
	require.Empty(t, secretOf(""))
}
