package figbalancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// site is a site in a burst that doesn't end.
type site struct {
	name                       string
	instances, decode, prefill int
	perSecond                  float64
	// seeds is how many are played; the smaller site has fewer requests in each.
	seeds uint64
}

// The bursts of the two sites, at what their decode servers can hold and a quarter
// above it.
var sites = []site{
	{name: "larger", instances: 9, decode: 6, prefill: 3, perSecond: 17, seeds: 4},
	{name: "largerOver", instances: 9, decode: 6, prefill: 3, perSecond: 21, seeds: 4},
	{name: "smaller", instances: 6, decode: 3, prefill: 1, perSecond: 8, seeds: 8},
	{name: "smallerOver", instances: 6, decode: 3, prefill: 1, perSecond: 10, seeds: 8},
}

const (
	// firstEventTarget is what both sites want for the first event, callerTimeout what callers have;
	// lateAnswerWeight is what an answer is worth to them after the firstEventTarget.
	firstEventTarget = 900 * time.Millisecond
	callerTimeout    = 14 * time.Second
	lateAnswerWeight = 0.2
	// callerRetries is how often a caller comes back after a refusal.
	callerRetries = 1
	// transferAndFirstStep is the transfer of a result and the first decode step.
	transferAndFirstStep = 80 * time.Millisecond
	// decodePromptTokensPerSecond is the rate at which a decode server reads prompts, in tokens a second.
	decodePromptTokensPerSecond = prefillTokensPerSecond / 2
	// maxEventInterval is the mean time maxEventInterval events up to which an answer is not slow.
	maxEventInterval = 80 * time.Millisecond
	// wakeDelayPerInstance is what an instance leaves room to others for, for each of them.
	wakeDelayPerInstance = 5 * time.Millisecond
	// retryFraction and retryFloor bound the sends beyond the first: what operators
	// allow of 20 s, less the part that is left for counts that lag.
	retryFraction = 0.07
	retryFloor    = 14
	// lateQueueTimeout is how long a late request waits for room, longLateQueueTimeout how long it would as
	// a quarter of the callerTimeout.
	lateQueueTimeout     = firstEventTarget / 3
	longLateQueueTimeout = callerTimeout / 4
	// minCallerBackoff is the least time after which a refused caller comes back.
	minCallerBackoff = 500 * time.Millisecond
)

// Ways to know the load of servers.
type loadSource int

const (
	peerLoads loadSource = iota
	ownLoadOnly
	serverReports
)

// Ways to wait for room.
type queueing int

const (
	// predictedWait refuses at once what the queue will hold up for too long, and lets
	// those that can still be on time go first.
	predictedWait queueing = iota
	// unorderedUntilTarget waits, in no order, while the first event can be on time.
	unorderedUntilTarget
	// noQueue refuses what finds no room.
	noQueue
	// untilCallerTimeout waits in the queue as long as the caller does.
	untilCallerTimeout
	// longLateWait lets late requests wait for long, behind the others.
	longLateWait
	// simultaneousWakeUp is as predictedWait, but all instances try at once for room that one of
	// them has told of.
	simultaneousWakeUp
)

// Ways to compute prompts.
type prefillMode int

const (
	productChoice prefillMode = iota
	alwaysSeparate
	alwaysAtDecode
	// reuseElsewhere has another decode server take the result when one has no room for it.
	reuseElsewhere
)

// strategy is one combination; the zero value is what the product does.
type strategy struct {
	name string
	loadSource
	queueing
	prefillMode
}

// tally counts what callers tally.
type tally struct {
	inTime, late, slow, refused, left int
	// turns counts refusals that callers came back from, turnedDown results that a
	// decode server had no room for.
	turns, turnedDown int
}

func (g *tally) add(n tally) {
	g.inTime += n.inTime
	g.late += n.late
	g.slow += n.slow
	g.refused += n.refused
	g.left += n.left
	g.turns += n.turns
	g.turnedDown += n.turnedDown
}

// score is what callers tally of what they could: all for an answer on time and at a score
// pace, lateAnswerWeight for another one.
func (g *tally) score() float64 {
	late := float64(g.late + g.slow)
	return (float64(g.inTime-g.slow) + lateAnswerWeight*late) / float64(g.inTime+g.late+g.refused+g.left)
}

// Of the ways to know the load, to wait and to compute prompts, the product's must
// serve callers best, or as well as the best, in bursts that don't end. One site's
// figure varies by up to 0.02 from run to run; the mean of the four doesn't.
func TestStrategiesCompared(t *testing.T) {
	others := []strategy{
		{name: "own load only", loadSource: ownLoadOnly},
		{name: "server reports", loadSource: serverReports},
		{name: "unordered wait", queueing: unorderedUntilTarget},
		{name: "no queue", queueing: noQueue},
		{name: "wait until caller timeout", queueing: untilCallerTimeout},
		{name: "late requests wait long", queueing: longLateWait},
		{name: "all instances woken at once", queueing: simultaneousWakeUp},
		{name: "prefill result reused reuseElsewhere", prefillMode: reuseElsewhere},
		{name: "always separate prefill", prefillMode: alwaysSeparate},
		{name: "always prefill at decode", prefillMode: alwaysAtDecode},
	}
	// tolerance is the difference up to which the users call two figures the tolerance.
	const tolerance = 0.03
	best, turnedDown := simulateSites(t, strategy{name: "product", queueing: predictedWait})
	for _, w := range others {
		score, down := simulateSites(t, w)
		require.GreaterOrEqual(t, best, score-tolerance, w.name)
		switch w.queueing {
		case simultaneousWakeUp:
			require.Less(t, turnedDown*5, down*4, "leaving room to others spares a fifth of the results that are turned down")
		case longLateWait:
			require.Greater(t, best, score+tolerance/2, "refusing what is late soon serves callers better")
		}
	}
}

// simulateSites callerRetries the mean of what callers tally of what they could, over all sites,
// and how many results were turned down.
func simulateSites(t *testing.T, w strategy) (score float64, turnedDown int) {
	for _, s := range sites {
		var sum tally
		for seed := range s.seeds {
			sum.add(simulate(t, s, w, seed))
		}
		t.Logf("%-11s %-18s score %.3f %+v", s.name, w.name, sum.score(), sum)
		score += sum.score() / float64(len(sites))
		turnedDown += sum.turnedDown
	}
	t.Logf("%-11s %-18s score %.3f", "mean", w.name, score)
	return score, turnedDown
}
