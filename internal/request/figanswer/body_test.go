package figanswer

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// readBody reads the head and the body of an answer from source, and returns what is left of it.
func readBody(source io.Reader) (body, rest string, err error) {
	r := bufio.NewReaderSize(source, MaxHeadBytes)
	var h fasthttp.ResponseHeader
	if err := ReadHead(r, &h); err != nil {
		return "", "", err
	}
	b, err := io.ReadAll(Body(r, &h))
	if err != nil {
		return string(b), "", err
	}
	left, err := io.ReadAll(r)
	return string(b), string(left), err
}

func TestBodies(t *testing.T) {
	const sized = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
	for _, c := range []struct{ text, body, rest string }{
		{fmt.Sprintf(sized, 0) + "more", "", "more"},
		{fmt.Sprintf(sized, 5) + "wholemore", "whole", "more"},
		{"HTTP/1.1 200 OK\r\n\r\nwhole", "whole", ""},
		{chunkedHead + "0\r\n\r\nmore", "", "more"},
		{chunkedHead + "5\r\nwhole\r\n0\r\n\r\nmore", "whole", "more"},
		{chunkedHead + "2\r\nwh\r\n03\r\nole\r\n000\r\n\r\n", "whole", ""},
		{chunkedHead + "5;a=b \r\nwhole\r\n0;c\r\n\r\n", "whole", ""},
		{chunkedHead + "5\r\nwhole\r\n0\r\nA: b\r\nC: d\r\n\r\nmore", "whole", "more"},
	} {
		for _, source := range []io.Reader{strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text))} {
			body, rest, err := readBody(source)
			require.NoError(t, err, "%q", c.text)
			require.Equal(t, c.body, body)
			require.Equal(t, c.rest, rest)
		}
	}
}

func TestMalformedChunks(t *testing.T) {
	var fields strings.Builder
	for n := range maxFields + 1 {
		fmt.Fprintf(&fields, "A%d:\r\n", n)
	}
	for _, text := range []string{
		"g\r\nwhole\r\n0\r\n\r\n",
		"-5\r\nwhole\r\n0\r\n\r\n",
		"0x5\r\nwhole\r\n0\r\n\r\n",
		"\r\nwhole\r\n0\r\n\r\n",
		"fffffffffffffffff\r\nwhole\r\n0\r\n\r\n",
		"5\nwhole\r\n0\r\n\r\n",
		"5\r\nwholemore\r\n0\r\n\r\n",
		"5\r\nwhole\n0\r\n\r\n",
		"5\r\nwhole\r\n0\n\r\n",
		"5\r\nwhole\r\n0\r\n\n",
		"5\r\nwhole\r\n0\r\nmore\r\n\r\n",
		"5\r\nwhole\r\n0\r\nX Y: z\r\n\r\n",
		"5\r\nwhole\r\n0\r\nX : z\r\n\r\n",
		"5\r\nwhole\r\n0\r\nX: z\r\n Y: z\r\n\r\n",
		"5\r\nwhole\r\n0\r\nX: \x00\r\n\r\n",
		"5\r\nwhole\r\n0\r\nX: z\n\r\n",
		"5\r\nwhole\r\n0\r\nContent-Length: 5\r\n\r\n",
		"5\r\nwhole\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n",
		"5\r\nwhole\r\n0\r\n" + fields.String() + "\r\n",
		"5\r\nwhole\r\n0\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		for _, source := range []io.Reader{strings.NewReader(chunkedHead + text), iotest.OneByteReader(strings.NewReader(chunkedHead + text))} {
			_, _, err := readBody(source)
			require.ErrorIs(t, err, ErrMalformed, "%q", text)
		}
	}
}

// A body that states its end is never complete without its last byte, and the error of the connection is returned.
func TestCutBodies(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		chunkedHead + "2\r\nwh\r\n3;a\r\nole\r\n0\r\nA: b\r\n\r\n",
	} {
		for n := strings.Index(text, "\r\n\r\n") + 4; n < len(text); n++ {
			_, _, err := readBody(strings.NewReader(text[:n]))
			require.Equal(t, io.ErrUnexpectedEOF, err, "cut after %q", text[:n])
			_, _, err = readBody(io.MultiReader(strings.NewReader(text[:n]), iotest.ErrReader(os.ErrDeadlineExceeded)))
			require.Equal(t, os.ErrDeadlineExceeded, err, "broken after %q", text[:n])
		}
	}
}

// What has been read of a body is returned before the reader waits for more.
func TestBodyDoesNotWait(t *testing.T) {
	source, sink := io.Pipe()
	defer func() { _ = sink.Close() }()
	r := bufio.NewReader(source)
	go func() { _, _ = io.WriteString(sink, chunkedHead) }()
	var h fasthttp.ResponseHeader
	require.NoError(t, ReadHead(r, &h))
	body := Body(r, &h)
	for _, text := range []string{"5\r\nwhole\r\n", "5\r\nwhole\r\n0\r\n"} {
		go func() { _, _ = io.WriteString(sink, text) }()
		b := make([]byte, 64)
		n, err := body.Read(b)
		require.NoError(t, err)
		require.Equal(t, "whole", string(b[:n]))
	}
	go func() { _, _ = io.WriteString(sink, "\r\n") }()
	_, err := body.Read(make([]byte, 64))
	require.Equal(t, io.EOF, err)
}

// Chunks without end fail by their framing if that is much longer than their data, and so does a trailer.
func TestEndlessFraming(t *testing.T) {
	for name, c := range map[string]endless{
		"size":       {text: chunkedHead, fill: "0"},
		"extension":  {text: chunkedHead + "5;", fill: "x"},
		"extensions": {text: chunkedHead, fill: "1;" + strings.Repeat("x", 200) + "\r\ny\r\n"},
		"blanks":     {text: chunkedHead + "5", fill: " "},
		"field":      {text: chunkedHead + "0\r\nA: ", fill: "x"},
		"fields":     {text: chunkedHead + "0\r\n", fill: "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			body, _, err := readBody(&c)
			require.ErrorIs(t, err, ErrMalformed)
			require.LessOrEqual(t, c.read, 2*MaxHeadBytes)
			require.Less(t, len(body), MaxHeadBytes)
		})
	}
}
