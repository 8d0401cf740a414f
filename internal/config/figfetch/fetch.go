// Package figfetch reads from the platform over HTTP: one GET at a time, with a
// deadline, made once. It knows no path and no format.
//
// # Usage
//
//	c := figfetch.New(figfetch.Options{Address: "10.0.0.1:8000", BodyLimit: 4 << 20})
//	status, body, err := c.Get(ctx, "/values?after=3", 20*time.Second)
//
// The time that a call may take is the wait that it asks for plus the timeout.
// Connections are probed, so that a waiting call on one that has gone silent ends
// within seconds.
package figfetch

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/core/fignet"
)

const (
	// defaultTimeout bounds a call beyond the wait that it asks for.
	defaultTimeout = 2 * time.Second
	// connections bounds the connections to the service: three watches and spares.
	maxConnections = 8
	// idleLimit closes kept connections before most relays forget them.
	idleTimeout = 10 * time.Second
	// unackedLimit ends a silent connection under a waiting call: what it would
	// have told must be in force within 2 s of the end of an outage of 3 s.
	unackedTimeout = 3 * time.Second
)

// Options holds the settings of a Client. Zero fields get the ordinary ones.
type Options struct {
	// Address is the host and port of the service.
	Address string
	// Timeout bounds a call beyond the wait that it asks for.
	Timeout time.Duration
	// BodyLimit bounds an answer, in bytes.
	BodyLimit int
}

// Client reads from one service. It is safe for concurrent use.
type Client struct {
	opts Options
	http *fasthttp.Client
}

// New returns a client without connections.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	dialer := fignet.Dialer{Unacked: unackedTimeout}
	return &Client{opts: o, http: &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxConnsPerHost:           maxConnections,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       o.BodyLimit,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(address string) (net.Conn, error) {
			return dialer.Dial(context.Background(), address, o.Timeout)
		},
	}}
}

// Address returns the host and port of the service.
func (c *Client) Address() string { return c.opts.Address }

type response struct {
	status int
	body   []byte
	err    error
}

// Get asks for one path with its query. It returns when the answer is there, its
// deadline has passed or ctx ends. Any status is an answer. Errors name the path.
func (c *Client) Get(ctx context.Context, path string, wait time.Duration) (status int, body []byte, err error) {
	deadline := time.Now().Add(wait + c.opts.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan response, 1)
	go func() { done <- c.send("http://"+c.opts.Address+path, deadline) }()
	select {
	case <-ctx.Done():
		return 0, nil, figerror.Wrap(ctx.Err(), "read "+path, c.opts.Address)
	case f := <-done:
		return f.status, f.body, figerror.Wrap(f.err, "read "+path, c.opts.Address)
	}
}

func (c *Client) send(uri string, deadline time.Time) response {
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	q.SetRequestURI(uri)
	if err := c.http.DoDeadline(q, r, deadline); err != nil {
		return response{err: err}
	}
	return response{status: r.StatusCode(), body: append([]byte(nil), r.Body()...)}
}
