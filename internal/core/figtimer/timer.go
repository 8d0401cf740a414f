// Package figtimer is the timer service of an instance. Parts subscribe to it
// instead of owning tickers and sleeping.
//
// # Usage
//
//	t := figtimer.New(figtimer.System())
//	ticks := t.Subscribe(ctx, 500*time.Millisecond)
//	for now := range ticks {
//		renew(now)
//	}
//
// A subscription ends when its context ends: the channel is closed. A
// subscriber that is slow misses ticks and gets the latest one; it never delays
// the others. Decisions take the time as an argument and need no timer at all.
package figtimer

import (
	"context"
	"math/rand/v2"
	"time"
)

// Clock is the source of time, as a concrete type with a function field, so that
// tests drive it. The times that Now returns carry a monotonic reading.
type Clock struct {
	// Now returns the current time.
	Now func() time.Time
}

// System returns the machine's clock.
func System() Clock { return Clock{Now: time.Now} }

// Timer hands out subscriptions to ticks.
type Timer struct {
	Clock
}

// New returns a timer service over c.
func New(c Clock) *Timer { return &Timer{Clock: c} }

// Subscribe returns a channel that receives the time about every interval. The
// first tick comes after a random part of the interval, so that many instances
// started together don't act together. The channel is closed when ctx ends.
func (t *Timer) Subscribe(ctx context.Context, interval time.Duration) <-chan time.Time {
	c := make(chan time.Time, 1)
	go t.run(ctx, interval, c)
	return c
}

// Sleep waits for d. It returns the context's error when ctx ends first.
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

// After calls f on a goroutine of its own once d has passed, unless stop is called
// before. Stop returns false if f was called.
func (t *Timer) After(d time.Duration, f func()) (stop func() bool) {
	return time.AfterFunc(d, f).Stop
}

func (t *Timer) run(ctx context.Context, interval time.Duration, c chan time.Time) {
	defer close(c)
	first := time.Duration(rand.Int64N(int64(interval)) + 1)
	if t.Sleep(ctx, first) != nil {
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

// replaceTick replaces an unread tick by the newer one.
func replaceTick(c chan time.Time, now time.Time) {
	select {
	case <-c:
	default:
	}
	c <- now
}
