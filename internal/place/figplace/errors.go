package figplace

import (
	"fmt"
	"time"
)

// NoRoom says that no server has room for the request now. Nothing was started.
type NoRoom struct {
	// RetryAfter is when room is likely.
	RetryAfter time.Duration
	// TooLate says that the request has waited so long that the target for its
	// first token can't be met any more. A caller that wants a late answer places
	// it again with a zero Arrived.
	TooLate bool
}

// Error returns the message with the advised wait.
func (e *NoRoom) Error() string { return fmt.Sprintf("no room, retry after %v", e.RetryAfter) }

// NoServer says that no listed server takes work of the pool.
type NoServer struct {
	// Pool is the ID of the pool.
	Pool string
}

// Error returns the message with the pool.
func (e *NoServer) Error() string { return "no server takes work of pool " + e.Pool }
