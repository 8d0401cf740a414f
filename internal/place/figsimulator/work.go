package figsimulator

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Cancel removes a request from the engine without a call of OnEnd, and discards its prefill result.
func (e *Engine) Cancel(id string) {
	e.advance()
	e.discardResult(id)
	match := func(w *Work) bool { return w.ID == id }
	for _, w := range slices.Concat(e.admitted, e.queue) {
		w.ended = w.ended || match(w)
	}
	e.admitted = slices.DeleteFunc(e.admitted, match)
	first := len(e.queue) > 0 && match(e.queue[0])
	e.queue = slices.DeleteFunc(e.queue, match)
	switch {
	case e.Role == figview.Prefill && first:
		e.startNextPrefill()
	case e.Role != figview.Prefill:
		e.admit()
		e.scheduleNextCompletion()
	}
}

// discardResult drops a request's prefill result, if there is one, and counts its tokens as wasted.
func (e *Engine) discardResult(id string) {
	e.WastedTokens += e.results[id].tokens
	delete(e.results, id)
}

// end schedules the call of OnEnd for work that hasn't ended or been cancelled.
func (e *Engine) end(w *Work, o Outcome) {
	if w.ended {
		return
	}
	w.ended = true
	tokens := int64(w.tokens)
	e.sim.After(0, func() { w.OnEnd(o, tokens) })
}

// Submit adds work to the engine's queue. For a decode engine, from is the engine that holds the prefill's
// result; other engines ignore it. If the process is down, the work ends with ProcessEnded.
func (e *Engine) Submit(w *Work, from *Engine) {
	w.prefillEngine = from
	if !e.running {
		e.end(w, ProcessEnded)
		return
	}
	e.advance()
	e.queue = append(e.queue, w)
	switch e.Role {
	case figview.Prefill:
		if len(e.queue) == 1 {
			e.startNextPrefill()
		}
	default:
		e.admit()
	}
}

// startNextPrefill starts the prefill at the head of the queue. A cached prefix isn't computed again.
func (e *Engine) startNextPrefill() {
	if len(e.queue) == 0 {
		return
	}
	w := e.queue[0]
	uncached := w.PromptTokens
	if slices.Contains(e.cachedPrefixes, w.PrefixGroup) {
		uncached = max(1, uncached-w.SharedTokens)
	}
	took := time.Duration(float64(uncached) / (e.PrefillTokensPerSecond * e.speedFactor()) * float64(time.Second))
	incarnation := e.incarnation
	e.sim.After(took, func() {
		if incarnation != e.incarnation || w.ended {
			return
		}
		e.finishPrefill(w, uncached)
	})
}

// finishPrefill stores the result of the prefill at the head of the queue until ResultLifetime has passed, and
// starts the next prefill.
func (e *Engine) finishPrefill(w *Work, tokens int64) {
	e.queue = e.queue[1:]
	e.workSinceStart += float64(tokens)
	e.ComputedTokens += tokens
	e.cachePrefix(w.PrefixGroup)
	e.results[w.ID] = prefillResult{tokens: tokens}
	incarnation := e.incarnation
	e.sim.After(e.ResultLifetime, func() {
		if incarnation == e.incarnation {
			e.discardResult(w.ID)
		}
	})
	w.tokens = float64(tokens)
	e.end(w, Completed)
	e.startNextPrefill()
}

