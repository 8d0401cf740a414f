package figingress

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/request/figproxy"
)

// A request behind one whose answer closes the connection must not reset it before a slow caller has read that answer.
func TestPipelinedRequestResetsNoAnswer(t *testing.T) {
	body := strings.Repeat("x", 16<<20)
	s := startServer(t, func(*figproxy.Call) *figproxy.Reply {
		return &figproxy.Reply{Status: http.StatusOK, Body: []byte(body)}
	})
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	defer func() { require.NoError(t, c.Close()) }()
	first := "POST /a HTTP/1.1\r\nHost: h\r\nId: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	second := "POST /b HTTP/1.1\r\nHost: h\r\nId: a2\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("y", 900)
	_, err = io.WriteString(c, first+strings.Repeat(second, 8))
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, a.Body.Close()) }()
	got := 0
	p := make([]byte, 64<<10)
	for {
		n, err := a.Body.Read(p)
		got += n
		if err == io.EOF {
			break
		}
		require.NoError(t, err, "after %d bytes", got)
		time.Sleep(time.Millisecond)
	}
	require.Equal(t, len(body), got)
}
