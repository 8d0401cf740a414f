package figload

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const (
	// fillerTokenBytes is the number of bytes that count as one token of filler text.
	fillerTokenBytes = 4
	// letters is the number of different letters in filler words.
	letters = 26
	// maxWordLetters is the maximum length of a filler word.
	maxWordLetters = 9
)

// filler returns random words with a total length of tokens tokens.
func filler(random *rand.Rand, tokens int) string {
	text := make([]byte, 0, tokens*fillerTokenBytes+maxWordLetters)
	for len(text) < tokens*fillerTokenBytes {
		for range 1 + random.IntN(maxWordLetters) {
			text = append(text, byte('a'+random.IntN(letters)))
		}
		text = append(text, ' ')
	}
	return string(text[:tokens*fillerTokenBytes])
}

// chatRequest is the body of a streamed chat request.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Options   streamOptions `json:"stream_options"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chunk holds the fields of a stream event that the load generator reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// streamResult collects the events of one stream.
type streamResult struct {
	text     strings.Builder
	tokens   int
	finished bool
	done     bool
	failed   string
	total    int64
	start    time.Time
	first    time.Duration
	gaps     []time.Duration
}

func (c *caller) sendStream(ctx context.Context, a arrival) {
	output := c.account.OutputTokens.pick(a.random)
	size := max(c.account.PromptTokens.pick(a.random)-c.account.PrefixTokens, 0)
	prompt := c.prefix + fmt.Sprintf("request %d of %s ", a.number, c.account.Name) + filler(a.random, size)
	charge := c.Charge(prompt, output)
	cancels := a.random.Float64() < c.account.CancelShare
	inside, creditUnused := c.admit(charge)
	body, err := json.Marshal(chatRequest{
		Model:     c.account.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		Stream:    true,
		MaxTokens: output,
		Options:   streamOptions{IncludeUsage: true},
	})
	if err != nil {
		c.result.failed("encode")
		return
	}
	start := c.Clock.Now()
	r, err := c.call(ctx, a, http.MethodPost, "/v1/chat/completions", string(body))
	if err != nil {
		c.result.failed("connection")
		return
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		c.countRefusal(r, inside, creditUnused)
		return
	}
	s := &streamResult{start: start}
	limit := output + 1
	if cancels {
		limit = output / 2
	}
	s.read(r.Body, limit, c.Clock.Now)
	if cancels && s.tokens >= limit {
		c.result.change(func(r *AccountReport) { r.Cancelled++ })
		return
	}
	creditUnused(s.used(charge))
	c.recordStream(s, prompt, output)
}

// used returns the total tokens of the answer's usage, or charge if there was none.
func (s *streamResult) used(charge int64) int64 {
	if s.total > 0 {
		return s.total
	}
	return charge
}

// recordStream checks a stream that has ended and counts it as answered, wrong or failed.
func (c *caller) recordStream(s *streamResult, prompt string, output int) {
	complete := s.done && s.finished && s.failed == ""
	c.result.change(func(r *AccountReport) { r.Tokens += int64(s.tokens) })
	if !complete {
		c.result.failed(s.reason())
		return
	}
	if s.text.String() != figemulator.AnswerText(prompt, output) {
		c.result.change(func(r *AccountReport) { r.Wrong++ })
		return
	}
	c.result.answered(s.first, s.gaps, c.FirstToken, c.BetweenTokens)
}

func (s *streamResult) reason() string {
	if s.failed != "" {
		return s.failed
	}
	return "cut without an error event"
}

// read reads events until the end marker, a malformed event, the end of the body, or limit tokens.
func (s *streamResult) read(body io.Reader, limit int, now func() time.Time) {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	last := s.start
	for s.tokens < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			return
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			s.failed = "malformed event"
			return
		}
		last = s.add(c, last, now())
	}
}

// add applies one event received at now and returns the time of the latest token.
func (s *streamResult) add(c chunk, last, now time.Time) time.Time {
	if c.Error != nil {
		s.failed = "cut: " + readError(c.Error).label()
	}
	if c.Usage != nil {
		s.total = c.Usage.Total
	}
	for _, o := range c.Choices {
		s.finished = s.finished || o.Finish != nil
		if o.Delta.Content == "" {
			continue
		}
		s.text.WriteString(o.Delta.Content)
		if s.tokens == 0 {
			s.first = now.Sub(s.start)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		s.tokens++
		last = now
	}
	return last
}
