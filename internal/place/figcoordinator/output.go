package figcoordinator

import (
	"sync"

	"figtrail.dev/figtrail/internal/config/figroute"
)

const (
	// defaultOutputEvents is the assumed length of an answer, in events, before any answer was complete.
	defaultOutputEvents = 64
	// outputSmoothing is the weight of the newest answer in the moving average of their lengths.
	outputSmoothing = 0.02
	// meanProgress is the output that a running request has generated on average, as a fraction of the
	// mean length of an answer. Longer answers run longer, so it exceeds a half.
	meanProgress = 0.75
)

// outputs estimates how much memory the output of a request takes. What callers declare is the most
// that they accept, often ten times what they get. It is safe for concurrent use.
type outputs struct {
	mu    sync.Mutex
	means map[string]float64
}

// record adds the length of a complete answer of a pool, in tokens.
func (o *outputs) record(pool string, e *figroute.Engine, tokens int64) {
	if tokens <= 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	mean := o.mean(pool, e)
	o.means[pool] = mean + outputSmoothing*(float64(tokens)-mean)
}

// expected returns the memory to reserve for the output of a request, in tokens.
func (o *outputs) expected(pool string, e *figroute.Engine) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(meanProgress * o.mean(pool, e))
}

// mean returns the mean length of a pool's answers in tokens. o.mu must be held.
func (o *outputs) mean(pool string, e *figroute.Engine) float64 {
	if mean, ok := o.means[pool]; ok {
		return mean
	}
	if e == nil {
		return 0
	}
	return float64(defaultOutputEvents * e.TokensPerEvent)
}
