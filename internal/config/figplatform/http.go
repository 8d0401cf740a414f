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
	// maxValues is the maximum number of values requested per response.
	maxValues = 16
	// maxBodyBytes bounds a response: maxValues values of a megabyte each, with JSON escapes.
	maxBodyBytes = 48 << 20
)

// Option changes a setting of HTTP.
type Option func(*figfetch.Options)

// WithTimeout sets the time that is added to a call's wait to give its deadline.
func WithTimeout(d time.Duration) Option { return func(o *figfetch.Options) { o.Timeout = d } }

type client struct {
	*figfetch.Client
}

// HTTP returns a Platform that reads the service at address, a host and port.
func HTTP(address string, options ...Option) Platform {
	opts := figfetch.Options{Address: address, BodyLimit: maxBodyBytes}
	for _, o := range options {
		o(&opts)
	}
	c := &client{figfetch.New(opts)}
	return Platform{Values: c.values, Instances: c.instances, Servers: c.servers}
}

// get requests one path and decodes the JSON response into out. Any status but 200 is an error.
func (c *client) get(ctx context.Context, path string, after uint64, wait time.Duration, out any) error {
	q := url.Values{}
	q.Set("after", strconv.FormatUint(after, 10))
	q.Set("wait", strconv.FormatFloat(wait.Seconds(), 'f', -1, 64))
	if path == valuesPath {
		q.Set("limit", strconv.Itoa(maxValues))
	}
	answer, err := c.Get(ctx, path+"?"+q.Encode(), wait)
	if err != nil {
		return err
	}
	if answer.Status != fasthttp.StatusOK {
		return figerror.Newf("read "+path, c.Address(), "unexpected status %d", answer.Status)
	}
	return figerror.Wrap(json.Unmarshal(answer.Body, out), "decode "+path, c.Address())
}
