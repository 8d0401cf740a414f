package figingress

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/edge/figconnection"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
)

// retryParts is the part of the stall time, a half, after which a caller may return that found no memory: by then holders
// without progress have been evicted on average.
const retryParts = 2

var (
	errMalformed  = errors.New("the request is malformed")
	errIncomplete = errors.New("the request didn't come to its end")
	errTooLarge   = errors.New("the request exceeds a size limit")
	errNoMemory   = errors.New("the memory for requests is used up")
)

// handleError answers a request that fasthttp could not read, and closes the connection. The
// error isn't logged, because it may quote the head of the request with the caller's key.
func (s *Server) handleError(c *fasthttp.RequestCtx, err error) {
	cause, counted := figlifecycle.CauseOf(figlifecycle.BadRequest, errMalformed), "malformed"
	unread := 0
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small) || errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, errTooLarge):
		cause, counted = figlifecycle.CauseOf(figlifecycle.TooLarge, errTooLarge), "tooLarge"
	case errors.Is(err, os.ErrDeadlineExceeded) && s.connections.Phase() == figconnection.Aborting:
		cause, counted = figlifecycle.CauseOf(figlifecycle.Draining, errIncomplete), "draining"
		cause.RetryAfter = incompleteRetryAfter
	case errors.Is(err, errNoMemory):
		unread = s.opts.BodyLimit
		cause, counted = figlifecycle.CauseOf(figlifecycle.QueueFull, errNoMemory), "noMemory"
		cause.RetryAfter = s.opts.Budget.StallTime() / retryParts
	case errors.Is(err, os.ErrDeadlineExceeded) && isEvicted(c):
		cause, counted = figlifecycle.CauseOf(figlifecycle.QueueFull, errNoMemory), "stalled"
		cause.RetryAfter = s.opts.Budget.StallTime() / retryParts
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		cause.Err, counted = errIncomplete, "incomplete"
	}
	s.opts.CountRefusal(counted)
	c.SetConnectionClose()
	if n, ok := c.Conn().(*figconnection.Conn); ok {
		n.Lingers(unread)
	}
	s.refuse(c, "", cause)
}
