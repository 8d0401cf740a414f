package figplace

import (
	"fmt"
	"time"
)

// NoCapacityError is the error of a placement for which no server has room now, or whose retry budget is spent. No
// work has been started on a server.
type NoCapacityError struct {
	// RetryAfter is the time after which room is likely.
	RetryAfter time.Duration
	// TooLate says that the request has waited so long that it would miss its target for the first token. To
	// place it regardless of that, the caller calls Place again with a zero Arrived.
	TooLate bool
}

// Error returns the message with the time to wait before a retry.
func (e *NoCapacityError) Error() string {
	return fmt.Sprintf("no capacity for the request now; retry after %v", e.RetryAfter)
}

// NoServerError is the error of a placement in a pool for which no server is listed that accepts work.
type NoServerError struct {
	// Pool is the ID of the pool.
	Pool string
}

// Error returns the message with the ID of the pool.
func (e *NoServerError) Error() string { return "no listed server accepts work of pool " + e.Pool }
