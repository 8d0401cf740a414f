package figemulator

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the number of prompt bytes that engines count as one token.
	bytesPerToken = 4
	// defaultOutput is the number of generated tokens if a request sets no limit.
	defaultOutput = 16
	// tokenDigits is the number of hexadecimal digits in a generated token, which ends with a space.
	tokenDigits = 4
)

// CountTokens returns the number of tokens that engines count for text, at least 1.
func CountTokens(text string) int {
	return max(1, (len(text)+bytesPerToken-1)/bytesPerToken)
}

// AnswerToken returns the token at index i of the answer to prompt.
func AnswerToken(prompt string, i int) string {
	sum := xxhash.Sum64String(prompt + "\x00" + strconv.Itoa(i))
	digits := strconv.FormatUint(sum|1<<63, 16)
	return digits[len(digits)-tokenDigits:] + " "
}

// AnswerText returns the first tokens generated tokens of an engine's answer to prompt.
func AnswerText(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(AnswerToken(prompt, i))
	}
	return b.String()
}

// crossedID returns the request ID that a crossed answer carries instead of id.
func crossedID(id string) string { return id + "x" }

// transferParams tells a decode engine where to pull the KV cache of a prefill from.
type transferParams struct {
	DoRemoteDecode  bool    `json:"do_remote_decode,omitempty"`
	DoRemotePrefill bool    `json:"do_remote_prefill,omitempty"`
	RemoteEngineID  string  `json:"remote_engine_id,omitempty"`
	RemoteBlockIDs  []int64 `json:"remote_block_ids,omitempty"`
	RemoteHost      string  `json:"remote_host,omitempty"`
	RemotePort      int     `json:"remote_port,omitempty"`
}

// message is one message of a chat request.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completion holds the fields of a completion request that engines read.
type completion struct {
	Model     string    `json:"model"`
	Messages  []message `json:"messages"`
	Prompt    string    `json:"prompt"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	MaxOutput int       `json:"max_completion_tokens"`
	Options   struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Transfer   *transferParams `json:"kv_transfer_params"`
	ResumeFrom int             `json:"resume_from"`

	// id is the request ID and text the whole prompt.
	id, text string
	// chat is true for /v1/chat/completions and false for /v1/completions.
	chat bool
}

// prompt returns the prompt; for a chat request, the texts of all messages joined by newlines.
func (c *completion) prompt() string {
	if !c.chat {
		return c.Prompt
	}
	texts := make([]string, 0, len(c.Messages))
	for _, m := range c.Messages {
		texts = append(texts, contentText(m.Content))
	}
	return strings.Join(texts, "\n")
}

// contentText returns the text of a message's content, which is a string or a list of parts.
func contentText(raw json.RawMessage) string {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(raw, &parts)
	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}
	return b.String()
}

func (c *completion) output() int {
	switch {
	case c.MaxOutput > 0:
		return c.MaxOutput
	case c.MaxTokens > 0:
		return c.MaxTokens
	}
	return defaultOutput
}
