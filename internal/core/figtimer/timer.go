// Package figtimer provides periodic ticks, delays and the clock of an instance, so that services
// need no tickers of their own and tests can replace the clock.
//
// # Usage
//
//	t := figtimer.New(figtimer.System())
//	ticks := t.Subscribe(ctx, 500*time.Millisecond)
//	for now := range ticks {
//		renew(now)
//	}
//
// A subscription ends with its context, which closes the channel. A subscriber that is too slow
// misses ticks and receives the latest one; it never delays other subscribers. Code that only
// makes decisions takes the time as an argument and needs no timer.
package figtimer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clock is the source of time. It is a concrete type with a function field, so that tests can
// control the time. The times that Now returns must carry a monotonic reading.
type Clock struct {
	// Now returns the current time.
	Now func() time.Time
}

// System returns the system clock.
func System() Clock { return Clock{Now: time.Now} }

// Timer provides ticks and delays. It is safe for concurrent use. Now uses its Clock; Sleep, After
// and the interval of Subscribe use the timers of package time.
type Timer struct {
	Clock
}

// New returns a timer with the clock c.
func New(c Clock) *Timer { return &Timer{Clock: c} }

// Subscribe returns a channel that receives the current time every interval, which must be
// positive. The first tick comes after a random part of the interval, so that instances that start
// together do not act at the same moment. The channel is closed when ctx ends.
func (t *Timer) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	go t.run(ctx, interval, c)
	return c
}

// Sleep waits for d and returns nil, or returns the context's error if ctx ends first.
func (t *Timer) Sleep(ctx context.Context, d time.Duration) error {
	w := time.NewTimer(d)
	defer w.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-w.C:
		return nil
	}
}

// After calls f on its own goroutine once d has passed, unless stop is called before. stop returns
// true if it prevented the call.
func (t *Timer) After(d time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(d, f).Stop
}

func (t *Timer) run(ctx context.Context, interval time.Duration, c chan time.Time) {
	defer close(c)
	firstDelay := time.Duration(rand.Int64N(int64(interval)) + 1)
	if t.Sleep(ctx, firstDelay) != nil {
		return
	}
	k := time.NewTicker(interval)
	defer k.Stop()
	for {
		replaceTick(c, t.Now())
		select {
		case <-ctx.Done():
			return
		case <-k.C:
		}
	}
}

// replaceTick sends a tick, replacing an unread older one.
func replaceTick(c chan time.Time, now time.Time) {
	select {
	case <-c:
	default:
	}
	c <- now
}
