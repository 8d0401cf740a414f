package figbalancer

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// limitedPicker returns a picker of one plain server that names a limit, shared by members.
func limitedPicker(members int, perSecond float64) (*Picker, *figcatalogue.View, *figcatalogue.Server) {
	p, v := newPicker(members), plainView(1, nil)
	s := &v.Servers["desk"][0]
	p.Begin(start, v, s, 0).End(start, Result{Answered: true, Limited: true, RateLimit: perSecond})
	return p, v, s
}

// sendFor picks the server at each interval for some time, and returns how often it got a request.
func sendFor(p *Picker, v *figcatalogue.View, from time.Time, duration, interval time.Duration) (sends int, shortest time.Duration) {
	for now := from; now.Sub(from) < duration; now = now.Add(interval) {
		s, err := p.Pick(now, &Query{View: v, Pool: "desk", Roles: []figview.Role{figview.Plain}})
		if err != nil {
			var none *NoServerError
			if errors.As(err, &none) && (shortest == 0 || none.RetryAfter < shortest) {
				shortest = none.RetryAfter
			}
			continue
		}
		p.Begin(now, v, s, 0).End(now, Result{Answered: true, Limited: true, RateLimit: p.Limits(now)[s.Lifetime()]})
		sends++
	}
	return sends, shortest
}

func TestRateLimit(t *testing.T) {
	for _, c := range []struct {
		name      string
		members   int
		perSecond float64
		least     int
		most      int
	}{
		{"alone", 1, 2.8, 27, 30},
		{"fast", 1, 100, 990, 1060},
		{"shared", 9, 9, 9, 11},
		{"shared by many", 195, 5.5, 0, 1},
		{"none at all", 1, 0, 2, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, v, _ := limitedPicker(c.members, c.perSecond)
			sends, wait := sendFor(p, v, start, 10*time.Second, 5*time.Millisecond)
			require.GreaterOrEqual(t, sends, c.least)
			require.LessOrEqual(t, sends, c.most)
			require.Positive(t, wait, "a refusal says when there is room again")
		})
	}
}

// After a pause no more than the requests of limitBurst may be sent at once.
func TestRateLimitAfterPause(t *testing.T) {
	p, v, _ := limitedPicker(1, 10)
	sends, _ := sendFor(p, v, start.Add(time.Minute), time.Millisecond, 10*time.Microsecond)
	require.Equal(t, 5, sends)
}

// A limit holds until an answer comes without it that is not older than the one that named it.
func TestRateLimitEnds(t *testing.T) {
	p, v, s := limitedPicker(1, 0)
	answer := func(after time.Duration, r Result) {
		p.Begin(start.Add(after), v, s, 0).End(start.Add(after), r)
	}
	answer(limitHold/2, Result{Answered: true})
	require.True(t, p.Limited(start.Add(limitHold), s))
	answer(limitHold, Result{Failed: true})
	require.True(t, p.Limited(start.Add(limitHold), s), "a failure without an answer says nothing")
	answer(limitHold, Result{Answered: true})
	require.False(t, p.Limited(start.Add(limitHold), s))
	require.Empty(t, p.Limits(start.Add(limitHold)))
}

// The limit of an idle server is remembered for limitTTL, and then forgotten with its state.
func TestRateLimitIsRemembered(t *testing.T) {
	p, _, s := limitedPicker(1, 1)
	later := start.Add(limitTTL - time.Second)
	p.removeExpired(later)
	require.True(t, p.Limited(later, s))
	p.removeExpired(later.Add(idleStateTTL + time.Second))
	require.Empty(t, p.states)
}

// A limit that another instance knows is taken over, and doesn't replace what the server told here.
func TestLearnLimit(t *testing.T) {
	p, v := newPicker(1), plainView(1, nil)
	s := &v.Servers["desk"][0]
	p.LearnLimit(start, s, 3)
	require.Equal(t, map[string]float64{s.Lifetime(): 3}, p.Limits(start))
	p.Begin(start, v, s, 0).End(start, Result{Answered: true, Limited: true, RateLimit: 2})
	p.LearnLimit(start, s, 5)
	require.Equal(t, map[string]float64{s.Lifetime(): 2}, p.Limits(start))
}

// The beginning of a stream names the limit for the requests that follow.
func TestRecordNotices(t *testing.T) {
	p, v := newPicker(1), plainView(1, nil)
	s := &v.Servers["desk"][0]
	rv := p.Begin(start, v, s, 0)
	rv.RecordNotices(start, Result{Answered: true, Limited: true, RateLimit: 1})
	sends, _ := sendFor(p, v, start, 3*time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, sends, 4)
}
