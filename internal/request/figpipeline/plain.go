package figpipeline

import (
	"context"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/place/figowner"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// tryPlain sends the call to a plain service and relays its answer, whatever the status. Statuses 502
// to 504 on an idempotent call count as a failure of the server in addition.
func (x *activeRequest) tryPlain(ctx context.Context, p *figplace.Placement) (attemptResult, error) {
	send, err := x.send()
	if err != nil {
		x.lifecycle.End(figlifecycle.CauseOf(figlifecycle.ServerFailed, err))
		return finished, err
	}
	x.lifecycle.Advance(figlifecycle.Decoding)
	answer, err := x.Sender.Do(ctx, &figsend.Call{
		ID:           x.ID,
		Server:       p.Decode,
		Method:       x.Method,
		Path:         x.Path,
		Header:       x.Header,
		Body:         x.Body,
		Secret:       x.Secret,
		Idempotent:   x.Idempotent,
		Deadline:     x.Deadline,
		MaxBodyBytes: x.MaxBodyBytes,
	})
	if err != nil {
		send.fail(err)
		return x.handleFailure(p, p.Decode.Name, err)
	}
	send.OK()
	p.SetGeneratedTokens(1) // on a plain server, any positive number means success
	if x.Idempotent && answer.Status >= fasthttp.StatusBadGateway && answer.Status <= fasthttp.StatusGatewayTimeout {
		p.ReportFailure(p.Decode.Name, figowner.ServerError)
	}
	return finished, x.answer(answer.Status, answer.Header, answer.Body)
}
