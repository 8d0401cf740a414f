package figemulator

// usage counts the tokens of one answer.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answerMessage is the message of a chat answer or of one of its chunks.
type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is one generated answer; engines return exactly one.
type choice struct {
	Index   int            `json:"index"`
	Delta   *answerMessage `json:"delta,omitempty"`
	Message *answerMessage `json:"message,omitempty"`
	Text    *string        `json:"text,omitempty"`
	Finish  *string        `json:"finish_reason"`
}

// answerBody is a complete answer or one chunk of a stream.
type answerBody struct {
	ID       string          `json:"id"`
	Object   string          `json:"object"`
	Created  int64           `json:"created"`
	Model    string          `json:"model"`
	Choices  []choice        `json:"choices"`
	Usage    *usage          `json:"usage,omitempty"`
	Transfer *transferParams `json:"kv_transfer_params,omitempty"`
}

func newUsage(c *completion, tokens int) *usage {
	prompt := CountTokens(c.text)
	return &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
}

func newChunk(c *completion, id, text string, finish *string) answerBody {
	if !c.chat {
		return answerBody{
			ID: id, Object: "text_completion", Model: c.Model,
			Choices: []choice{{Text: &text, Finish: finish}},
		}
	}
	return answerBody{
		ID: id, Object: "chat.completion.chunk", Model: c.Model,
		Choices: []choice{{Delta: &answerMessage{Role: "assistant", Content: text}, Finish: finish}},
	}
}

func newCompleteAnswer(c *completion, id, text string, tokens int, p *transferParams) answerBody {
	a := newChunk(c, id, text, finishReason(true))
	if c.chat {
		a.Object = "chat.completion"
		a.Choices[0].Message, a.Choices[0].Delta = a.Choices[0].Delta, nil
	}
	a.Usage = newUsage(c, tokens)
	a.Transfer = p
	return a
}
