package figengine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

const (
	// priorityHeader carries the priority of a request.
	priorityHeader = "X-Priority"
	// codeResultGone is the code of an expired prefill result.
	codeResultGone = "resultGone"
	// controlTimeout bounds the calls that are not a caller's request.
	controlTimeout = 5 * time.Second
)

// remoteDecodeParams asks an engine to keep a prefill's result for another server.
var remoteDecodeParams = json.RawMessage(`{"do_remote_decode":true}`)

// openAI is the adapter for engines with the interface of OpenAI.
type openAI struct {
	sender *figsend.Sender
}

// OpenAI returns an adapter for engines with the interface of OpenAI and
// transfer parameters in the body.
func OpenAI(s *figsend.Sender) Engine {
	o := &openAI{sender: s}
	return Engine{
		Prefill: o.prefill,
		Decode:  o.decode,
		Load:    o.load,
		Cancel:  o.cancel,
		Order:   o.order,
		Events:  o.events,
		Export:  o.export,
		Import:  o.importCache,
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
	if id := gjson.GetBytes(answer.Body, "id"); id.Exists() && !figsend.Matches(id.Str, p.ID) {
		return nil, o.sender.CrossedAnswer(c, id.Str)
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

// checkNonStreamAnswer looks at an answer to a decode call that is no stream. An error of the
// engine is an answer. A success without a stream holds no tokens, so it can't
// be one.
func checkNonStreamAnswer(c *figsend.Call, s *figsend.Stream) (*figsend.Stream, error) {
	switch {
	case isResultGone(s.Answer):
		return nil, resultGoneFailure(c, "decode", s.Answer)
	case s.Answer.Status < fasthttp.StatusMultipleChoices:
		return nil, &figsend.Failure{
			Kind: figsend.KindCut, Err: figerror.New("decode", c.Server.Name, "the answer is not a stream"),
		}
	default:
		return s, nil
	}
}

// newCall returns the send of a prompt with its body rewritten.
func newCall(server figview.Server, p *ModelRequest, step string, w *bodyRewrite) (*figsend.Call, error) {
	body, err := w.apply(p.Body)
	if err != nil {
		return nil, &figsend.Failure{
			Ran: figsend.NotRun, Kind: figsend.KindInvalid, Err: figerror.Wrap(err, step, server.Name),
		}
	}
	header := make([]figsend.Header, 0, len(p.Header)+1)
	for _, h := range p.Header {
		if !strings.EqualFold(h.Name, priorityHeader) {
			header = append(header, h)
		}
	}
	header = append(header, figsend.Header{Name: priorityHeader, Value: strconv.Itoa(p.Priority)})
	return &figsend.Call{
		ID:       p.ID,
		Server:   server,
		Method:   fasthttp.MethodPost,
		Path:     p.Path,
		Header:   header,
		Body:     body,
		Secret:   p.Secret,
		Deadline: p.Deadline,
	}, nil
}

// prefillResult reads the transfer parameters and the usage.
func prefillResult(c *figsend.Call, body []byte) (*PrefillResult, error) {
	transfer := gjson.GetBytes(body, "kv_transfer_params")
	if !gjson.ValidBytes(body) || !transfer.IsObject() {
		return nil, &figsend.Failure{
			Kind: figsend.KindCut, Err: figerror.New("prefill", c.Server.Name, "the answer has no transfer parameters"),
		}
	}
	return &PrefillResult{
		ID:           c.ID,
		Transfer:     json.RawMessage(transfer.Raw),
		PromptTokens: int(gjson.GetBytes(body, "usage.prompt_tokens").Int()),
		CachedTokens: int(gjson.GetBytes(body, "usage.prompt_tokens_details.cached_tokens").Int()),
	}, nil
}

// isResultGone says that the engine no longer has a prefill's result.
func isResultGone(a *figsend.Answer) bool {
	if a.Status != fasthttp.StatusConflict {
		return false
	}
	return gjson.GetBytes(a.Body, "error.code").Str == codeResultGone ||
		gjson.GetBytes(a.Body, "code").Str == codeResultGone
}

func resultGoneFailure(c *figsend.Call, step string, a *figsend.Answer) error {
	return &figsend.Failure{
		Ran:    figsend.NotRun,
		Kind:   figsend.KindRefused,
		Answer: a,
		Err:    figerror.New(step, c.Server.Name, "the prefill's result is gone"),
	}
}

// statusFailure returns an error for any status but 200.
func statusFailure(c *figsend.Call, step string, a *figsend.Answer) error {
	if a.Status == fasthttp.StatusOK {
		return nil
	}
	return &figsend.Failure{
		Kind:   figsend.KindStatus,
		Answer: a,
		Err:    figerror.Wrap(errors.Newf("the server answered with status %d", a.Status), step, c.Server.Name),
	}
}
