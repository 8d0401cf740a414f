// Package figfetch sends HTTP GET requests to the platform. Each request has a
// deadline and is never retried. Paths and formats are left to the caller; answers
// are read by figsend, which refuses malformed ones.
//
// # Usage
//
//	c := figfetch.New(figfetch.Options{Address: "10.0.0.1:8000", BodyLimit: 4 << 20})
//	answer, err := c.Get(ctx, "/values?after=3", 20*time.Second)
//
// The deadline of a call is the long poll's wait plus Options.Timeout. A connection
// whose peer no longer acknowledges data or probes is closed after 3 s, which ends
// a long poll on it.
package figfetch

import (
	"context"
	"net/http"
	"time"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// defaultTimeout is the default of Options.Timeout.
	defaultTimeout = 2 * time.Second
	// maxConnections bounds the connections to the service: three long polls and a reserve for other calls.
	maxConnections = 8
	// idleTimeout closes idle connections before most proxies drop them.
	idleTimeout = 10 * time.Second
	// unackedTimeout closes a connection whose peer acknowledges nothing, so that a waiting long poll fails and is
	// sent again: a change must be active within 2 s of the end of an outage of 3 s.
	unackedTimeout = 3 * time.Second
	// noTimeout is longer than any call.
	noTimeout = 24 * time.Hour
)

// Options holds the settings of a Client.
type Options struct {
	// Address is the host and port of the service.
	Address string
	// Timeout is added to a call's wait to give its deadline; 0 means 2 s.
	Timeout time.Duration
	// BodyLimit bounds the body of a response, in bytes.
	BodyLimit int
	// Header names a header field whose value is returned with each response; empty for none.
	Header string
}

// Client sends requests to one service. It is safe for concurrent use.
type Client struct {
	opts   Options
	sender *figsend.Sender
}

// New returns a client. It connects with the first call.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return &Client{opts: o, sender: figsend.New(figsend.Options{
		Dial:        fignet.Dialer{Unacked: unackedTimeout}.Dial,
		DialTimeout: o.Timeout,
		// The deadline of each call is shorter than these.
		FirstByteTimeout:       noTimeout,
		PooledFirstByteTimeout: noTimeout,
		ReadTimeout:            noTimeout,
		MaxConnectionAge:       noTimeout,
		IdleTimeout:            idleTimeout,
		MaxPooledConnections:   maxConnections,
		MaxBodyBytes:           int64(o.BodyLimit),
		IsRefusal:              func(*figsend.Answer) bool { return false },
		AllowCloseDelimited:    true,
	})}
}

// Address returns the host and port of the service.
func (c *Client) Address() string { return c.opts.Address }

// Response is the response to one request.
type Response struct {
	Status int
	Body   []byte
	// Header is the value of the field that Options.Header names; empty if there is none.
	Header string
}

// result is the result of one request.
type result struct {
	response *Response
	err      error
}

// Get requests path, which includes the query. It returns with the response, at the deadline of wait plus
// Options.Timeout, or when ctx ends. A response of any status is returned without an error. Errors name the path
// and the address.
func (c *Client) Get(ctx context.Context, path string, wait time.Duration) (*Response, error) {
	deadline := time.Now().Add(wait + c.opts.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan result, 1)
	go func() { done <- c.send(ctx, path, deadline) }()
	select {
	case <-ctx.Done():
		return nil, figerror.Wrap(ctx.Err(), "read "+path, c.opts.Address)
	case f := <-done:
		return f.response, figerror.Wrap(f.err, "read "+path, c.opts.Address)
	}
}

func (c *Client) send(ctx context.Context, path string, deadline time.Time) result {
	answer, err := c.sender.Do(ctx, &figsend.Call{
		Server: figview.Server{Name: c.opts.Address, Address: c.opts.Address},
		Method: http.MethodGet, Path: path, Idempotent: true, Deadline: deadline,
	})
	if err != nil {
		// What made this connection silent may have done so to the idle ones, and the next call must not wait
		// for its timeout on one of them.
		c.sender.Close()
		return result{err: err}
	}
	response := &Response{Status: answer.Status, Body: answer.Body}
	if c.opts.Header != "" {
		response.Header = answer.Get(c.opts.Header)
	}
	return result{response: response}
}
