package figrole

import (
	"math"
	"time"

	"figtrail.dev/figtrail/internal/place/figcoordinator"
)

const (
	// defaultPrefillSpeed is the speed of a prefill server in prompt tokens per second until one has been measured.
	defaultPrefillSpeed = 55_000
	// maxSpeedFactor bounds measured speeds to 1/4 to 4 times defaultPrefillSpeed.
	maxSpeedFactor = 4
	// maxTokenRate bounds the prompt tokens per second and engine that an answer may contain: twice the fastest speed.
	maxTokenRate = 2 * maxSpeedFactor * defaultPrefillSpeed
	// maxMemoryFactor bounds the memory in use per decode server, as a multiple of its size. An engine without
	// requests gets one of any size.
	maxMemoryFactor = 2
	// defaultFullMemory is the fraction of its memory that a decode server in full use holds, until it has been measured,
	// and minFullMemory the least one. Requests differ in size, so that the rest is mostly too small for the next one.
	defaultFullMemory = 0.9
	minFullMemory     = 0.5
	// viewSlack is how many times the engines of this instance's list an answer may describe, because lists differ for
	// a moment.
	viewSlack = 2
	// maxRequestRate bounds the requests per second in an answer.
	maxRequestRate = 100_000
	// minWindow and maxWindow bound the measured time. A shorter one holds less than two answers of a decode server.
	minWindow = 6 * time.Second
	maxWindow = time.Minute
	// maxPrefillTime bounds the mean duration of prefills in an answer.
	maxPrefillTime = 10 * time.Second
)

// Work is the measured work of a pool, summed over the coordinators that answered.
type Work struct {
	figcoordinator.PoolWork
	// Answers is the number of coordinators that answered with a valid measurement, Asked that of those asked.
	Answers, Asked int
	// Coordinators is the number of coordinators of the pool. Each uses its own servers.
	Coordinators int
	// MemoryTokens is the memory of one engine, in tokens.
	MemoryTokens int64
}

// decodeLoad returns the memory in use at decode servers as a fraction of what they hold in full use.
func (w *Work) decodeLoad() float64 {
	return w.HeldTokens / (max(w.DecodeServers, 1) * w.fullMemory())
}

// fullMemory returns the memory in use at a decode server in full use, in tokens.
func (w *Work) fullMemory() float64 {
	size := float64(w.MemoryTokens)
	if w.FullMemory == 0 {
		return defaultFullMemory * size
	}
	return min(max(w.FullMemory, minFullMemory*size), size)
}

// promptTime returns the time that a prefill server needs for the mean prompt, 0 if there were none.
func (w *Work) promptTime() time.Duration {
	if w.Prompts == 0 {
		return 0
	}
	return seconds((w.PromptTokens + w.MissedTokens) / w.Prompts / w.PrefillSpeed)
}

// seconds returns a time, at most maxPrefillTime.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxPrefillTime.Seconds()) * float64(time.Second))
}

// sumWork adds up the answers of a pool with the given number of engines and memory per engine. It returns nil if there
// is no valid one, and the number of answers that were ignored because they can't be true.
func sumWork(all []figcoordinator.PoolWork, engines int, memoryTokens int64) (sum *Work, invalid int) {
	var busySeconds, timedTokens, prefillTime, fullServers, fullTokens float64
	for i := range all {
		w := &all[i]
		if !plausible(w, engines, memoryTokens) {
			invalid++
			continue
		}
		if sum == nil {
			sum = &Work{PoolWork: figcoordinator.PoolWork{Pool: w.Pool, Window: w.Window}, MemoryTokens: memoryTokens}
		}
		sum.Answers++
		sum.Window = min(sum.Window, w.Window)
		sum.PrefillServers += w.PrefillServers
		sum.DecodeServers += w.DecodeServers
		sum.PromptTokens += w.PromptTokens
		sum.MissedTokens += w.MissedTokens
		sum.Prompts += w.Prompts
		sum.PrefillBusy += min(w.PrefillBusy, w.PrefillServers)
		sum.HeldTokens += w.HeldTokens
		sum.Waiting += w.Waiting
		sum.Refused += w.Refused
		sum.Placed += w.Placed
		busySeconds += (w.PromptTokens + w.MissedTokens) / boundedSpeed(w.PrefillSpeed)
		if w.FullMemory > 0 {
			fullServers += w.DecodeServers
			fullTokens += w.DecodeServers * w.FullMemory
		}
		if w.PrefillTime > 0 {
			timedTokens += w.PromptTokens
			prefillTime += w.PrefillTime.Seconds() * w.PromptTokens
		}
	}
	if sum == nil {
		return nil, invalid
	}
	if fullServers > 0 {
		sum.FullMemory = fullTokens / fullServers
	}
	sum.PrefillSpeed = defaultPrefillSpeed
	if busySeconds > 0 {
		sum.PrefillSpeed = (sum.PromptTokens + sum.MissedTokens) / busySeconds
	}
	if timedTokens > 0 {
		sum.PrefillTime = seconds(prefillTime / timedTokens)
	}
	return sum, invalid
}

// boundedSpeed returns a measured speed within its bounds, or the default if there is none.
func boundedSpeed(tokensPerSecond float64) float64 {
	if tokensPerSecond == 0 {
		return defaultPrefillSpeed
	}
	return min(max(tokensPerSecond, defaultPrefillSpeed/maxSpeedFactor), maxSpeedFactor*defaultPrefillSpeed)
}

// plausible reports whether an answer can be true for a pool of this size.
func plausible(w *figcoordinator.PoolWork, engines int, memoryTokens int64) bool {
	size := viewSlack * float64(engines)
	for _, c := range []struct{ value, limit float64 }{
		{w.PrefillServers, size},
		{w.DecodeServers, size},
		{w.PrefillServers + w.DecodeServers, size},
		{w.PromptTokens, size * maxTokenRate},
		{w.MissedTokens, size * maxTokenRate},
		{w.Prompts, maxRequestRate},
		{w.PrefillSpeed, math.MaxFloat64},
		{w.PrefillBusy, size},
		{w.PrefillTime.Seconds(), maxPrefillTime.Seconds()},
		{w.HeldTokens, size * maxMemoryFactor * float64(memoryTokens)},
		{w.FullMemory, maxMemoryFactor * float64(memoryTokens)},
		{w.Waiting, maxRequestRate},
		{w.Refused, maxRequestRate},
		{w.Placed, maxRequestRate},
	} {
		// The comparison is false for NaN.
		if !(c.value >= 0 && c.value <= c.limit) {
			return false
		}
	}
	return w.PrefillServers+w.DecodeServers > 0 && w.Window >= minWindow && w.Window <= maxWindow
}
