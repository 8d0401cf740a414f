package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// NewID returns a new id of a client attempt.
func NewID() string { return fmt.Sprintf("%016x", uint64(time.Now().UnixNano())<<8|lastID.Add(1)&0xff) }

// Reply is what a client got.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	// Err is why the answer isn't complete.
	Err  error
	Took time.Duration
}

// Client is a client's channel.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel to a machine.
func Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: c, reader: bufio.NewReader(c)}, nil
}

// Close closes the channel.
func (c *Client) Close() { _ = c.conn.Close() }

// Do sends a request as it is and reads the answer to it for at most limit.
func (c *Client) Do(request []byte, limit time.Duration) Reply {
	begun := time.Now()
	_ = c.conn.SetDeadline(begun.Add(limit))
	if _, err := c.conn.Write(request); err != nil {
		return Reply{Err: err, Took: time.Since(begun)}
	}
	return c.read(begun)
}

// paceSteps is the number of parts in which DoOver sends a request.
const paceSteps = 64

// DoOver is like Do with a request whose sending takes a time, as on a slow link.
func (c *Client) DoOver(request []byte, over, limit time.Duration) Reply {
	begun := time.Now()
	_ = c.conn.SetDeadline(begun.Add(limit))
	for n := range paceSteps {
		if _, err := c.conn.Write(request[len(request)*n/paceSteps : len(request)*(n+1)/paceSteps]); err != nil {
			return Reply{Err: err, Took: time.Since(begun)}
		}
		time.Sleep(over / paceSteps)
	}
	return c.read(begun)
}

func (c *Client) read(begun time.Time) Reply {
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Reply{Err: err, Took: time.Since(begun)}
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return Reply{Status: a.StatusCode, Header: a.Header, Body: body, Err: err, Took: time.Since(begun)}
}

// Send sends a request on a new channel.
func Send(address string, request []byte, limit time.Duration) Reply {
	c, err := Dial(address)
	if err != nil {
		return Reply{Err: err}
	}
	defer c.Close()
	return c.Do(request, limit)
}
