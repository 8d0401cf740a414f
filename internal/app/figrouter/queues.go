package figrouter

import "figtrail.dev/figtrail/internal/limit/figqueue"

// queueGauges returns the gauges of the queues of all pools that this instance coordinates.
func queueGauges(queues map[string]figqueue.Status) map[string]float64 {
	var sum figqueue.Counters
	displaced, waiting, promised := int64(0), 0, int64(0)
	for _, s := range queues {
		displaced += s.Refused[figqueue.Displaced]
		waiting += s.Waiting
		promised += s.PromisedTokens
		sum.PlacedByFloor += s.PlacedByFloor
		sum.PromisesKept += s.PromisesKept
		sum.ReturnsEarly += s.ReturnsEarly
		sum.PromisesMissed += s.PromisesMissed
		sum.PromisesDropped += s.PromisesDropped
		sum.Bounded += s.Bounded
	}
	return map[string]float64{
		"queue_waiting":          float64(waiting),
		"queue_displaced":        float64(displaced),
		"queue_placed_by_floor":  float64(sum.PlacedByFloor),
		"queue_promised_tokens":  float64(promised),
		"queue_promises_kept":    float64(sum.PromisesKept),
		"queue_promises_missed":  float64(sum.PromisesMissed),
		"queue_promises_dropped": float64(sum.PromisesDropped),
		"queue_returns_early":    float64(sum.ReturnsEarly),
		"queue_values_bounded":   float64(sum.Bounded),
	}
}
