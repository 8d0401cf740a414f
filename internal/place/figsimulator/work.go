package figsimulator

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Cancel drops a request.
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

func (e *Engine) discardResult(id string) {
	e.WastedTokens += e.results[id].tokens
	delete(e.results, id)
}

func (e *Engine) end(w *Work, o Outcome) {
	if w.ended {
		return
	}
	w.ended = true
	tokens := int64(w.tokens)
	e.sim.After(0, func() { w.OnEnd(o, tokens) })
}

// Submit starts work. From is where the prefill's result is, for a decode engine.
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

// startNextPrefill starts the prefill at the head of the queue.
func (e *Engine) startNextPrefill() {
	if len(e.queue) == 0 {
		return
	}
	w := e.queue[0]
	todo := w.PromptTokens
	if slices.Contains(e.cachedPrefixes, w.PrefixGroup) {
		todo = max(1, todo-w.SharedTokens)
	}
	took := time.Duration(float64(todo) / (e.PrefillTokensPerSecond * e.speedFactor()) * float64(time.Second))
	life := e.incarnation
	e.sim.After(took, func() {
		if life != e.incarnation || w.ended {
			return
		}
		e.finishPrefill(w, todo)
	})
}

func (e *Engine) finishPrefill(w *Work, tokens int64) {
	e.queue = e.queue[1:]
	e.workSinceStart += float64(tokens)
	e.ComputedTokens += tokens
	e.cachePrefix(w.PrefixGroup)
	e.results[w.ID] = prefillResult{tokens: tokens}
	life := e.incarnation
	e.sim.After(e.ResultLifetime, func() {
		if life == e.incarnation {
			e.discardResult(w.ID)
		}
	})
	w.tokens = float64(tokens)
	e.end(w, Completed)
	e.startNextPrefill()
}

// cachePrefix keeps a prefix in the cache, which drops the one longest unused.
func (e *Engine) cachePrefix(prefix int64) {
	e.cachedPrefixes = slices.DeleteFunc(e.cachedPrefixes, func(p int64) bool { return p == prefix })
	e.cachedPrefixes = append(e.cachedPrefixes, prefix)
	if len(e.cachedPrefixes) > e.CachePrefixes {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
}

// admit gives memory to waiting work, in order, and moves its KV cache.
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

func (e *Engine) hasRoom(w *Work) bool {
	if e.Role == figview.Plain {
		return len(e.admitted) < e.MaxConcurrentCalls
	}
	return w.Pieces <= e.freePieces()
}

func (e *Engine) runCall(w *Work) {
	life := e.incarnation
	e.sim.After(time.Duration(float64(e.CallDuration)/e.speedFactor()), func() {
		if life == e.incarnation && !w.ended {
			w.tokens = 1
			e.workSinceStart++
			e.finish(w, Completed)
			e.admit()
		}
	})
}

// transfer moves the KV cache of w over the link, one after the other.
func (e *Engine) transfer(w *Work) {
	bytes := float64(w.PromptTokens) * e.KVBytesPerToken
	took := time.Duration(bytes / e.LinkBytesPerSecond * float64(time.Second))
	start := max(e.sim.now, e.linkFreeAt)
	e.linkFreeAt = start + took
	life := e.incarnation
	e.sim.After(start-e.sim.now, func() {
		if life != e.incarnation || w.ended {
			return
		}
		if _, ok := w.prefillEngine.results[w.ID]; !ok {
			e.finish(w, ResultExpired)
			e.admit()
			return
		}
		delete(w.prefillEngine.results, w.ID)
		e.sim.After(took, func() {
			if life == e.incarnation && !w.ended {
				w.OnTransferDone(int64(bytes), took)
				e.joinBatch(w)
			}
		})
	})
}

func (e *Engine) finish(w *Work, o Outcome) {
	e.admitted = slices.DeleteFunc(e.admitted, func(x *Work) bool { return x == w })
	e.end(w, o)
}

// joinBatch puts w into the batch.
func (e *Engine) joinBatch(w *Work) {
	e.advance()
	w.inBatch = true
	life := e.incarnation
	e.sim.After(e.stepDuration(), func() {
		if life == e.incarnation && !w.ended {
			w.OnFirstToken()
		}
	})
	e.scheduleNextCompletion()
}

func (e *Engine) batch() []*Work {
	var b []*Work
	for _, w := range e.admitted {
		if w.inBatch {
			b = append(b, w)
		}
	}
	return b
}

// stepDuration is the time of one decode step.
func (e *Engine) stepDuration() time.Duration {
	t := e.StepBase + time.Duration(len(e.batch()))*e.StepPerRequest
	return time.Duration(float64(t) / e.speedFactor())
}

// advance generates tokens up to now.
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

// scheduleNextCompletion runs the next end of a decode.
func (e *Engine) scheduleNextCompletion() {
	e.scheduleVersion++
	turn, least := e.scheduleVersion, -1.0
	for _, w := range e.batch() {
		if left := float64(w.OutputTokens) - w.tokens; least < 0 || left < least {
			least = left
		}
	}
	if least < 0 {
		return
	}
	took := time.Duration(least*float64(e.stepDuration())) + time.Microsecond
	e.sim.After(took, func() {
		if turn != e.scheduleVersion {
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
