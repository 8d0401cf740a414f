package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// idleDecodeRequests is the number of requests at a decode server, the new one included, up
	// to which it computes the prompt itself: nobody else waits there, and no KV
	// cache has to be moved.
	idleDecodeRequests = 1
	// maxSeparatePrefillTime is the longest expected time of a prefill apart while the decode
	// server has room to compute the prompt: with the transfer and the first step it
	// is half of the two sites' target of 900 ms.
	maxSeparatePrefillTime = 350 * time.Millisecond
	// busyDecodeMemoryFraction is the part of a decode server's memory up to which computing a
	// prompt there delays few others.
	busyDecodeMemoryFraction = 0.85
)

// Apart says whether a prefill server computes the prompt, given what is held at
// the decode server and at the prefill server that were chosen. A decode server
// reads at half the speed and holds up its running requests meanwhile, so that the
// prompt is computed apart unless the decode server is idle, or the prefill servers
// have a queue and the decode server is not busy.
func Apart(e *figroute.Engine, promptTokens int64, decode, prefill figview.Held) bool {
	if decode.Requests <= idleDecodeRequests {
		return false
	}
	expected := time.Duration(float64(prefill.Tokens+promptTokens) / prefillTokensPerSecond * float64(time.Second))
	if e == nil || e.MemoryTokens == 0 || expected <= maxSeparatePrefillTime {
		return true
	}
	return float64(decode.Tokens) > busyDecodeMemoryFraction*float64(e.MemoryTokens)
}