// cachePrefix adds a prefix to the cache, which evicts the least recently used one.
func (e *Engine) cachePrefix(prefix int64) {
	e.cachedPrefixes = slices.DeleteFunc(e.cachedPrefixes, func(p int64) bool { return p == prefix })
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.CachePrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

// admit takes work from the queue in order, as long as there is room. A decode engine allocates memory and
// transfers the KV cache; a plain engine starts the call.
func (e *Engine) admit() {
	for len(e.queue) > 0 && e.hasRoom(e.queue[0]) {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.admitted = append(e.admitted, w)
		e.PeakPieces = max(e.PeakPieces, e.Pieces-e.freePieces())
		if e.Role == figview.Plain {
			e.runCall(w)
			continue
		}
		e.transfer(w)
	}
}

// hasRoom reports whether a decode engine has the memory for w, or a plain engine a free call slot.
func (e *Engine) hasRoom(w *Work) bool {
	if e.Role == figview.Plain {
		return len(e.admitted) < e.MaxConcurrentCalls
	}
	return w.Pieces <= e.freePieces()
}

// runCall runs a call on a plain engine.
func (e *Engine) runCall(w *Work) {
	incarnation := e.incarnation
	e.sim.After(time.Duration(float64(e.CallDuration)/e.speedFactor()), func() {
		if incarnation == e.incarnation && !w.ended {
			w.tokens = 1
			e.workSinceStart++
			e.finish(w, Completed)
			e.admit()
		}
	})
}

// transfer moves the KV cache of w over the link as soon as earlier transfers are done. If the prefill's result
// is no longer there at that time, the work ends with ResultExpired.
func (e *Engine) transfer(w *Work) {
	bytes := float64(w.PromptTokens) * e.KVBytesPerToken
	took := time.Duration(bytes / e.LinkBytesPerSecond * float64(time.Second))
	start := max(e.sim.now, e.linkFreeAt)
	e.linkFreeAt = start + took
	incarnation := e.incarnation
	e.sim.After(start-e.sim.now, func() {
		if incarnation != e.incarnation || w.ended {
			return
		}
		if _, ok := w.prefillEngine.results[w.ID]; !ok {
			e.finish(w, ResultExpired)
			e.admit()
			return
		}
		delete(w.prefillEngine.results, w.ID)
		e.sim.After(took, func() {
			if incarnation == e.incarnation && !w.ended {
				w.OnTransferDone(int64(bytes), took)
				e.joinBatch(w)
			}
		})
	})
}

// finish frees the memory or call slot of w and ends it.
func (e *Engine) finish(w *Work, o Outcome) {
	e.admitted = slices.DeleteFunc(e.admitted, func(x *Work) bool { return x == w })
	e.end(w, o)
}

// joinBatch adds w to the decode batch.
func (e *Engine) joinBatch(w *Work) {
	e.advance()
	w.inBatch = true
	incarnation := e.incarnation
	e.sim.After(e.stepDuration(), func() {
		if incarnation == e.incarnation && !w.ended {
			w.OnFirstToken()
		}
	})
	e.scheduleNextCompletion()
}

// batch returns the work that is being decoded.
func (e *Engine) batch() []*Work {
	var b []*Work
	for _, w := range e.admitted {
		if w.inBatch {
			b = append(b, w)
		}
	}
	return b
}

// stepDuration returns the duration of one decode step with the present batch.
func (e *Engine) stepDuration() time.Duration {
	t := e.StepBase + time.Duration(len(e.batch()))*e.StepPerRequest
	return time.Duration(float64(t) / e.speedFactor())
}

// advance adds the tokens that the batch has generated since the last call. It must run before the batch or
// the speed changes.
func (e *Engine) advance() {
	passed := e.sim.now - e.advancedAt
	e.advancedAt = e.sim.now
	if e.Role != figview.Decode || passed <= 0 {
		return
	}
	steps := passed.Seconds() / e.stepDuration().Seconds()
	for _, w := range e.batch() {
		w.tokens = min(float64(w.OutputTokens), w.tokens+steps)
		e.workSinceStart += steps
	}
}

// scheduleNextCompletion schedules the end of the work in the batch that has the fewest tokens left. It
// replaces the event that was scheduled before.
func (e *Engine) scheduleNextCompletion() {
	e.scheduleVersion++
	version, fewestTokens := e.scheduleVersion, -1.0
	for _, w := range e.batch() {
		if left := float64(w.OutputTokens) - w.tokens; fewestTokens < 0 || left < fewestTokens {
			fewestTokens = left
		}
	}
	if fewestTokens < 0 {
		return
	}
	took := time.Duration(fewestTokens*float64(e.stepDuration())) + time.Microsecond
	e.sim.After(took, func() {
		if version != e.scheduleVersion {
			return
		}
		e.advance()
		for _, w := range e.batch() {
			if w.tokens > float64(w.OutputTokens)-0.001 {
				e.finish(w, Completed)
			}
		}
		e.admit()
		e.scheduleNextCompletion()
	})
}
