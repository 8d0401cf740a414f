package figrole

import (
	"math"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// prefillMargin multiplies the measured prefill work, because prompts arrive in bursts and a queue there delays
	// the first token.
	prefillMargin = 1.1
	// maxPrefillShare bounds the prefill servers, as a fraction of a pool's engines.
	maxPrefillShare = 0.6
	// maxExpectedPrefill is the longest expected time of a prefill with its queue. With the transfer and the first
	// decode step it takes half of the 800 ms that the shortest latency target allows.
	maxExpectedPrefill = 350 * time.Millisecond
	// longPromptFactor replaces maxExpectedPrefill for prompts that take longer even without a queue: their expected
	// time may be this multiple of it.
	longPromptFactor = 1.5
	// minPoolLoad is the measured work below which nothing is concluded, as a fraction of the servers that were measured.
	minPoolLoad = 0.1
	// fullDecodeLoad is the memory in use at decode servers, as a fraction of what they hold in full use, from which on they
	// count as nearly full, and freeDecodeLoad the one up to which they have room to spare. Between them a change to
	// prefill servers lost more requests by decode servers that are full for a moment than it gained (TestPlayed).
	fullDecodeLoad = 0.9
	freeDecodeLoad = 0.75
	// maxDecodeLoad is the load that a change to prefill servers may cause at the remaining decode servers.
	maxDecodeLoad = 0.8
	// refusedShare is the fraction of requests refused for lack of room from which on decode servers count as full if their
	// load is above minRefusingLoad. At a lower load the refusals are of the past.
	refusedShare    = 0.02
	minRefusingLoad = 0.7
	// idlePrefillLoad and idlePrefillBusy are the load, and the fraction of prefill servers with a prompt in
	// progress, up to which prefill servers count as idle for the most part. At full decode servers, 0.28 prefill
	// servers have a load of 0.58 in engines of 45,094 tokens and 0.76 in those of 66,719 tokens, which need them.
	// The busy fraction is higher, because a placement ends some time after its prompt.
	idlePrefillLoad = 0.65
	idlePrefillBusy = 0.85
	// fullPrefillLoad is the load from which on prefill servers count as full, missedShare the fraction of prompt tokens
	// that find no suitable one, and usedPrefillLoad the load up to which a change to decode servers that has begun goes on.
	fullPrefillLoad = 0.95
	usedPrefillLoad = 0.85
	missedShare     = 0.1
	// minGain is the least gain in requests per second for which roles change. A batch takes maxBatchShare of the servers
	// away for about 10 s (drain and change), which this gain makes up for in another 10 s.
	minGain = 0.06
)

// Split is the present division of a pool's usable engines. Engines that change their role count in the new one.
type Split struct {
	Prefill, Decode int
	// Lost is the number of engines that were there lately and aren't usable now.
	Lost int
	// Usual is the fraction of prefill servers without measurements.
	Usual float64
	// Moving is the number of engines that change their role.
	Moving int
}

// engines returns the number of engines when all of them run.
func (s *Split) engines() int { return s.Prefill + s.Decode + s.Lost }

// demand is the measured work, in servers of each kind, for the whole pool.
type demand struct {
	prefill, decode float64
	// groups is the number of coordinators among which the servers are divided.
	groups float64
	// prompt is the time that a prefill server needs for the mean prompt.
	prompt time.Duration
}

// demandOf returns the demand of a pool of which a part was measured.
func demandOf(w *Work, engines int) demand {
	scale := float64(engines) / (w.PrefillServers + w.DecodeServers)
	return demand{
		prefill: scale * (w.PromptTokens + w.MissedTokens) / w.PrefillSpeed,
		decode:  scale * w.HeldTokens / w.fullMemory(),
		groups:  float64(max(1, w.Coordinators)),
		prompt:  w.promptTime(),
	}
}

// measurable reports whether there is enough work of both kinds to conclude something.
func (d demand) measurable(engines int) bool {
	return d.prefill > 0 && d.decode > 0 && d.prefill+d.decode >= minPoolLoad*float64(engines)
}

// wanted returns the number of prefill servers that suits the work.
func (d demand) wanted(engines int) int {
	needed := d.prefill * prefillMargin
	most := max(1, int(maxPrefillShare*float64(engines)))
	n := min(max(1, int(math.Ceil(needed/(needed+d.decode)*float64(engines)))), most)
	for n < most && d.expectedPrefill(n, engines) > prefillLimit(d.prompt) {
		n++
	}
	return n
}

// expectedPrefill estimates the time of a prefill with its queue at n prefill servers, if so many requests arrive that the
// decode servers are in full use. It is the waiting time of a queue with one coordinator's servers by Sakasegawa's
// approximation.
func (d demand) expectedPrefill(n, engines int) time.Duration {
	servers := float64(n)
	load := d.prefill / servers * max(1, (float64(engines)-servers)/d.decode)
	if load >= 1 {
		return maxPrefillTime
	}
	each := max(1, float64(n)/d.groups)
	wait := math.Pow(load, math.Sqrt(2*(each+1))-1) / (each * (1 - load))
	return seconds(d.prompt.Seconds() * (1 + wait))
}

// prefillLimit returns the longest time of a prefill with its queue, given the time of the prompt alone.
func prefillLimit(prompt time.Duration) time.Duration {
	return max(maxExpectedPrefill, time.Duration(longPromptFactor*float64(prompt)))
}

// throughput returns how many times the measured work n prefill servers and the others can do.
func (d demand) throughput(n, engines int) float64 {
	return min(float64(n)/(d.prefill*prefillMargin), float64(engines-n)/d.decode)
}

// shortage returns the role that has too few servers by a clear margin: its servers are full while those of the other role
// are idle for the most part. It returns figview.Plain if neither has. A change to the role underway goes on until the servers
// of the other role are full.
func shortage(w *Work, underway figview.Role) figview.Role {
	idleLoad, freeLoad := idlePrefillLoad, freeDecodeLoad
	switch underway {
	case figview.Decode:
		idleLoad = usedPrefillLoad
	case figview.Prefill:
		freeLoad = maxDecodeLoad
	}
	prefillLoad := (w.PromptTokens + w.MissedTokens) / w.PrefillSpeed / max(w.PrefillServers, 1)
	busy := w.PrefillBusy / max(w.PrefillServers, 1)
	decodeLoad, refused := w.decodeLoad(), fraction(w.Refused, w.Placed)
	prefillLate := w.PrefillTime > prefillLimit(w.promptTime())
	decodeFull := decodeLoad >= fullDecodeLoad || refused >= refusedShare && decodeLoad >= minRefusingLoad
	prefillFull := prefillLoad >= fullPrefillLoad || prefillLate || fraction(w.MissedTokens, w.PromptTokens) >= missedShare
	switch {
	case decodeFull && !prefillLate && prefillLoad <= idleLoad && busy <= max(idlePrefillBusy, idleLoad):
		return figview.Decode
	case prefillFull && decodeLoad <= freeLoad && refused < refusedShare:
		return figview.Prefill
	}
	return figview.Plain
}

// fraction returns part/(part+rest), and 0 if both are 0.
func fraction(part, rest float64) float64 {
	if part+rest == 0 {
		return 0
	}
	return part / (part + rest)
}
