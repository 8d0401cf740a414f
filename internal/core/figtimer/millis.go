package figtimer

import "time"

// Millis returns a duration in whole milliseconds, as statuses show it; -1 for a
// negative one, which stands for never.
func Millis(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return d.Milliseconds()
}
