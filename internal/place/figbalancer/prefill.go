package figbalancer

import (
	"time"

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
	if decode.Requests <= idleDecodeRequests {
		return false
	}
	expected := time.Duration(float64(prefill.Tokens+promptTokens) / prefillTokensPerSecond * float64(time.Second))
	if e == nil || e.MemoryTokens == 0 || expected <= maxSeparatePrefillTime {
		return true
	}
	return float64(decode.Tokens) > busyDecodeMemoryFraction*float64(e.MemoryTokens)
}
