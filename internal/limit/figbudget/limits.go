package figbudget

import (
	"math"
	"math/bits"
	"time"
)

// Slots is the number of parts that each client account's budget has. It is the
// same for every account and every declaration, so that instances with
// different configurations never split a budget in different ways.
const SlotCount = 3

// Limits holds what a client account may spend over all instances together.
type Limits struct {
	// TokensPerSecond is the rate at which the budget refills.
	TokensPerSecond int64
	// Burst is the most tokens that the budget holds.
	Burst int64
}

// share returns the part of slot index. The parts of all slots sum to the whole,
// and each part grows with the whole: slots whose holders have different
// declarations in force don't sum to more than the larger declaration.
func (l Limits) slotLimits(index int) Limits {
	return Limits{
		TokensPerSecond: slotPart(l.TokensPerSecond, index),
		Burst:           slotPart(l.Burst, index),
	}
}

func slotPart(whole int64, index int) int64 {
	return (whole + int64(SlotCount-1-index)) / SlotCount
}

// micros is an amount of tokens in millionths, so that a refill of a few
// microseconds isn't lost to rounding.
type microTokens int64

// microsPerToken is the number of micros in a token.
const microTokensPerToken = 1_000_000

// driftPart is the divisor that gives the largest error of a clock's rate: one
// hundredth. A refill counts that much less time, so that the bound holds in
// true time even where a holder's clock is fast.
const clockErrorDivisor = 100

func toMicroTokens(tokens int64) microTokens {
	if tokens > math.MaxInt64/microTokensPerToken {
		return math.MaxInt64
	}
	return microTokens(tokens * microTokensPerToken)
}

// tokens returns the whole tokens in m, rounded down also below zero.
func (m microTokens) tokens() int64 {
	t := int64(m) / microTokensPerToken
	if m < 0 && int64(m)%microTokensPerToken != 0 {
		t--
	}
	return t
}

// refill returns what rate yields in elapsed, never more than rate would in
// true time, and at most the largest amount.
func refillAmount(tokensPerSecond int64, elapsed time.Duration) microTokens {
	if elapsed <= 0 || tokensPerSecond <= 0 {
		return 0
	}
	counted := elapsed - elapsed/clockErrorDivisor - 1
	// Microseconds times tokens a second are millionths of a token.
	high, low := bits.Mul64(uint64(counted/time.Microsecond), uint64(tokensPerSecond))
	if high != 0 || low > math.MaxInt64 {
		return math.MaxInt64
	}
	return microTokens(low)
}
