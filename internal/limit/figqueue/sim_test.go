package figqueue

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// simSlots and simSpeed make up the simulated servers, ten engines of twenty
	// requests: requests at a time and tokens a second for each.
	simSlots = 200
	simSpeed = 250.0
	// simPrefill is the part of a request's time up to its first token.
	simPrefill = 0.1
	// simPrompt is the mean size of a request, in tokens.
	simPrompt = 1100
	// simAccounts share the servers with equal weights.
	simAccounts = 8
	// simTime is the simulated time.
	simTime = 300 * time.Second
	// simTarget is the first-token target of the simulated pool.
	simTarget = 3 * time.Second
)

// entitlement is one account's part of the servers, in tokens a second.
const fairShare = simSlots * simSpeed / simAccounts

// load is what one account offers.
type load struct {
	tokensPerSecond float64
	size            int64
}

// request is a simulated request.
type request struct {
	account   int
	tokens    int64
	arrivedAt time.Duration
	// first is when its first token came; zero if it was never served.
	firstTokenAt time.Duration
}

// policy is a way to choose the next request. push returns false if it is refused.
type policy struct {
	push func(r *request, now time.Time) bool
	pop  func(now time.Time) *request
}

// simBounds are the bounds of the queue under every policy.
var simBounds = Options{
	Requests: 400, Bytes: 1 << 30, AccountRequests: 100, AccountBytes: 1 << 30, Placing: 1,
}

func fair() policy {
	s := newScheduler(simBounds)
	requests := map[*entry]*request{}
	return policy{
		push: func(r *request, now time.Time) bool {
			prefill := time.Duration(float64(r.tokens) / simSpeed * simPrefill * 1e9)
			deadline := now.Add(simTarget - prefill)
			item := Item{Account: fmt.Sprint(r.account), Tokens: r.tokens, Deadline: deadline}
			e, refusal := s.push(context.Background(), item, now)
			if refusal == nil {
				requests[e] = r
			}
			return refusal == nil
		},
		pop: func(now time.Time) *request {
			s.expire(now)
			e := s.pop(now)
			if e == nil {
				return nil
			}
			s.finishPlaced(e, now)
			return requests[e]
		},
	}
}

func fifo() policy { return roundRobinLanes(1, simBounds.Requests) }

func roundRobin() policy { return roundRobinLanes(simAccounts, simBounds.AccountRequests) }

// lanes spreads the accounts over bounded lanes and takes from each in turn.
func roundRobinLanes(number, bound int) policy {
	waiting := make([][]*request, number)
	next := 0
	return policy{
		push: func(r *request, _ time.Time) bool {
			w := &waiting[r.account%number]
			if len(*w) == bound {
				return false
			}
			*w = append(*w, r)
			return true
		},
		pop: func(time.Time) *request {
			for range number {
				next = (next + 1) % number
				if w := waiting[next]; len(w) > 0 {
					waiting[next] = w[1:]
					return w[0]
				}
			}
			return nil
		},
	}
}

// arrivals draws the requests of all accounts, oldest first. An account's
// requests don't depend on the load of the others.
func arrivals(loads [simAccounts]load) []*request {
	var all []*request
	for i, l := range loads {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		for at := 0.0; at < simTime.Seconds(); {
			tokens := l.size/2 + random.Int64N(l.size)
			at += random.ExpFloat64() * float64(l.size) / l.tokensPerSecond
			all = append(all, &request{account: i, tokens: tokens, arrivedAt: time.Duration(at * 1e9)})
		}
	}
	slices.SortFunc(all, func(a, b *request) int { return int(a.arrivedAt - b.arrivedAt) })
	return all
}

// simulate runs the requests through the servers and returns those of each account.
func simulate(p policy, loads [simAccounts]load) [simAccounts][]*request {
	// busy holds the times at which servers become free, the first one first.
	var busy []time.Duration
	var out [simAccounts][]*request
	serve := func(now time.Duration) {
		for len(busy) < simSlots {
			r := p.pop(start.Add(now))
			if r == nil {
				return
			}
			hold := float64(r.tokens) / simSpeed * 1e9
			r.firstTokenAt = now + time.Duration(hold*simPrefill)
			free := now + time.Duration(hold)
			i, _ := slices.BinarySearch(busy, free)
			busy = slices.Insert(busy, i, free)
		}
	}
	for _, r := range arrivals(loads) {
		for len(busy) > 0 && busy[0] <= r.arrivedAt {
			free := busy[0]
			busy = busy[1:]
			serve(free)
		}
		out[r.account] = append(out[r.account], r)
		p.push(r, start.Add(r.arrivedAt))
		serve(r.arrivedAt)
	}
	return out
}

