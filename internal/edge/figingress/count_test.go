package figingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While the instance drains, the answer to the only request that has come must tell that its connection is closed, however the request is written.
func TestDrainingAnswerClosesConnection(t *testing.T) {
	multipart := "--b\r\nContent-Disposition: form-data; name=x\r\n\r\nv\r\n--b--\r\n"
	for name, text := range map[string]string{
		"plain":        request("/a"),
		"empty line":   "\r\n" + request("/a"),
		"no body":      "GET /a HTTP/1.1\r\nHost: h\r\nId: a1\r\n\r\n",
		"get, body":    "GET /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody",
		"absolute URI": "POST http://h/a?b=c HTTP/1.1\r\nHost: h\r\nId: a1\r\nContent-Length: 4\r\n\r\nbody",
		"folded":       "POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nX:   y  \r\nContent-Length: 4\r\n\r\nbody",
		"multipart": fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\n%s",
			len(multipart), multipart),
		"multipart with preamble": fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nContent-Type: multipart/form-data; boundary=b\r\nContent-Length: %d\r\n\r\nabcd\r\n%s",
			len(multipart)+6, multipart),
		"chunked": "POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startStoppable(t, listen(t), echo)
			s.draining.Store(true)
			c := s.dial()
			c.write(text)
			a := c.read()
			require.Equal(t, 200, a.status)
			require.True(t, a.closes)
			s.stop(time.Second)
		})
	}
}
