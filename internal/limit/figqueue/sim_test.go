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
	// simSlots is the number of concurrent requests of all simulated servers: ten engines of twenty.
	simSlots = 200
	// simSpeed is the speed of each slot in tokens per second.
	simSpeed = 250.0
	// simPrefill is the fraction of a request's service time before its first token.
	simPrefill = 0.1
	// simPrompt is the mean size of a request in tokens.
	simPrompt = 1100
	// simAccounts is the number of accounts, all of equal weight.
	simAccounts = 8
	// simTime is how long requests arrive, in simulated time.
	simTime = 300 * time.Second
	// simTarget is the pool's target for the time to first token.
	simTarget = 3 * time.Second
)

// fairShare is one account's share of the servers' throughput, in tokens per second.
const fairShare = simSlots * simSpeed / simAccounts

// load is the traffic that one account sends. size is the mean size of its requests in tokens.
type load struct {
	tokensPerSecond float64
	size            int64
}

// request is a simulated request.
type request struct {
	account   int
	tokens    int64
	arrivedAt time.Duration
	// firstTokenAt is zero if the request was never served.
	firstTokenAt time.Duration
}

// policy queues requests and chooses the next one. push returns false if the request is refused, pop nil if none waits.
type policy struct {
	push func(r *request, now time.Time) bool
	pop  func(now time.Time) *request
}

// simBounds are the queue bounds that all policies use.
var simBounds = Options{
	MaxRequests: 400, MaxBytes: 1 << 30, MaxAccountRequests: 100, MaxAccountBytes: 1 << 30, MaxConcurrentPlacements: 1,
}

// fair is the scheduler of this package.
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

func fifo() policy { return roundRobinLanes(1, simBounds.MaxRequests) }

func roundRobin() policy { return roundRobinLanes(simAccounts, simBounds.MaxAccountRequests) }

// roundRobinLanes spreads the accounts over FIFO queues of the given bound and pops from each queue in turn.
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

// arrivals draws the requests of all accounts with Poisson arrivals, sorted by time. Each account has its own random
// sequence, so that its requests don't depend on the loads of other accounts.
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

// simulate serves the requests by policy p and returns the requests of each account.
func simulate(p policy, loads [simAccounts]load) [simAccounts][]*request {
	// busy holds the times at which the occupied slots become free, in ascending order.
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

// firstTokenP95 returns the 95th percentile of the time to first token of the served requests.
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

// worstGoodput returns the lowest ratio, over all accounts, of tokens served within simTarget to the tokens that the
// account sent, of which at most its fair share counts. The result is at most 1.
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

// evenLoads loads each account with 80% of its fair share, and the first account with a multiple of that.
func evenLoads(multiple float64) [simAccounts]load {
	var loads [simAccounts]load
	for i := range loads {
		loads[i] = load{tokensPerSecond: 0.8 * fairShare, size: simPrompt}
	}
	loads[0].tokensPerSecond *= multiple
	return loads
}

// mixedLoads loads account 0 with short prompts at ten times its even load, account 1 with long prompts at three times
// its fair share, and six accounts within their fair share.
func mixedLoads() [simAccounts]load {
	loads := evenLoads(10)
	loads[1] = load{tokensPerSecond: 3 * fairShare, size: 4 * simPrompt}
	return loads
}

// withTokenBucket limits the first account by a token bucket in front of p, as instances do. The rate is the even load,
// the burst ten seconds of it.
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

// maxP95Shift returns the largest relative change in the p95 time to first token of any other account when the first
// account sends ten times its load.
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
	require.Greater(t, maxP95Shift(fifo), 0.10, "the load must delay other accounts under FIFO, or the test shows nothing")
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
