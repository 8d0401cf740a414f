package figemulator

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// result is the KV cache of a prefill that a decode engine has not pulled yet.
type result struct {
	pieces int
	tokens int
	block  int64
	expiry *time.Timer
	// transferring is true while a decode engine pulls the result.
	transferring bool
}

// prefill computes the KV cache of a prompt and stores it for ResultTTL. It returns false if no answer was written.
func (e *Engine) prefill(w http.ResponseWriter, r *http.Request, c *completion) bool {
	tokens := CountTokens(c.text)
	pieces := e.pieces(tokens)
	if !e.reserve(c.id, pieces) {
		writeError(w, http.StatusTooManyRequests, "busy", "not enough free engine memory")
		return false
	}
	stored := false
	defer func() {
		if !stored {
			e.release(c.id, pieces)
		}
	}()
	ctx, _, end := e.start(r, c.id, pieces)
	defer end()
	e.updateRun(c.id, func(n *Run) { n.Prefills++ })
	if e.computePrompt(ctx, c.text, tokens) != nil {
		e.updateRun(c.id, func(n *Run) { n.Cancelled++ })
		dropConnection(w)
		return false
	}
	if e.applyFaultsBeforeAnswer(ctx, w) {
		return false
	}
	if _, ok := e.Faults.consume(Stall); ok {
		<-ctx.Done()
		return false
	}
	answerID := c.id
	if _, ok := e.Faults.consume(Crossed); ok {
		answerID = crossedID(c.id)
	}
	stored = true
	params := e.storeResult(c.id, c.text, pieces, tokens)
	e.updateRun(c.id, func(n *Run) { n.Finished++ })
	writeJSON(w, http.StatusOK, newCompleteAnswer(c, answerID, AnswerToken(c.text, 0), 1, &params))
	return true
}

// computePrompt waits until the engine computes no other prompt, and then for the
// time that the tokens outside the prefix cache take.
func (e *Engine) computePrompt(ctx context.Context, text string, tokens int) error {
	e.addQueued(1, tokens)
	defer e.addQueued(0, -tokens)
	select {
	case e.compute <- struct{}{}:
		e.addQueued(-1, 0)
	case <-ctx.Done():
		e.addQueued(-1, 0)
		return ctx.Err()
	}
	defer func() { <-e.compute }()
	cached := e.cache.add(text) / bytesPerToken
	uncached := max(tokens-cached, 1)
	d := time.Duration(float64(uncached) / e.opts.PrefillRate * float64(time.Second))
	return e.timer.Sleep(ctx, e.slowed(d))
}

func (e *Engine) addQueued(waiting, tokens int) {
	e.active.Lock()
	defer e.active.Unlock()
	e.waiting += waiting
	e.queuedTokens += tokens
}

// storeResult stores a result until it has been pulled or ResultTTL has passed.
func (e *Engine) storeResult(id, text string, pieces, tokens int) transferParams {
	return e.storeBlock(id, int64(xxhash.Sum64String(text)>>1), pieces, tokens)
}

func (e *Engine) storeBlock(id string, block int64, pieces, tokens int) transferParams {
	e.active.Lock()
	defer e.active.Unlock()
	e.dropResult(id)
	s := &result{pieces: pieces, tokens: tokens, block: block}
	s.expiry = time.AfterFunc(e.opts.ResultTTL, func() {
		e.active.Lock()
		defer e.active.Unlock()
		if e.results[id] == s {
			e.dropResult(id)
		}
	})
	e.results[id] = s
	return e.params(block)
}

// params returns transfer parameters with this engine as the source.
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

// dropResult removes a result and frees its memory, unless it is being transferred. The caller must hold e.active.
func (e *Engine) dropResult(id string) {
	s, ok := e.results[id]
	if !ok || s.transferring {
		return
	}
	s.expiry.Stop()
	delete(e.results, id)
	e.release(id, s.pieces)
}

// applyFaultsBeforeAnswer applies ReadAndClose and Late before the first byte of an
// answer. It returns true if the caller must not write an answer.
func (e *Engine) applyFaultsBeforeAnswer(ctx context.Context, w http.ResponseWriter) bool {
	if _, ok := e.Faults.consume(ReadAndClose); ok {
		dropConnection(w)
		return true
	}
	if f, ok := e.Faults.consume(Late); ok {
		delay := f.Delay
		if delay == 0 {
			delay = defaultDelay
		}
		return e.timer.Sleep(ctx, delay) != nil
	}
	return false
}
