package figsend

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/core/figtimer"
)

// Backoff gives the waits between attempts: a random part of a time that
// doubles with each attempt up to a limit.
type Backoff struct {
	// Base is the longest wait before the second attempt.
	Base time.Duration
	// Limit is the longest wait at all.
	Limit time.Duration
	// Rand returns a number in [0, 1). Nil means the ordinary source.
	Rand func() float64
}

// Delay returns the wait after the failed attempt with this number, from 0 on.
func (b Backoff) Delay(attempt int) time.Duration {
	longest := b.Limit
	// Past 30 doublings any base is above any limit in use.
	if attempt < 30 {
		longest = min(b.Base<<attempt, b.Limit)
	}
	random := b.Rand
	if random == nil {
		random = rand.Float64
	}
	return time.Duration(random() * float64(longest))
}

// Retries repeats an attempt of a call that is declared idempotent.
type Retries struct {
	Backoff

	// Timer gives the time and waits.
	Timer *figtimer.Timer
	// Budget is shared by all calls that should be bounded together.
	Budget *RetryBudget
	// Attempts is the largest number of attempts.
	Attempts int
	// Deadline is when the caller's time ends. Zero means none but the context's.
	Deadline time.Time
}

// Do calls attempt, with numbers from 0 on, until it succeeds, fails in a way
// that a repetition can't mend, or the attempts, the budget or the time are used
// up. It returns the last error. No attempt starts at or after the deadline. An
// attempt that failed on a kept connection is repeated without a wait.
func (r *Retries) Do(ctx context.Context, attempt func(ctx context.Context, number int) error) error {
	for number := 0; ; number++ {
		err := attempt(ctx, number)
		now := r.Timer.Now()
		if err == nil {
			r.Budget.Success(now)
			return nil
		}
		if number+1 >= r.Attempts || !Repeatable(err) {
			return err
		}
		wait := r.wait(err, number)
		if !r.Deadline.IsZero() && !now.Add(wait).Before(r.Deadline) {
			return err
		}
		if !r.Budget.Take(now) || r.Timer.Sleep(ctx, wait) != nil {
			return err
		}
	}
}

func (r *Retries) wait(err error, number int) time.Duration {
	var f *Failure
	if errors.As(err, &f) && f.Reused {
		return 0
	}
	return r.Delay(number)
}

// Repeatable says that another attempt of an idempotent call can succeed where
// this one failed.
func Repeatable(err error) bool {
	switch KindOf(err) {
	case KindConnect, KindBusy, KindRefused, KindSilent, KindCut, KindCrossed, KindStalled:
		return true
	default:
		return false
	}
}
