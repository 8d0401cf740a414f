package figrole

import (
	"math"

	"figtrail.dev/figtrail/internal/config/figroute"
)

const (
	// prefillFraction is the largest fraction of a pool's engines that stay prefill servers without measurements. The
	// package comment derives it from the time that a prompt takes in each stage.
	prefillFraction = 0.28
	// minUsualShare is the least such fraction. With 0.14 in engines of 29,014 tokens, prompts queued at prefill servers in
	// bursts of long prompts while decode servers had room.
	minUsualShare = 0.21
	// referenceMemory is the memory of the engines, in tokens, to which that derivation applies.
	referenceMemory = 66_719
)

// usualShare returns the fraction of a pool's engines that stay prefill servers without measurements. An engine with less
// memory runs fewer requests at once, so that the same requests need more decode servers, and as many prefill servers:
// 0.21 at 45,094 tokens. With 0.28 there, decode servers were full while prefill servers were idle for the most part.
func usualShare(e *figroute.Engine) float64 {
	if e == nil || e.MemoryTokens <= 0 {
		return prefillFraction
	}
	decodePerPrefill := (1/prefillFraction - 1) * referenceMemory / float64(e.MemoryTokens)
	return max(minUsualShare, min(prefillFraction, 1/(1+decodePerPrefill)))
}

// keptPrefill returns the number of prefill servers that a pool of engines keeps without measurements.
func (c *Controller) keptPrefill(e *figroute.Engine, engines int) int {
	return keptPrefill(c.usual(e), engines)
}

// keptPrefill returns the number of prefill servers among engines for a share of them.
func keptPrefill(share float64, engines int) int {
	return max(1, int(math.Round(share*float64(engines))))
}

// usual returns the fraction of prefill servers without measurements.
func (c *Controller) usual(e *figroute.Engine) float64 {
	if c.opts.UsualShare != nil {
		return c.opts.UsualShare(e)
	}
	return usualShare(e)
}
