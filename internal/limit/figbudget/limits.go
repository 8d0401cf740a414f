package figbudget

import (
	"math"
	"math/bits"
	"time"
)

// SlotCount is the number of slots of each client account's budget. It is the same for every
// account and configuration, so that instances with different configurations split a budget alike.
const SlotCount = 3

// Limits is the token bucket of a client account over all instances together.
type Limits struct {
	// TokensPerSecond is the refill rate.
	TokensPerSecond int64
	// Burst is the capacity.
	Burst int64
}

// slotLimits returns the limits of the slot at index. The limits of all slots sum to l, and each
// grows with l. So even while the holders of an account's slots have different configurations, the
// slots together don't exceed the larger limits.
func (l Limits) slotLimits(index int) Limits {
	return Limits{
		TokensPerSecond: slotPart(l.TokensPerSecond, index),
		Burst:           slotPart(l.Burst, index),
	}
}

// slotPart returns the part of whole that belongs to the slot at index. Remainders go to the lower
// indexes.
func slotPart(whole int64, index int) int64 {
	return (whole + int64(SlotCount-1-index)) / SlotCount
}

// microTokens is an amount of tokens in millionths, so that refills over a few microseconds aren't
// lost to rounding.
type microTokens int64

// microTokensPerToken is the number of microTokens in a token.
const microTokensPerToken = 1_000_000

// clockErrorDivisor gives the largest error of a clock's rate as a fraction: 1/100. Refills count
// that much less time, so that the limit holds in true time even if the holder's clock runs fast.
const clockErrorDivisor = 100

// toMicroTokens converts whole tokens. Amounts that are too large become the largest value.
func toMicroTokens(tokens int64) microTokens {
	if tokens > math.MaxInt64/microTokensPerToken {
		return math.MaxInt64
	}
	return microTokens(tokens * microTokensPerToken)
}

// tokens returns the whole tokens in m, rounded toward negative infinity.
func (m microTokens) tokens() int64 {
	t := int64(m) / microTokensPerToken
	if m < 0 && int64(m)%microTokensPerToken != 0 {
		t--
	}
	return t
}

// refillAmount returns the tokens that a bucket gains in elapsed, as measured by a local clock. It
// is never more than the rate yields in true time, and capped at the largest value.
func refillAmount(tokensPerSecond int64, elapsed time.Duration) microTokens {
	if elapsed <= 0 || tokensPerSecond <= 0 {
		return 0
	}
	counted := elapsed - elapsed/clockErrorDivisor - 1
	// Microseconds times tokens per second are millionths of a token.
	high, low := bits.Mul64(uint64(counted/time.Microsecond), uint64(tokensPerSecond))
	if high != 0 || low > math.MaxInt64 {
		return math.MaxInt64
	}
	return microTokens(low)
}
