package figcoordinator

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figdiscovery"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

// limitedCalls sends calls to plain servers of which the first names a limit.
type limitedCalls struct {
	fleet   *fleet
	limited string
	limit   float64

	mu     sync.Mutex
	at     []time.Time
	served int
}

// call places a call at an instance, and ends it as a server would answer.
func (l *limitedCalls) call(ctx context.Context, i int) {
	l.fleet.mu.Lock()
	instance := l.fleet.all[fmt.Sprintf("i%03d", i)]
	l.fleet.mu.Unlock()
	p, err := instance.Placer.Place(ctx, &Request{Pool: pool, Wait: 60 * time.Millisecond, Lasts: time.Second, NoPrefill: true})
	if err != nil {
		return
	}
	result := figbalancer.Result{Answered: true}
	local := instance.Fallback.Begin(time.Now(), l.fleet.view, p.Decode, 0)
	l.mu.Lock()
	l.served++
	if p.Decode.Name == l.limited {
		l.at = append(l.at, time.Now())
		result.Limited, result.RateLimit = true, l.limit
	}
	l.mu.Unlock()
	<-time.After(20 * time.Millisecond)
	local.End(time.Now(), result)
	p.End(result, false, 0)
}

// most returns the largest number of calls that the limited server got in 4 s, from a time on.
func (l *limitedCalls) most(from time.Time) int {
	most := 0
	for i := range l.at {
		n := 0
		for _, at := range l.at[i:] {
			if at.Sub(l.at[i]) <= 4*time.Second && !l.at[i].Before(from) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// All instances together must keep the rate limit that a server names, also when its coordinator dies, when the
// old one is back without knowledge, and while no coordinator answers.
func TestRateLimitOfServer(t *testing.T) {
	const limit, perSecond = 3.0, 40
	for _, size := range []int{9, 195} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			run(t, func(ctx context.Context, t *testing.T) {
				servers := []figcatalogue.Server{newServer("s0", figview.Plain), newServer("s1", figview.Plain)}
				f := newFleetOf(ctx, size, servers)
				<-time.After(adoptionTime + 2*adoptInterval)
				l := &limitedCalls{fleet: f, limited: "s0", limit: limit}
				var all sync.WaitGroup
				begun := time.Now()
				all.Go(func() {
					for i := 0; time.Since(begun) < 40*time.Second; i++ {
						all.Go(func() { l.call(ctx, i%size) })
						<-time.After(time.Second / perSecond)
					}
				})
				members := f.members
				old := f.coordinatorNames(0)[0]
				var rest []figdiscovery.Member
				for _, m := range members {
					if m.Name != old {
						rest = append(rest, m)
					}
				}
				<-time.After(10 * time.Second)
				f.setSilent(old)
				<-time.After(time.Second)
				f.setMembers(rest)
				<-time.After(9 * time.Second)
				f.setSilent()
				f.mu.Lock()
				f.all[old] = f.start(ctx, figtimer.New(figtimer.System()), old)
				f.mu.Unlock()
				f.setMembers(members)
				<-time.After(10 * time.Second)
				f.setSilent(f.coordinatorNames(0)...)
				all.Wait()
				require.LessOrEqual(t, l.most(begun.Add(3*time.Second)), int(1.5*limit*4)+5)
				require.Greater(t, len(l.at), 60, "the server must get what it can bear")
				require.Greater(t, l.served, 40*perSecond*3/4, "the other server takes the rest")
			})
		})
	}
}
