package figbudget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// requestsPerMember is the number of requests per second of one instance in the largest fleet.
	requestsPerMember = 23
	// meanCost is the mean reservation, in tokens.
	meanCost = 2000
	// packetHeaders is what TCP, IP and drpc add to a message, in bytes.
	packetHeaders = 52 + 12
	// zipfPower and zipfOffset shape the Zipf distribution of the load over the accounts.
	zipfPower, zipfOffset = 1.1, 20
	// ledgerIncarnation has the same encoded length as a start time in nanoseconds.
	ledgerIncarnation = 1 << 60
)

// ledgerSet is a set of ledgers with one view that answer each other without delay. It counts their
// messages.
type ledgerSet struct {
	random        *rand.Rand
	now           time.Time
	ledgers       []*ledger
	byName        map[string]*ledger
	names         []string
	limits        map[string]Limits
	accountChoice *rand.Zipf
	settlements   []func()

	requests, refused, messages, bytes int
}

func newCrowd(members, accounts int) *ledgerSet {
	c := &ledgerSet{random: rand.New(rand.NewPCG(5, 5)), now: time.Unix(1e6, 0), byName: map[string]*ledger{}}
	c.accountChoice = rand.NewZipf(c.random, zipfPower, zipfOffset, uint64(accounts-1))
	c.limits = map[string]Limits{}
	sum := 0.0
	for i := range accounts {
		sum += popularity(i)
	}
	for i := range accounts {
		name := fmt.Sprintf("region/team-%d/account-%d", i%97, i)
		c.names = append(c.names, name)
		load := popularity(i) / sum * float64(members*requestsPerMember*meanCost)
		rate := int64(load/loadFraction) + meanCost/2
		c.limits[name] = Limits{TokensPerSecond: rate, Burst: 10 * rate}
	}
	list := make([]figview.Member, 0, members)
	for i := range members {
		list = append(list, figview.Member{Name: fmt.Sprintf("instance-%d", i), DataCentre: fmt.Sprintf("centre-%d", i%7)})
	}
	view := figview.NewView(1, list)
	for _, m := range list {
		g := newLedger(m.Name, ledgerIncarnation, limitsOf(&c.limits))
		g.updateView(view, c.now, true)
		g.recordAcks(fixedClock(c.now), allAcked)
		c.ledgers = append(c.ledgers, g)
		c.byName[m.Name] = g
	}
	c.now = c.now.Add(time.Hour)
	return c
}

// popularity returns the weight of the account of a rank in the load.
func popularity(rank int) float64 { return math.Pow(zipfOffset+float64(rank), -zipfPower) }

// run sends requests for d of virtual time, in ticks.
func (c *ledgerSet) run(d time.Duration) {
	perTick := float64(len(c.ledgers)) * requestsPerMember * tickInterval.Seconds()
	due, ticks := 0.0, int(d/tickInterval)
	delay := int(time.Second / tickInterval)
	later := make([][]func(), ticks+delay+1)
	for i := range ticks {
		c.now = c.now.Add(tickInterval)
		for due += perTick; due >= 1; due-- {
			c.settlements = nil
			c.request(c.ledgers[c.random.IntN(len(c.ledgers))], c.names[c.accountChoice.Uint64()])
			later[i+delay] = append(later[i+delay], c.settlements...)
		}
		for _, settle := range later[i] {
			settle()
		}
		for _, g := range c.ledgers {
			c.carry(g, g.tick(c.now))
		}
	}
}

func (c *ledgerSet) request(g *ledger, account string) {
	tokens := int64(meanCost/2) + c.random.Int64N(meanCost)
	a, refusal := g.newAttempt(account, tokens)
	c.requests++
	for refusal == nil {
		var charged *charge
		var request *peerRequest
		charged, request, refusal = g.step(a, c.now, true)
		if charged != nil {
			c.settlements = append(c.settlements, func() { g.settle(account, *charged, tokens*7/10, c.now) })
			return
		}
		if request != nil {
			p := g.queueFor(request.peer.Name, c.now)
			p.requests = append(p.requests, &pendingRequest{attempt: a, request: request, done: func() {}})
			c.carry(g, g.nextMessages(p, c.now))
		}
	}
	c.refused++
}

func (c *ledgerSet) carry(g *ledger, due []*peerMessage) {
	for _, b := range due {
		r := c.byName[b.member.Name].handleRequest(b.payload, ledgerIncarnation, c.now, true)
		c.messages += 2
		c.bytes += encodedSize(b.payload) + encodedSize(r) + 2*packetHeaders
		g.handleReply(b, r, c.now)
	}
}

func encodedSize(v any) int {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

func BenchmarkMessages(b *testing.B) {
	for _, members := range []int{9, 45, 480} {
		for _, accounts := range []int{1000, 10_000, 47_000} {
			b.Run(fmt.Sprintf("members=%d/accounts=%d", members, accounts), func(b *testing.B) {
				for b.Loop() {
					c := newCrowd(members, accounts)
					c.run(3 * time.Second)
					c.requests, c.refused, c.messages, c.bytes = 0, 0, 0, 0
					c.run(5 * time.Second)
					sent := float64(c.requests)
					b.ReportMetric(float64(c.messages)/sent, "packets/request")
					b.ReportMetric(float64(c.bytes)/sent, "B/request")
					b.ReportMetric(float64(c.bytes)/5/float64(members), "B/s/member")
					b.ReportMetric(100*float64(c.refused)/sent, "refused%")
				}
			})
		}
	}
}

// BenchmarkAdmission measures a reservation and its settlement, at a holder of a slot and at a
// lessee, without the network.
func BenchmarkAdmission(b *testing.B) {
	for _, members := range []int{9, 45, 480} {
		c := newCrowd(members, 1000)
		c.limits[c.names[0]] = Limits{TokensPerSecond: 1 << 32, Burst: 1 << 34}
		for _, name := range []string{"holder", "lessee"} {
			b.Run(fmt.Sprintf("members=%d/%s", members, name), func(b *testing.B) {
				g := c.ledgerWhere(c.names[0], name == "holder")
				b.ReportAllocs()
				for b.Loop() {
					c.now = c.now.Add(time.Millisecond)
					c.settlements = nil
					c.request(g, c.names[0])
					for _, settle := range c.settlements {
						settle()
					}
				}
				require.Zero(b, c.refused)
			})
		}
	}
}

// ledgerWhere returns a ledger that holds a slot of the account, or one that doesn't.
func (c *ledgerSet) ledgerWhere(account string, holds bool) *ledger {
	for _, g := range c.ledgers {
		if _, ok := slotOf(g.current().view, g.self, account); ok == holds {
			return g
		}
	}
	return nil
}

// BenchmarkState measures the memory per account at one instance that holds a slot of each account
// and has a lease of each.
func BenchmarkState(b *testing.B) {
	for _, accounts := range []int{1000, 10_000, 47_000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			for b.Loop() {
				c := newCrowd(1, accounts)
				g := c.ledgers[0]
				before := heapSize()
				for _, name := range c.names {
					g.heldSlot(slotID{name, 0}, c.now).addLease(1, 10, c.now)
					p := g.account(name, c.now)
					p.updateHolders(name, g.current())
					p.leases = append(p.leases, lease{holder: g.self, requestedAt: c.now, remaining: 10})
				}
				b.ReportMetric(float64(heapSize()-before)/float64(accounts), "B/account")
				c.now = c.now.Add(time.Minute)
				g.tick(c.now)
				require.Empty(b, g.slots)
				require.Empty(b, g.accounts)
				runtime.KeepAlive(c)
			}
		})
	}
}

func heapSize() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
