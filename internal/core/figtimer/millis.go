package figtimer

import "time"

// Millis returns a duration in whole milliseconds for status output. It returns -1, which means
// never, for a negative duration.
func Millis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
