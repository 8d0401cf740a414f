package figbalancer

import "figtrail.dev/figtrail/internal/config/figroute"

// UsableTokens returns the memory of a decode server that Pick hands out, in tokens; 0 if it isn't limited.
func UsableTokens(e *figroute.Engine) int64 {
	if e == nil || e.MemoryTokens <= 0 {
		return 0
	}
	return int64(usableMemoryFraction * float64(e.MemoryTokens))
}
