package figplatform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// defaultTimeout bounds a call beyond the wait that it asks for.
	defaultTimeout = 2 * time.Second
	// valuesLimit bounds the values of one answer.
	valuesLimit = 16
	// maxBody bounds an answer in bytes: sixteen values of a megabyte, escaped.
	maxBody = 48 << 20
	// connections bounds the connections to the service: three watches and spares.
	connections = 8
	// idleLimit closes kept connections before most relays forget them.
	idleLimit = 10 * time.Second
)

// Option changes a setting of HTTP.
type Option func(*client)

// WithTimeout bounds a call beyond the wait that it asks for.
func WithTimeout(d time.Duration) Option { return func(c *client) { c.timeout = d } }

type client struct {
	address string
	timeout time.Duration
	http    *fasthttp.Client
}

// HTTP returns the platform whose service listens at address, a host and port.
func HTTP(address string, options ...Option) Platform {
	c := &client{
		address: address,
		timeout: defaultTimeout,
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxConnsPerHost:           connections,
			MaxIdleConnDuration:       idleLimit,
			MaxResponseBodySize:       maxBody,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
				return false, false
			},
		},
	}
	for _, o := range options {
		o(c)
	}
	return Platform{Values: c.values, Instances: c.instances, Servers: c.servers}
}

// get asks for one path and decodes the answer into out.
func (c *client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) error {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	if path == valuesPath {
		q.Set("limit", strconv.Itoa(valuesLimit))
	}
	body, err := c.fetch(ctx, "http://"+c.address+path+"?"+q.Encode(), wait)
	if err != nil {
		return figerror.Wrap(err, "read "+path, c.address)
	}
	return figerror.Wrap(json.Unmarshal(body, out), "decode "+path, c.address)
}

type fetched struct {
	body []byte
	err  error
}

// fetch returns when the answer is there, its deadline has passed or ctx ends.
func (c *client) fetch(ctx context.Context, uri string, wait time.Duration) ([]byte, error) {
	deadline := time.Now().Add(wait + c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan fetched, 1)
	go func() {
		body, err := c.send(uri, deadline)
		done <- fetched{body, err}
	}()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case f := <-done:
		return f.body, f.err
	}
}

func (c *client) send(uri string, deadline time.Time) ([]byte, error) {
	q, r := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(q)
	defer fasthttp.ReleaseResponse(r)
	q.SetRequestURI(uri)
	if err := c.http.DoDeadline(q, r, deadline); err != nil {
		return nil, err
	}
	if r.StatusCode() != fasthttp.StatusOK {
		return nil, figerror.Newf("answer", c.address, "status %d", r.StatusCode())
	}
	return append([]byte(nil), r.Body()...), nil
}