// firstToken returns the 95th percentile of the time to the first token.
func firstTokenP95(requests []*request) time.Duration {
	var times []time.Duration
	for _, r := range requests {
		if r.firstTokenAt > 0 {
			times = append(times, r.firstTokenAt-r.arrivedAt)
		}
	}
	slices.Sort(times)
	return times[len(times)*95/100]
}

// worst returns the least goodput of an account over what it was entitled to:
// its load, and at most its part of the servers.
func worstGoodput(out [simAccounts][]*request, loads [simAccounts]load) float64 {
	least := 1.0
	for i, requests := range out {
		good := 0.0
		for _, r := range requests {
			if r.firstTokenAt > 0 && r.firstTokenAt-r.arrivedAt <= simTarget {
				good += float64(r.tokens)
			}
		}
		share := min(loads[i].tokensPerSecond, fairShare) * simTime.Seconds()
		least = min(least, good/share)
	}
	return least
}

// evenLoads returns eighty percent load with the first account at a multiple.
func evenLoads(multiple float64) [simAccounts]load {
	var loads [simAccounts]load
	for i := range loads {
		loads[i] = load{tokensPerSecond: 0.8 * fairShare, size: simPrompt}
	}
	loads[0].tokensPerSecond *= multiple
	return loads
}

// mixedLoads has one account with long prompts at three times its part, one with
// short ones at ten times, and six within their parts.
func mixedLoads() [simAccounts]load {
	loads := evenLoads(10)
	loads[1] = load{tokensPerSecond: 3 * fairShare, size: 4 * simPrompt}
	return loads
}

// bounded puts a budget of the even load and ten seconds' burst in front of the
// first account, as instances do.
func withTokenBucket(p policy) policy {
	const rate = 0.8 * fairShare
	balance, at := 10*rate, start
	push := p.push
	p.push = func(r *request, now time.Time) bool {
		if r.account != 0 {
			return push(r, now)
		}
		balance = min(10*rate, balance+rate*now.Sub(at).Seconds())
		at = now
		if balance < float64(r.tokens) {
			return false
		}
		balance -= float64(r.tokens)
		return push(r, now)
	}
	return p
}

// shift95 returns by how much one account at ten times its load moves the
// first-token p95 of the others, at worst, as a fraction.
func maxP95Shift(p func() policy) float64 {
	base, overloaded := simulate(p(), evenLoads(1)), simulate(p(), evenLoads(10))
	most := 0.0
	for i := 1; i < simAccounts; i++ {
		before, after := firstTokenP95(base[i]), firstTokenP95(overloaded[i])
		most = max(most, float64(after-before)/float64(before))
	}
	return most
}

func TestOverloadingAccountDoesNotDelayOthers(t *testing.T) {
	require.LessOrEqual(t, maxP95Shift(func() policy { return withTokenBucket(fair()) }), 0.10)
	require.Greater(t, maxP95Shift(fifo), 0.10, "the load must be one that hurts without sharing")
	require.Less(t, maxP95Shift(fair), maxP95Shift(roundRobin))
}

func TestWorstServedAccountGetsMoreThanFifoAndRoundRobin(t *testing.T) {
	loads := mixedLoads()
	sharing := worstGoodput(simulate(fair(), loads), loads)
	require.Greater(t, sharing, worstGoodput(simulate(fifo(), loads), loads))
	require.Greater(t, sharing, worstGoodput(simulate(roundRobin(), loads), loads))
}

func BenchmarkFairness(b *testing.B) {
	policies := map[string]func() policy{
		"virtualTime": fair, "fifo": fifo, "roundRobin": roundRobin,
		"budgetAndVirtualTime": func() policy { return withTokenBucket(fair()) },
		"budgetAndFifo":        func() policy { return withTokenBucket(fifo()) },
	}
	for name, p := range policies {
		b.Run(name, func(b *testing.B) {
			loads := mixedLoads()
			for b.Loop() {
				b.ReportMetric(worstGoodput(simulate(p(), loads), loads), "worstGoodput/entitlement")
				b.ReportMetric(100*maxP95Shift(p), "p95Shift%")
			}
		})
	}
}
