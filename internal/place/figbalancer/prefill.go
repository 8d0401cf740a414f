package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// idleDecodeRequests is the number of requests at a decode server, including the new one,
	// up to which it computes the prompt itself: no other request is delayed, and no KV cache
	// has to be transferred.
	idleDecodeRequests = 1
	// maxSeparatePrefillTime is the longest expected time of a separate prefill, including its
	// queue, while the decode server has capacity to compute the prompt: with the transfer and
	// the first decode step it takes half of the 900 ms that the two sites allow until the
	// first event.
	maxSeparatePrefillTime = 350 * time.Millisecond
	// busyDecodeMemoryFraction is the fraction of a decode server's memory in use up to which
	// computing a prompt there delays few other requests.
	busyDecodeMemoryFraction = 0.85
)

// UseSeparatePrefill reports whether a prefill server computes the prompt, given the load of
// the chosen decode and prefill servers. A decode server computes prompts at half the speed
// and stalls its running requests meanwhile, so the prefill server computes the prompt unless
// the decode server is idle, or the expected prefill time is too long and the decode server
// isn't busy. Without a declared memory size only an idle decode server computes the prompt.
func UseSeparatePrefill(e *figroute.Engine, promptTokens int64, decode, prefill figview.ServerLoad) bool {
	return useSeparatePrefill(e, promptTokens, decode, prefill, 1)
}

// SeparatePrefill is like UseSeparatePrefill for a request of a pool that has been placed on the decode server d, with
// the prefill server f. It expects f to compute prompts at its measured speed.
func (p *Picker) SeparatePrefill(now time.Time, pool *figroute.Pool, promptTokens int64, d, f *figcatalogue.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	decode, prefill := p.state(d, now), p.state(f, now)
	return useSeparatePrefill(pool.Engine, promptTokens, p.totalLoadLocked(decode, now), p.totalLoadLocked(prefill, now),
		prefill.slowness(now))
}

// useSeparatePrefill is like UseSeparatePrefill for a prefill server at which work takes slowness times the mean.
func useSeparatePrefill(e *figroute.Engine, promptTokens int64, decode, prefill figview.ServerLoad, slowness float64) bool {
	if decode.Requests <= idleDecodeRequests {
		return false
	}
	expected := time.Duration(float64(prefill.Tokens+promptTokens) * slowness / prefillTokensPerSecond * float64(time.Second))
	if e == nil || e.MemoryTokens == 0 || expected <= maxSeparatePrefillTime {
		return true
	}
	return float64(decode.Tokens) > busyDecodeMemoryFraction*float64(e.MemoryTokens)
}
