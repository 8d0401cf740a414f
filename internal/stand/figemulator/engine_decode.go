package figemulator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// decode generates the answer to a request, as a stream or as one body. It
// returns false if the answer is incomplete.
func (e *Engine) decode(w http.ResponseWriter, r *http.Request, c *completion) bool {
	pieces := e.pieces(CountTokens(c.text) + c.output())
	if !e.reserve(c.id, pieces) {
		writeError(w, http.StatusTooManyRequests, "busy", "not enough free engine memory")
		return false
	}
	defer e.release(c.id, pieces)
	ctx, run, end := e.start(r, c.id, pieces)
	defer end()
	if !e.receive(ctx, w, c) {
		return false
	}
	e.updateRun(c.id, func(n *Run) { n.Decodes++ })
	if e.applyFaultsBeforeAnswer(ctx, w) {
		return false
	}
	s := &stream{Engine: e, completion: c, ignoresClose: run.ignoresClose, answerID: c.id, answerPrompt: c.text}
	if _, ok := e.Faults.consume(Crossed); ok {
		s.answerID, s.answerPrompt = crossedID(c.id), "crossed "+c.text
	}
	if err := s.run(ctx, w); err != nil {
		e.updateRun(c.id, func(n *Run) { n.Cancelled++ })
		abort()
	}
	e.updateRun(c.id, func(n *Run) { n.Finished++ })
	return true
}

// receive pulls the prompt's KV cache from a prefill engine or computes it locally.
// On failure it writes an error, or closes the connection if ctx has ended, and
// returns false.
func (e *Engine) receive(ctx context.Context, w http.ResponseWriter, c *completion) bool {
	var err error
	if c.Transfer != nil && c.Transfer.DoRemotePrefill {
		err = e.pull(ctx, c.id, c.Transfer)
	} else {
		e.updateRun(c.id, func(n *Run) { n.Prefills++ })
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

// endlessTextBytes is the size of the text of each event under the Endless fault.
const endlessTextBytes = 16 << 10

// stream writes the tokens of one answer.
type stream struct {
	*Engine
	*completion
	// answerID is the request ID in the answer, answerPrompt the prompt that its
	// tokens are derived from. Both differ from the request under the Crossed fault.
	answerID, answerPrompt string
	// ignoresClose is true if the stream continues after write errors.
	ignoresClose bool
}

func (s *stream) run(ctx context.Context, w http.ResponseWriter) error {
	_, cut := s.Faults.consume(Cut)
	_, stall := s.Faults.consume(Stall)
	if _, endless := s.Faults.consume(Endless); endless {
		return s.runEndless(ctx, w)
	}
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
		token := AnswerToken(s.answerPrompt, i)
		whole.WriteString(token)
		s.countToken(s.id, i+1)
		if !s.Stream {
			continue
		}
		if err := s.event(w, newChunk(s.completion, s.answerID, token, finishReason(i == total-1))); err != nil {
			return err
		}
		if stall {
			<-ctx.Done()
			return ctx.Err()
		}
	}
	if !s.Stream {
		writeJSON(w, http.StatusOK, newCompleteAnswer(s.completion, s.answerID, whole.String(), total, nil))
		return nil
	}
	return s.endStream(w, total)
}

// runEndless writes events until ctx ends or a write fails.
func (s *stream) runEndless(ctx context.Context, w http.ResponseWriter) error {
	w.Header().Set("Content-Type", "text/event-stream")
	event := newChunk(s.completion, s.answerID, strings.Repeat("x", endlessTextBytes), nil)
	for ctx.Err() == nil {
		if err := s.event(w, event); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// endStream writes the usage, if requested, and the end marker.
func (s *stream) endStream(w http.ResponseWriter, total int) error {
	if s.Options.IncludeUsage {
		c := newChunk(s.completion, s.answerID, "", nil)
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
	if s.ignoresClose {
		return nil
	}
	return err
}

// countToken records one more generated token of request id.
func (e *Engine) countToken(id string, tokens int) {
	e.updateRun(id, func(n *Run) { n.Tokens++ })
	e.active.Lock()
	defer e.active.Unlock()
	if r, ok := e.running[id]; ok {
		r.tokens = tokens
	}
}

func finishReason(last bool) *string {
	if !last {
		return nil
	}
	reason := "length"
	return &reason
}
