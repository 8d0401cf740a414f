package figproxy

import "time"

// plainWait returns how long the request may wait for a slot.
func (x *exchange) plainWait(now time.Time) time.Duration {
	target := x.route.LatencyTarget
	usual := time.Duration(plainWaitFraction * float64(target))
	times, ok := x.Picker.CallTimes(now, x.pool)
	if !ok || x.sends > 0 {
		return usual
	}
	left := target - now.Sub(x.Arrived) - ageOf(x.CallerTimeout, x.route.TimeLimit)
	if left <= 0 { // late in any case, as after an earlier attempt
		return usual
	}
	return times.Wait(left)
}
