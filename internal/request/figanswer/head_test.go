package figanswer

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// readHead reads the head of text, whose bytes arrive one at a time if slowly is set, and returns what is left of it.
func readHead(text string, slowly bool) (h *fasthttp.ResponseHeader, rest string, err error) {
	var source io.Reader = strings.NewReader(text)
	if slowly {
		source = iotest.OneByteReader(source)
	}
	r := bufio.NewReaderSize(source, MaxHeadBytes)
	h = &fasthttp.ResponseHeader{}
	if err = ReadHead(r, h); err != nil {
		return h, "", err
	}
	b, err := io.ReadAll(r)
	return h, string(b), err
}

func TestStatusLines(t *testing.T) {
	for line, status := range map[string]int{
		"HTTP/1.1 200 OK":                  200,
		"HTTP/1.0 200 OK":                  200,
		"HTTP/1.1 404":                     404,
		"HTTP/1.1 204 ":                    204,
		"HTTP/1.1 599 Two words\tand more": 599,
		"HTTP/1.1 503 caf\xc3\xa9 \xff":    503,
		"HTTP/1.1 000 OK":                  0,
		"HTTP/1.1 001 OK":                  0,
		"HTTP/1.1 099 OK":                  0,
		"HTTP/1.1 101 Switching Protocols": 0,
		"HTTP/1.1 600 OK":                  0,
		"HTTP/1.1 999 OK":                  0,
		"HTTP/1.1 20 OK":                   0,
		"HTTP/1.1 2000 OK":                 0,
		"HTTP/1.1 +20 OK":                  0,
		"HTTP/1.1 20O OK":                  0,
		"HTTP/1.1  200 OK":                 0,
		"HTTP/1.1\t200 OK":                 0,
		"HTTP/1.1 200\tOK":                 0,
		"HTTP/1.1 200 O\x00K":              0,
		"HTTP/1.1 200 O\rK":                0,
		"HTTP/1.1 200 OK\x7f":              0,
		"HTTP/1.2 200 OK":                  0,
		"HTTP/2.0 200 OK":                  0,
		"HTTP/0.9 200 OK":                  0,
		"http/1.1 200 OK":                  0,
		" HTTP/1.1 200 OK":                 0,
		"HTTP/1.1":                         0,
		"HTTP/1.1 ":                        0,
		"":                                 0,
		"\r\nHTTP/1.1 200 OK":              0,
		"SSH-2.0-OpenSSH":                  0,
	} {
		for _, slowly := range []bool{false, true} {
			h, rest, err := readHead(line+"\r\nContent-Length: 3\r\n\r\nyes", slowly)
			if status == 0 {
				require.ErrorIs(t, err, ErrMalformed, "%q", line)
				continue
			}
			require.NoError(t, err, "%q", line)
			require.Equal(t, status, h.StatusCode())
			require.Equal(t, "yes", rest)
		}
	}
}

func TestInterimAnswers(t *testing.T) {
	const hints, final = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
	for _, c := range []struct {
		text string
		ok   bool
	}{
		{hints + final, true},
		{strings.Repeat(hints, 4) + final, true},
		{strings.Repeat(hints, 5) + final, false},
		{"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + final, false},
		{"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n" + final, false},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n" + final, false},
		{hints + "HTTP/1.1 000 OK\r\n\r\n", false},
		{hints + "yes", false},
	} {
		h, rest, err := readHead(c.text+"yes", false)
		if !c.ok {
			require.Error(t, err, "%q", c.text)
			continue
		}
		require.NoError(t, err, "%q", c.text)
		require.Equal(t, 200, h.StatusCode())
		require.Empty(t, h.Peek("Link"))
		require.Equal(t, "yes", rest)
	}
}

// A head without an end fails once it exceeds its limit, however many interim answers it is divided among.
func TestEndlessHeads(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", MaxHeadBytes/4) + "\r\n\r\n"
	for name, c := range map[string]struct{ begin, fill string }{
		"no line":         {"", "x"},
		"reason":          {"HTTP/1.1 200 ", "x"},
		"name":            {status, "x"},
		"value":           {status + "A: ", "x"},
		"fields":          {status, "A: b\r\n"},
		"short fields":    {status, "A:\r\n"},
		"large fields":    {status, "A: " + strings.Repeat("b", 4<<10) + "\r\n"},
		"interim answers": {"", interim},
		"empty lines":     {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			source := &endless{text: c.begin, fill: c.fill}
			err := ReadHead(bufio.NewReaderSize(source, MaxHeadBytes), &fasthttp.ResponseHeader{})
			require.ErrorIs(t, err, ErrMalformed)
			require.LessOrEqual(t, source.read, MaxHeadBytes+len(interim))
		})
	}
}

// endless is a source that returns text and then fill again and again.
type endless struct {
	text, fill string
	read       int
}

func (e *endless) Read(p []byte) (int, error) {
	if e.text == "" {
		e.text = e.fill
	}
	n := copy(p, e.text)
	e.text = e.text[n:]
	e.read += n
	return n, nil
}

// A head that is cut after any of its bytes fails with the error of the connection.
func TestCutHeads(t *testing.T) {
	const text = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	_, _, err := readHead("", false)
	require.Equal(t, io.EOF, err)
	for n := 1; n < len(text); n++ {
		_, _, err := readHead(text[:n], false)
		require.Equal(t, n == len("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"), errors.Is(err, io.EOF), "cut after %q", text[:n])
		require.NotErrorIs(t, err, ErrMalformed)
		broken := bufio.NewReaderSize(io.MultiReader(strings.NewReader(text[:n]), iotest.ErrReader(iotest.ErrTimeout)), MaxHeadBytes)
		require.Equal(t, iotest.ErrTimeout, ReadHead(broken, &fasthttp.ResponseHeader{}), "broken after %q", text[:n])
	}
}

func TestFields(t *testing.T) {
	for field, ok := range map[string]bool{
		"A: b":                       true,
		"!#$%&'*+-.^_`|~09aZ: b":     true,
		"A:":                         true,
		"A:\tb \t":                   true,
		"A: b\tc \xff":               true,
		"X Broken: y":                false,
		"X-Broken : y":               false,
		"X-Broken\t: y":              false,
		" X-Broken: y":               false,
		"\tX-Broken: y":              false,
		" ":                          false,
		": y":                        false,
		"no colon":                   false,
		"X-\x01: y":                  false,
		"X-\x00: y":                  false,
		"X-\x7f: y":                  false,
		"X-\xe9: y":                  false,
		"X(Y): y":                    false,
		"X: a\x01b":                  false,
		"X: a\x00b":                  false,
		"X: a\rb":                    false,
		"X: a\x7fb":                  false,
		"\r":                         false,
		"Content-Length: 3":          false,
		"Content-Length : 4":         false,
		"Transfer-Encoding: chunked": false,
		"transfer-encoding: chunked": false,
	} {
		for _, text := range []string{"Content-Length: 3\r\n" + field + "\r\nZ: z\r\n", "Z: z\r\n" + field + "\r\nContent-Length: 3\r\n"} {
			for _, slowly := range []bool{false, true} {
				h, rest, err := readHead("HTTP/1.1 200 OK\r\n"+text+"\r\nyes", slowly)
				if !ok {
					require.ErrorIs(t, err, ErrMalformed, "%q", text)
					continue
				}
				require.NoError(t, err, "%q", text)
				require.Equal(t, 3, h.ContentLength())
				require.Equal(t, "z", string(h.Peek("Z")))
				require.Equal(t, "yes", rest)
			}
		}
	}
	_, _, err := readHead("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false)
	require.ErrorIs(t, err, ErrMalformed)
}
