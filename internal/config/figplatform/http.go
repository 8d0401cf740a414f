package figplatform

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/config/figfetch"
	"figtrail.dev/figtrail/internal/core/figerror"
)

const (
	// valuesLimit bounds the values of one answer.
	maxValues = 16
	// maxBody bounds an answer in bytes: sixteen values of a megabyte, escaped.
	maxBodyBytes = 48 << 20
)

// Option changes a setting of HTTP.
type Option func(*figfetch.Options)

// WithTimeout bounds a call beyond the wait that it asks for.
func WithTimeout(d time.Duration) Option { return func(o *figfetch.Options) { o.Timeout = d } }

type client struct {
	*figfetch.Client
}

// HTTP returns the platform whose service listens at address, a host and port.
func HTTP(address string, options ...Option) Platform {
	opts := figfetch.Options{Address: address, BodyLimit: maxBodyBytes}
	for _, o := range options {
		o(&opts)
	}
	c := &client{figfetch.New(opts)}
	return Platform{Values: c.values, Instances: c.instances, Servers: c.servers}
}

// get asks for one path and decodes the answer into out.
func (c *client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) error {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	if path == valuesPath {
		q.Set("limit", strconv.Itoa(maxValues))
	}
	status, body, err := c.Get(ctx, path+"?"+q.Encode(), wait)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return figerror.Newf("read "+path, c.Address(), "status %d", status)
	}
	return figerror.Wrap(json.Unmarshal(body, out), "decode "+path, c.Address())
}
