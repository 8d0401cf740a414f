package figemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// decode generates the answer to a request, as a stream or in one piece. It
// returns false if the answer is not whole.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, c *completion) bool {
	pieces := e.pieces(CountTokens(c.text) + c.output())
	if !e.take(c.id, pieces) {
		writeError(w, http.StatusTooManyRequests, "busy", "no engine memory is free")
		return false
	}
	defer e.release(c.id, pieces)
	ctx, run, end := e.start(r, c.id, pieces)
	defer end()
	if !e.receive(ctx, w, c) {
		return false
	}
	e.note(c.id, func(n *Run) { n.Decodes++ })
	if e.misbehaveBeforeAnswer(ctx, w) {
		return false
	}
	s := &stream{Engine: e, completion: c, keepsOn: run.keepsOn, answered: c.id, answer: c.text}
	if _, ok := e.Faults.take(Crossed); ok {
		s.answered, s.answer = otherID(c.id), "crossed "+c.text
	}
	if err := s.run(ctx, w); err != nil {
		e.note(c.id, func(n *Run) { n.Cancelled++ })
		abort()
	}
	e.note(c.id, func(n *Run) { n.Finished++ })
	return true
}

// receive gets the KV cache of the prompt, from a prefill engine or by computing
// it here. It returns false after it has answered that there is none.
func (e *Engine) receive(ctx context.Context, w http.ResponseWriter, c *completion) bool {
	var err error
	if c.Transfer != nil && c.Transfer.DoRemotePrefill {
		err = e.pull(ctx, c.id, c.Transfer)
	} else {
		e.note(c.id, func(n *Run) { n.Prefills++ })
		err = e.computePrompt(ctx, c.text, CountTokens(c.text))
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		dropConnection(w)
		return false
	}
	writeError(w, http.StatusConflict, "resultGone", err.Error())
	return false
}

// stream writes the tokens of one answer.
type stream struct {
	*Engine
	*completion
	// answered is the request id that the answer bears, answer the prompt that it
	// is made from; both are another request's in a crossed answer.
	answered, answer string
	// keepsOn streams go on when they can't be written.
	keepsOn bool
}

func (s *stream) run(ctx context.Context, w http.ResponseWriter) error {
	_, cut := s.Faults.take(Cut)
	_, stall := s.Faults.take(Stall)
	total := s.output()
	if s.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	var whole strings.Builder
	for i := s.ResumeFrom; i < total; i++ {
		if err := s.timer.Sleep(ctx, s.slowed(s.opts.TokenInterval)); err != nil {
			return err
		}
		if cut && i >= total/2 {
			abort()
		}
		token := AnswerToken(s.answer, i)
		whole.WriteString(token)
		s.generated(s.id, i+1)
		if !s.Stream {
			continue
		}
		if err := s.event(w, newChunk(s.completion, s.answered, token, finish(i == total-1))); err != nil {
			return err
		}
		if stall {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	if !s.Stream {
		writeJSON(w, http.StatusOK, answerWhole(s.completion, s.answered, whole.String(), total, nil))
		return nil
	}
	return s.endStream(w, total)
}

// endStream writes the usage, if asked for, and the end marker.
func (s *stream) endStream(w http.ResponseWriter, total int) error {
	if s.Options.IncludeUsage {
		c := newChunk(s.completion, s.answered, "", nil)
		c.Choices = []choice{}
		c.Usage = newUsage(s.completion, total)
		if err := s.event(w, c); err != nil {
			return err
		}
	}
	_, err := fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}

func (s *stream) event(w http.ResponseWriter, c answerBody) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", b)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if s.keepsOn {
		return nil
	}
	return err
}

// generated counts a token that was made for the request called id.
func (e *Engine) generated(id string, tokens int) {
	e.note(id, func(n *Run) { n.Tokens++ })
	e.active.Lock()
	defer e.active.Unlock()
	if r, ok := e.running[id]; ok {
		r.tokens = tokens
	}
}

func finish(last bool) *string {
	if !last {
		return nil
	}
	reason := "length"
	return &reason
}
