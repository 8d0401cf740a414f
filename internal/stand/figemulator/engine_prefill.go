package figemulator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// result is a prefill's KV cache that waits for its decode server.
type result struct {
	pieces int
	tokens int
	block  int64
	expiry *time.Timer
	pulled bool
}

// prefill computes the KV cache of a prompt and keeps it for the result's life. It returns false if there was none.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, c *completion) bool {
	tokens := CountTokens(c.text)
	pieces := e.pieces(tokens)
	if !e.take(c.id, pieces) {
		writeError(w, http.StatusTooManyRequests, "busy", "no engine memory is free")
		return false
	}
	kept := false
	defer func() {
		if !kept {
			e.release(c.id, pieces)
		}
	}()
	ctx, _, end := e.start(r, c.id, pieces)
	defer end()
	e.note(c.id, func(n *Run) { n.Prefills++ })
	if e.computePrompt(ctx, c.text, tokens) != nil {
		e.note(c.id, func(n *Run) { n.Cancelled++ })
		dropConnection(w)
		return false
	}
	if e.misbehaveBeforeAnswer(ctx, w) {
		return false
	}
	if _, ok := e.Faults.take(Stall); ok {
		<-ctx.Done()
		return false
	}
	answered := c.id
	if _, ok := e.Faults.take(Crossed); ok {
		answered = otherID(c.id)
	}
	kept = true
	params := e.keepResult(c.id, c.text, pieces, tokens)
	e.note(c.id, func(n *Run) { n.Finished++ })
	writeJSON(w, http.StatusOK, answerWhole(c, answered, AnswerToken(c.text, 0), 1, &params))
	return true
}

// computePrompt waits for the engine and for the time that the prompt takes,
// less what the prefix cache holds.
func (e *Engine) computePrompt(ctx context.Context, text string, tokens int) error {
	e.queued(1, tokens)
	defer e.queued(0, -tokens)
	select {
	case e.compute <- struct{}{}:
		e.queued(-1, 0)
	case <-ctx.Done():
		e.queued(-1, 0)
		return ctx.Err()
	}
	defer func() { <-e.compute }()
	cached := e.cache.add(text) / bytesPerToken
	fresh := max(tokens-cached, 1)
	d := time.Duration(float64(fresh) / e.opts.PrefillRate * float64(time.Second))
	return e.timer.Sleep(ctx, e.slowed(d))
}

func (e *Engine) queued(waiting, tokens int) {
	e.active.Lock()
	defer e.active.Unlock()
	e.waiting += waiting
	e.queue += tokens
}

// keepResult stores a result until it is pulled or its life ends.
func (e *Engine) keepResult(id, text string, pieces, tokens int) transferParams {
	return e.keepBlock(id, int64(xxhash.Sum64String(text)>>1), pieces, tokens)
}

func (e *Engine) keepBlock(id string, block int64, pieces, tokens int) transferParams {
	e.active.Lock()
	defer e.active.Unlock()
	e.dropResult(id)
	s := &result{pieces: pieces, tokens: tokens, block: block}
	s.expiry = time.AfterFunc(e.opts.ResultLife, func() {
		e.active.Lock()
		defer e.active.Unlock()
		if e.results[id] == s {
			e.dropResult(id)
		}
	})
	e.results[id] = s
	return e.params(block)
}

// params returns the transfer parameters that point at this engine.
func (e *Engine) params(block int64) transferParams {
	host, port, _ := net.SplitHostPort(e.Address())
	n, _ := strconv.Atoi(port)
	return transferParams{
		DoRemotePrefill: true,
		RemoteEngineID:  e.opts.Name,
		RemoteBlockIDs:  []int64{block},
		RemoteHost:      host,
		RemotePort:      n,
	}
}

// dropResult frees a result that isn't being transferred. The caller holds active.
func (e *Engine) dropResult(id string) {
	s, ok := e.results[id]
	if !ok || s.pulled {
		return
	}
	s.expiry.Stop()
	delete(e.results, id)
	e.release(id, s.pieces)
}

// misbehaveBeforeAnswer applies the faults that come before the first byte of an
// answer. It returns true if there must be no answer any more.
func (e *Engine) misbehaveBeforeAnswer(ctx context.Context, w http.ResponseWriter) bool {
	if _, ok := e.Faults.take(ReadAndClose); ok {
		dropConnection(w)
		return true
	}
	if f, ok := e.Faults.take(Late); ok {
		delay := f.Delay
		if delay == 0 {
			delay = defaultDelay
		}
		return e.timer.Sleep(ctx, delay) != nil
	}
	return false
}
