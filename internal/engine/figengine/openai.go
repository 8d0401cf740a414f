package figengine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// priorityHeader is the header field with the priority of a request.
	priorityHeader = "X-Priority"
	// codeResultGone is the error code of an engine whose prefill result has expired or was fetched
	// before.
	codeResultGone = "resultGone"
	// maxControlBytes bounds the answers to all calls except prefill and decode. No request reserves memory for them.
	maxControlBytes = 4 << 20
	// controlTimeout is the timeout of all calls except prefill and decode.
	controlTimeout = 5 * time.Second
)

// remoteDecodeParams tells an engine to keep the result of a prefill for a decode on another server.
var remoteDecodeParams = json.RawMessage(`{"do_remote_decode":true}`)

// openAI implements Engine for engines with an OpenAI-compatible interface.
type openAI struct {
	sender *figsend.Sender
}

// OpenAI returns the client for engines with an OpenAI-compatible interface that pass the transfer
// parameters of KV caches in the body. It sends all calls with s.
func OpenAI(s *figsend.Sender) Engine {
	o := &openAI{sender: s}
	return Engine{
		Prefill:   o.prefill,
		Decode:    o.decode,
		Load:      o.load,
		Cancel:    o.cancel,
		SendOrder: o.order,
		Events:    o.events,
		Export:    o.export,
		Import:    o.importCache,
	}
}

func (o *openAI) prefill(ctx context.Context, server figview.Server, p *ModelRequest) (*PrefillResult, error) {
	w := bodyRewrite{maxTokens: 1, transfer: remoteDecodeParams}
	c, err := newCall(server, p, "prefill", &w)
	if err != nil {
		return nil, err
	}
	answer, err := o.sender.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	if err := statusFailure(c, "prefill", answer); err != nil {
		return nil, err
	}
	if id := gjson.GetBytes(answer.Body, "id"); id.Exists() && !figsend.MatchesRequestID(id.Str, p.ID) {
		return nil, o.sender.MismatchFailure(c, id.Str)
	}
	return prefillResult(c, answer.Body)
}

func (o *openAI) decode(ctx context.Context, server figview.Server, p *ModelRequest, r *PrefillResult) (*figsend.Stream, error) {
	w := bodyRewrite{stream: true, maxTokens: p.MaxTokens, resumeFrom: p.ResumeFrom}
	if r != nil {
		w.transfer = r.Transfer
	}
	c, err := newCall(server, p, "decode", &w)
	if err != nil {
		return nil, err
	}
	c.MatchEvents = true
	s, err := o.sender.Stream(ctx, c)
	if err != nil {
		return nil, err
	}
	if s.Answer == nil {
		return s, nil
	}
	return checkNonStreamAnswer(c, s)
}

// checkNonStreamAnswer handles an answer to a decode call that isn't a stream. It returns s if the
// answer has an error status. A success without a stream is an error, because it holds no tokens; so
// is an expired prefill result.
func checkNonStreamAnswer(c *figsend.Call, s *figsend.Stream) (*figsend.Stream, error) {
	switch {
	case isResultGone(s.Answer):
		return nil, resultGoneFailure(c, "decode", s.Answer)
	case s.Answer.Status < fasthttp.StatusMultipleChoices:
		return nil, &figsend.Failure{
			Kind: figsend.KindIncomplete, Err: figerror.New("decode", c.Server.Name, "success status, but the answer is not a stream"),
		}
	default:
		return s, nil
	}
}

// newCall returns the call for p, with the body changed by w and the priority in the header.
func newCall(server figview.Server, p *ModelRequest, step string, w *bodyRewrite) (*figsend.Call, error) {
	body, err := w.apply(p.Body)
	if err != nil {
		return nil, &figsend.Failure{
			Outcome: figsend.NotRun, Kind: figsend.KindInvalid, Err: figerror.Wrap(err, step, server.Name),
		}
	}
	return &figsend.Call{
		ID:           p.ID,
		Server:       server,
		Method:       fasthttp.MethodPost,
		Path:         p.Path,
		Header:       p.Header,
		RouterHeader: []figsend.Header{{Name: priorityHeader, Value: strconv.Itoa(p.Priority)}},
		Body:         body,
		Secret:       p.Secret,
		Deadline:     p.Deadline,
	}, nil
}

// prefillResult reads the transfer parameters and the token usage from the body of a prefill answer.
func prefillResult(c *figsend.Call, body []byte) (*PrefillResult, error) {
	transfer := gjson.GetBytes(body, "kv_transfer_params")
	if !gjson.ValidBytes(body) || !transfer.IsObject() {
		return nil, &figsend.Failure{
			Kind: figsend.KindIncomplete, Err: figerror.New("prefill", c.Server.Name, "the prefill answer has no transfer parameters"),
		}
	}
	return &PrefillResult{
		ID:           c.ID,
		Transfer:     json.RawMessage(transfer.Raw),
		PromptTokens: int(gjson.GetBytes(body, "usage.prompt_tokens").Int()),
		CachedTokens: int(gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()),
	}, nil
}

// isResultGone says whether the engine answered that it no longer has the result of the prefill.
func isResultGone(a *figsend.Answer) bool {
	if a.Status != fasthttp.StatusConflict {
		return false
	}
	return gjson.GetBytes(a.Body, "error.code").Str == codeResultGone ||
		gjson.GetBytes(a.Body, "code").Str == codeResultGone
}

// resultGoneFailure returns the failure for a decode call that did not run because the engine no
// longer has the result of the prefill.
func resultGoneFailure(c *figsend.Call, step string, a *figsend.Answer) error {
	return &figsend.Failure{
		Outcome: figsend.NotRun,
		Kind:    figsend.KindRefused,
		Answer:  a,
		Err:     figerror.New(step, c.Server.Name, "the prefill result has expired or was already fetched"),
	}
}

// statusFailure returns nil for status 200 and a failure of the kind KindStatus for any other.
func statusFailure(c *figsend.Call, step string, a *figsend.Answer) error {
	if a.Status == fasthttp.StatusOK {
		return nil
	}
	return &figsend.Failure{
		Kind:   figsend.KindStatus,
		Answer: a,
		Err:    figerror.Wrap(errors.Newf("server answered with status %d", a.Status), step, c.Server.Name),
	}
}
