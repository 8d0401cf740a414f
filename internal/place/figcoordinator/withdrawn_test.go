package figcoordinator

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figbalancer"
)

// placeOften places requests of an instance and returns how many each server got.
func placeOften(ctx context.Context, t *testing.T, f *fleet, name string, times int) map[string]int {
	got := map[string]int{}
	for range times {
		p, err := f.all[name].Placer.Place(ctx, &Request{Pool: pool, Wait: 60 * time.Millisecond, Lasts: time.Second, NoPrefill: true})
		require.NoError(t, err)
		got[p.Decode.Name]++
		p.End(figbalancer.Result{Answered: true}, false, 0)
		<-time.After(20 * time.Millisecond)
	}
	return got
}

// An instance that knows of a leaving server gets other servers from a coordinator that doesn't know it, and if no
// coordinator answers.
func TestWithdrawnServersAreNotPlaced(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleetOf(ctx, 9, []figcatalogue.Server{newServer("s0", figview.Plain), newServer("s1", figview.Plain)})
		<-time.After(adoptionTime + 2*adoptInterval)
		name := f.others()[0]
		f.all[name].Fallback.RecordLeaving(time.Now(), &f.view.Servers[pool][0])
		require.Equal(t, map[string]int{"s1": 100}, placeOften(ctx, t, f, name, 100))
		require.Positive(t, placeOften(ctx, t, f, f.others()[1], 100)["s0"], "others aren't told")
		f.setSilent(f.coordinatorNames(0)...)
		require.Equal(t, map[string]int{"s1": 100}, placeOften(ctx, t, f, name, 100))
	})
}

// A coordinator that gets told that a server leaves gives it to no instance, at the beginning of a stream, too. If no other
// server is left, requests are refused at once.
func TestCoordinatorKnowsLeavingServers(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		f := newFleetOf(ctx, 9, []figcatalogue.Server{newServer("s0", figview.Plain), newServer("s1", figview.Plain)})
		<-time.After(adoptionTime + 2*adoptInterval)
		leaving := figbalancer.Result{Answered: true, Leaving: true}
		for left := 2; left > 0; left-- {
			p, err := f.all[f.others()[0]].Placer.Place(ctx, &Request{Pool: pool, Wait: time.Second, Lasts: time.Second, NoPrefill: true})
			require.NoError(t, err)
			if left == 2 {
				p.ReportAnswer(leaving)
			} else {
				p.End(leaving, false, 0)
			}
			<-time.After(100 * time.Millisecond)
			if left == 2 {
				require.Zero(t, placeOften(ctx, t, f, f.others()[1], 100)[p.Decode.Name])
			}
		}
		for _, name := range f.others() {
			begun := time.Now()
			_, err := f.all[name].Placer.Place(ctx, &Request{Pool: pool, Wait: time.Second, Lasts: time.Second, NoPrefill: true})
			require.Error(t, err)
			require.Less(t, time.Since(begun), 100*time.Millisecond)
		}
	})
}

// During a pause of the only server that one instance has to keep, that instance's requests wait if the pause ends in
// time, and are otherwise refused at once with its end. The others' requests are placed.
func TestPauseOfOneInstance(t *testing.T) {
	for _, silent := range []bool{false, true} {
		run(t, func(ctx context.Context, t *testing.T) {
			f := newFleetOf(ctx, 9, []figcatalogue.Server{newServer("s0", figview.Plain)})
			<-time.After(adoptionTime + 2*adoptInterval)
			if silent {
				f.setSilent(f.coordinatorNames(0)...)
				_, err := f.all[f.others()[0]].Placer.Place(ctx, &Request{Pool: pool, Wait: time.Second, Lasts: time.Second, NoPrefill: true})
				require.NoError(t, err, "the coordinator is found to be silent")
			}
			s := &f.view.Servers[pool][0]
			paused, other := f.all[f.others()[0]], f.others()[1]
			place := func(wait time.Duration) (time.Duration, error) {
				begun := time.Now()
				p, err := paused.Placer.Place(ctx, &Request{Pool: pool, Wait: wait, Lasts: time.Second, NoPrefill: true})
				if err == nil {
					p.End(figbalancer.Result{Answered: true}, false, 0)
				}
				return time.Since(begun), err
			}
			paused.Fallback.RecordPause(time.Now(), s, 400*time.Millisecond)
			waited, err := place(700 * time.Millisecond)
			require.NoError(t, err)
			require.GreaterOrEqual(t, waited, 390*time.Millisecond)
			paused.Fallback.RecordPause(time.Now(), s, 30*time.Second)
			waited, err = place(700 * time.Millisecond)
			require.Less(t, waited, 100*time.Millisecond)
			var none *figbalancer.NoServerError
			require.ErrorAs(t, err, &none)
			require.InDelta(t, 30, none.RetryAfter.Seconds(), 0.5)
			require.Equal(t, map[string]int{"s0": 10}, placeOften(ctx, t, f, other, 10))
		})
	}
}
