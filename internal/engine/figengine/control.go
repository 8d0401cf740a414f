package figengine

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/valyala/fasthttp"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// requestIDMessage is the body of calls that only name a request.
type requestIDMessage struct {
	ID string `json:"id"`
}

// transferMessage holds the transfer parameters of a KV cache. ID and Tokens, the request and the
// length of its prompt, are set for an import only.
type transferMessage struct {
	ID       string          `json:"id,omitempty"`
	Tokens   int             `json:"tokens,omitempty"`
	Transfer json.RawMessage `json:"kvTransferParams"`
}

func (o *openAI) load(ctx context.Context, server figview.Server) (*Load, error) {
	load := new(Load)
	if err := o.callJSON(ctx, server, "load", get("/load"), load); err != nil {
		return nil, err
	}
	return load, nil
}

func (o *openAI) cancel(ctx context.Context, server figview.Server, id string) error {
	c := post("/cancel", requestIDMessage{ID: id})
	c.Idempotent = true
	return o.callJSON(ctx, server, "cancel", c, nil)
}

func (o *openAI) order(ctx context.Context, server figview.Server, order *Order) error {
	return o.callJSON(ctx, server, "order", post("/orders", order), nil)
}

func (o *openAI) events(ctx context.Context, server figview.Server, after uint64) (*Events, error) {
	events := new(Events)
	path := "/cache/events?after=" + strconv.FormatUint(after, 10)
	if err := o.callJSON(ctx, server, "events", get(path), events); err != nil {
		return nil, err
	}
	return events, nil
}

func (o *openAI) export(ctx context.Context, server figview.Server, id string) (*PrefillResult, error) {
	var m transferMessage
	if err := o.callJSON(ctx, server, "export", post("/kv/export", requestIDMessage{ID: id}), &m); err != nil {
		return nil, err
	}
	return &PrefillResult{ID: id, Transfer: m.Transfer}, nil
}

func (o *openAI) importCache(ctx context.Context, server figview.Server, r *PrefillResult) error {
	m := transferMessage{ID: r.ID, Tokens: r.PromptTokens, Transfer: r.Transfer}
	return o.callJSON(ctx, server, "import", post("/kv/import", m), nil)
}

// get returns an idempotent GET call.
func get(path string) *figsend.Call {
	return &figsend.Call{Method: fasthttp.MethodGet, Path: path, Idempotent: true}
}

// post returns a POST call with message as its JSON body. It isn't marked as idempotent. Messages must
// be structs that always can be encoded.
func post(path string, message any) *figsend.Call {
	body, _ := json.Marshal(message)
	return &figsend.Call{
		Method: fasthttp.MethodPost,
		Path:   path,
		Header: []figsend.Header{{Name: fasthttp.HeaderContentType, Value: "application/json"}},
		Body:   body,
	}
}

// callJSON sends c and decodes the JSON answer into reply, or ignores the body if reply is nil. step
// names the call in errors.
func (o *openAI) callJSON(ctx context.Context, server figview.Server, step string, c *figsend.Call, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	c.Server, c.MaxBodyBytes = server, maxControlBytes
	answer, err := o.sender.Do(ctx, c)
	if err != nil {
		return err
	}
	if err := statusFailure(c, step, answer); err != nil {
		return err
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(answer.Body, reply); err != nil {
		return &figsend.Failure{Err: figerror.Wrap(err, step, server.Name)}
	}
	return nil
}
