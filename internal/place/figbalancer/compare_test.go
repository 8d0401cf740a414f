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
	// target is what both sites want for the first event, patience what callers have;
	// lateWorth is what an answer is worth to them after the target.
	target    = 900 * time.Millisecond
	patience  = 14 * time.Second
	lateWorth = 0.2
	// returns is how often a caller comes back after a refusal.
	returns = 1
	// firstStep is the transfer of a result and the first decode step.
	firstStep = 80 * time.Millisecond
	// decodeRead is the rate at which a decode server reads prompts, in tokens a second.
	decodeRead = prefillRate / 2
	// between is the mean time between events up to which an answer is not slow.
	between = 80 * time.Millisecond
	// roomPause is what an instance leaves room to others for, for each of them.
	roomPause = 5 * time.Millisecond
	// retryFraction and retryFloor bound the sends beyond the first: what operators
	// allow of 20 s, less the part that is left for counts that lag.
	retryFraction = 0.07
	retryFloor    = 14
	// lateWait is how long a late request waits for room, lateLong how long it would as
	// a quarter of the patience.
	lateWait = target / 3
	lateLong = patience / 4
	// soonest is the least time after which a refused caller comes back.
	soonest = 500 * time.Millisecond
)

// Ways to know the load of servers.
type knowledge int

const (
	toldByAll knowledge = iota
	ownCounts
	reportedLoad
)

// Ways to wait for room.
type waiting int

const (
	// predicted refuses at once what the queue will hold up for too long, and lets
	// those that can still be on time go first.
	predicted waiting = iota
	// untilUseless waits, in no order, while the first event can be on time.
	untilUseless
	// notAtAll refuses what finds no room.
	notAtAll
	// byPatience waits in the queue as long as the caller does.
	byPatience
	// lateToo lets late requests wait for long, behind the others.
	lateToo
	// wokenByNews is as predicted, but all instances try at once for room that one of
	// them has told of.
	wokenByNews
)

// Ways to compute prompts.
type reading int

const (
	chosen reading = iota
	alwaysApart
	alwaysThere
	// elsewhere has another decode server take the result when one has no room for it.
	elsewhere
)

// way is one combination; the zero value is what the product does.
type way struct {
	name string
	knowledge
	waiting
	reading
}

// got counts what callers got.
type got struct {
	inTime, late, slow, refused, left int
	// turns counts refusals that callers came back from, turnedDown results that a
	// decode server had no room for.
	turns, turnedDown int
}

func (g *got) add(n got) {
	g.inTime += n.inTime
	g.late += n.late
	g.slow += n.slow
	g.refused += n.refused
	g.left += n.left
	g.turns += n.turns
	g.turnedDown += n.turnedDown
}

// good is what callers got of what they could: all for an answer on time and at a good
// pace, lateWorth for another one.
func (g *got) good() float64 {
	late := float64(g.late + g.slow)
	return (float64(g.inTime-g.slow) + lateWorth*late) / float64(g.inTime+g.late+g.refused+g.left)
}

// Of the ways to know the load, to wait and to compute prompts, the product's must
// serve callers best, or as well as the best, in bursts that don't end. One site's
// figure varies by up to 0.02 from run to run; the mean of the four doesn't.
func TestWaysCompared(t *testing.T) {
	others := []way{
		{name: "own counts", knowledge: ownCounts},
		{name: "reported load", knowledge: reportedLoad},
		{name: "wait, no order", waiting: untilUseless},
		{name: "no queue", waiting: notAtAll},
		{name: "wait by patience", waiting: byPatience},
		{name: "late ones wait too", waiting: lateToo},
		{name: "woken by news", waiting: wokenByNews},
		{name: "result elsewhere", reading: elsewhere},
		{name: "prefill apart", reading: alwaysApart},
		{name: "prefill at decode", reading: alwaysThere},
	}
	// same is the difference up to which the users call two figures the same.
	const same = 0.03
	best, turnedDown := playSites(t, way{name: "product", waiting: predicted})
	for _, w := range others {
		good, down := playSites(t, w)
		require.GreaterOrEqual(t, best, good-same, w.name)
		switch w.waiting {
		case wokenByNews:
			require.Less(t, turnedDown*5, down*4, "leaving room to others spares a fifth of the results that are turned down")
		case lateToo:
			require.Greater(t, best, good+same/2, "refusing what is late soon serves callers better")
		}
	}
}

// playSites returns the mean of what callers got of what they could, over all sites,
// and how many results were turned down.
func playSites(t *testing.T, w way) (good float64, turnedDown int) {
	for _, s := range sites {
		var sum got
		for seed := range s.seeds {
			sum.add(playWay(t, s, w, seed))
		}
		t.Logf("%-11s %-18s good %.3f %+v", s.name, w.name, sum.good(), sum)
		good += sum.good() / float64(len(sites))
		turnedDown += sum.turnedDown
	}
	t.Logf("%-11s %-18s good %.3f", "mean", w.name, good)
	return good, turnedDown
}
