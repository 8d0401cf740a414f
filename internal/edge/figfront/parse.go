package figfront

import (
	"bytes"
	"encoding/json"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/limit/figbudget"
	"figtrail.dev/figtrail/internal/place/figplace"
	"figtrail.dev/figtrail/internal/request/figpipeline"
)

// modelBody holds the fields of a model request that the router reads. The body is
// forwarded with all its fields.
type modelBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
	BestOf              *int64          `json:"best_of"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// parseModel decodes and validates a model request; chat tells a chat completion from a
// completion. The error names the invalid field.
func parseModel(body []byte, chat bool) (*modelBody, error) {
	var m modelBody
	if err := json.Unmarshal(body, &m); err != nil {
		return nil, figerror.Newf("read request", "", "body is not the JSON of a model request: %v", err)
	}
	switch {
	case m.Model == "":
		return nil, figerror.New("read request", "", "field model is missing")
	case chat && !startsWith(m.Messages, '['):
		return nil, figerror.New("read request", "", "field messages must be an array")
	case !chat && !startsWith(m.Prompt, '"'):
		return nil, figerror.New("read request", "", "field prompt must be one string")
	case m.N != nil && *m.N != 1, m.BestOf != nil && *m.BestOf != 1:
		return nil, figerror.New("read request", "", "fields n and best_of must be 1")
	case m.outputLimit() < 1:
		return nil, figerror.New("read request", "", "field max_tokens must be at least 1")
	}
	return &m, nil
}

func startsWith(raw json.RawMessage, c byte) bool {
	raw = bytes.TrimSpace(raw)
	return len(raw) > 0 && raw[0] == c
}

// outputLimit returns the caller's limit of output tokens, or the maximum int64 if the
// request has none. max_completion_tokens takes precedence over max_tokens.
func (m *modelBody) outputLimit() int64 {
	switch {
	case m.MaxCompletionTokens != nil:
		return *m.MaxCompletionTokens
	case m.MaxTokens != nil:
		return *m.MaxTokens
	}
	return 1<<63 - 1
}

// call returns the part of the request that the router acts on. The output limit is at
// most that of the pool.
func (m *modelBody) call(p *figtree.Pool) *figpipeline.ModelCall {
	text := m.Messages
	if len(text) == 0 {
		text = m.Prompt
	}
	return &figpipeline.ModelCall{
		Name:         m.Model,
		Stream:       m.Stream,
		IncludeUsage: m.StreamOptions.IncludeUsage,
		PromptTokens: figbudget.EstimateTokens(text),
		OutputTokens: min(m.outputLimit(), p.OutputLimit),
		PrefixHashes: figplace.PrefixHashes(text),
	}
}
