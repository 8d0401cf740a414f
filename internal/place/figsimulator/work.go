package figsimulator

import (
	"slices"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Cancel drops a request.
func (e *Engine) Cancel(id string) {
	e.advance()
	e.waste(id)
	match := func(w *Work) bool { return w.ID == id }
	for _, w := range slices.Concat(e.held, e.queue) {
		w.gone = w.gone || match(w)
	}
	e.held = slices.DeleteFunc(e.held, match)
	first := len(e.queue) > 0 && match(e.queue[0])
	e.queue = slices.DeleteFunc(e.queue, match)
	switch {
	case e.Role == figview.Prefill && first:
		e.nextPrefill()
	case e.Role != figview.Prefill:
		e.admit()
		e.schedule()
	}
}

func (e *Engine) waste(id string) {
	e.Wasted += e.results[id].tokens
	delete(e.results, id)
}

func (e *Engine) end(w *Work, o Outcome) {
	if w.gone {
		return
	}
	w.gone = true
	tokens := int64(w.tokens)
	e.sim.After(0, func() { w.End(o, tokens) })
}

// Submit starts work. From is where the prefill's result is, for a decode engine.
func (e *Engine) Submit(w *Work, from *Engine) {
	w.from = from
	if !e.up {
		e.end(w, Died)
		return
	}
	e.advance()
	e.queue = append(e.queue, w)
	switch e.Role {
	case figview.Prefill:
		if len(e.queue) == 1 {
			e.nextPrefill()
		}
	default:
		e.admit()
	}
}

// nextPrefill starts the prefill at the head of the queue.
func (e *Engine) nextPrefill() {
	if len(e.queue) == 0 {
		return
	}
	w := e.queue[0]
	todo := w.Prompt
	if slices.Contains(e.cache, w.Prefix) {
		todo = max(1, todo-w.Shared)
	}
	took := time.Duration(float64(todo) / (e.PrefillSpeed * e.warmth()) * float64(time.Second))
	life := e.life
	e.sim.After(took, func() {
		if life != e.life || w.gone {
			return
		}
		e.prefilled(w, todo)
	})
}

func (e *Engine) prefilled(w *Work, tokens int64) {
	e.queue = e.queue[1:]
	e.worked += float64(tokens)
	e.Computed += tokens
	e.remember(w.Prefix)
	e.results[w.ID] = result{tokens: tokens}
	life := e.life
	e.sim.After(e.ResultLife, func() {
		if life == e.life {
			e.waste(w.ID)
		}
	})
	w.tokens = float64(tokens)
	e.end(w, Done)
	e.nextPrefill()
}

// remember keeps a prefix in the cache, which drops the one longest unused.
func (e *Engine) remember(prefix int64) {
	e.cache = slices.DeleteFunc(e.cache, func(p int64) bool { return p == prefix })
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.CachePrefixes {
		e.cache = e.cache[1:]
	}
}

// admit gives memory to waiting work, in order, and moves its KV cache.
func (e *Engine) admit() {
	for len(e.queue) > 0 && e.fits(e.queue[0]) {
		w := e.queue[0]
		e.queue = e.queue[1:]
		e.held = append(e.held, w)
		e.PeakPieces = max(e.PeakPieces, e.Pieces-e.free())
		if e.Role == figview.Plain {
			e.call(w)
			continue
		}
		e.transfer(w)
	}
}

func (e *Engine) fits(w *Work) bool {
	if e.Role == figview.Plain {
		return len(e.held) < e.Calls
	}
	return w.Pieces <= e.free()
}

func (e *Engine) call(w *Work) {
	life := e.life
	e.sim.After(time.Duration(float64(e.CallTime)/e.warmth()), func() {
		if life == e.life && !w.gone {
			w.tokens = 1
			e.worked++
			e.finish(w, Done)
			e.admit()
		}
	})
}

// transfer moves the KV cache of w over the link, one after the other.
func (e *Engine) transfer(w *Work) {
	bytes := float64(w.Prompt) * e.KVBytes
	took := time.Duration(bytes / e.Link * float64(time.Second))
	start := max(e.sim.now, e.linkFree)
	e.linkFree = start + took
	life := e.life
	e.sim.After(start-e.sim.now, func() {
		if life != e.life || w.gone {
			return
		}
		if _, ok := w.from.results[w.ID]; !ok {
			e.finish(w, ResultGone)
			e.admit()
			return
		}
		delete(w.from.results, w.ID)
		e.sim.After(took, func() {
			if life == e.life && !w.gone {
				w.Moved(int64(bytes), took)
				e.join(w)
			}
		})
	})
}

func (e *Engine) finish(w *Work, o Outcome) {
	e.held = slices.DeleteFunc(e.held, func(x *Work) bool { return x == w })
	e.end(w, o)
}

// join puts w into the batch.
func (e *Engine) join(w *Work) {
	e.advance()
	w.run = true
	life := e.life
	e.sim.After(e.step(), func() {
		if life == e.life && !w.gone {
			w.First()
		}
	})
	e.schedule()
}

func (e *Engine) batch() []*Work {
	var b []*Work
	for _, w := range e.held {
		if w.run {
			b = append(b, w)
		}
	}
	return b
}

// step is the time of one decode step.
func (e *Engine) step() time.Duration {
	t := e.StepBase + time.Duration(len(e.batch()))*e.StepEach
	return time.Duration(float64(t) / e.warmth())
}

// advance generates tokens up to now.
func (e *Engine) advance() {
	passed := e.sim.now - e.updated
	e.updated = e.sim.now
	if e.Role != figview.Decode || passed <= 0 {
		return
	}
	steps := passed.Seconds() / e.step().Seconds()
	for _, w := range e.batch() {
		w.tokens = min(float64(w.Output), w.tokens+steps)
		e.worked += steps
	}
}

// schedule runs the next end of a decode.
func (e *Engine) schedule() {
	e.turn++
	turn, least := e.turn, -1.0
	for _, w := range e.batch() {
		if left := float64(w.Output) - w.tokens; least < 0 || left < least {
			least = left
		}
	}
	if least < 0 {
		return
	}
	took := time.Duration(least*float64(e.step())) + time.Microsecond
	e.sim.After(took, func() {
		if turn != e.turn {
			return
		}
		e.advance()
		for _, w := range e.batch() {
			if w.tokens > float64(w.Output)-0.001 {
				e.finish(w, Done)
			}
		}
		e.admit()
		e.schedule()
	})
}
