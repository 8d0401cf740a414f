package figbalancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// During a pause the server isn't picked, and the caller is told when the first pause ends. A shorter pause that is
// asked for later doesn't end a longer one, and no other answer does.
func TestPausedServerIsNotPicked(t *testing.T) {
	p, v := newPicker(1), plainView(2, nil)
	first, second := &v.Servers["desk"][0], &v.Servers["desk"][1]
	p.Begin(start, v, first, 0).End(start, Result{Answered: true, NoCapacity: true, Pause: 5 * time.Minute})
	p.RecordPause(start, second, 10*time.Minute)
	p.RecordPause(start.Add(time.Second), first, time.Second)
	p.Begin(start, v, first, 0).End(start.Add(time.Second), Result{Answered: true})
	requirePauseLeft := func(now time.Time, left time.Duration, only bool, role figview.Role, excluded ...string) {
		gotLeft, gotOnly := p.PauseLeft(now, v, "desk", excluded, role)
		require.Equal(t, left, gotLeft)
		require.Equal(t, only, gotOnly)
	}
	for _, after := range []time.Duration{time.Second, 2 * time.Minute, 5*time.Minute - time.Millisecond} {
		now := start.Add(after)
		_, err := p.Pick(now, plainQuery(v))
		var none *NoServerError
		require.ErrorAs(t, err, &none)
		require.Equal(t, 5*time.Minute-after, none.RetryAfter)
		require.True(t, p.Withdrawn(now, first))
		require.Len(t, p.WithdrawnServers(now, v, "desk", 9), 2)
		requirePauseLeft(now, 5*time.Minute-after, true, figview.Plain)
		requirePauseLeft(now, 10*time.Minute-after, true, figview.Plain, first.Lifetime())
		requirePauseLeft(now, 0, true, figview.Decode)
		p.Begin(now, v, second, 0).Release() // doesn't remove the idle state of the first
	}
	now := start.Add(5 * time.Minute)
	s, err := p.Pick(now, plainQuery(v))
	require.NoError(t, err)
	require.Equal(t, first.Name, s.Name)
	require.False(t, p.Withdrawn(now, first))
	requirePauseLeft(now, 5*time.Minute, false, figview.Plain)
	p.RecordLeaving(now, second)
	requirePauseLeft(now, 0, false, figview.Plain)
}

// A coordinator prefers other servers to one that has asked an instance for a pause, but doesn't keep it from the others.
func TestPauseOfOneInstanceRanks(t *testing.T) {
	v := plainView(2, nil)
	p := New(Options{
		Random: func() float64 { return 0 }, Members: func(time.Time) int { return 1 }, Coordinates: true,
		OnLocalLoadChange: func(string, figview.ServerLoad) {},
	})
	first := v.Servers["desk"][0]
	p.Begin(start, v, &first, 0).End(start, Result{Answered: true, Pause: time.Minute})
	for range 5 {
		s, err := p.Pick(start, plainQuery(v))
		require.NoError(t, err)
		require.NotEqual(t, first.Name, s.Name)
		p.Begin(start, v, s, 0)
	}
	s, err := p.Pick(start.Add(maxSharedPause), plainQuery(v))
	require.NoError(t, err)
	require.Equal(t, first.Name, s.Name, "a long pause of one instance isn't kept by all")
	v.Servers["desk"] = v.Servers["desk"][:1]
	_, err = p.Pick(start, plainQuery(v))
	require.NoError(t, err)
}

// A server that restarts under its name during a pause may have asked for the pause itself, before the list named it.
func TestRestartedServerKeepsItsPause(t *testing.T) {
	for _, pause := range []time.Duration{3 * time.Second, time.Hour} {
		p, v := newPicker(1), plainView(1, nil)
		s := &v.Servers["desk"][0]
		p.RecordPause(start, s, pause)
		s.StartedAt = start.Add(time.Second)
		kept := min(pause, maxCarriedPause)
		for _, after := range []time.Duration{time.Second, kept - time.Millisecond} {
			now := start.Add(after)
			require.True(t, p.Withdrawn(now, s))
			require.Equal(t, []string{s.Lifetime()}, p.WithdrawnServers(now, v, "desk", 1))
			require.Equal(t, 1, p.WithdrawnCount(now))
			_, err := p.Pick(now, plainQuery(v))
			var none *NoServerError
			require.ErrorAs(t, err, &none)
			require.Equal(t, kept-after, none.RetryAfter)
			left, only := p.PauseLeft(now, v, "desk", nil, figview.Plain)
			require.Equal(t, kept-after, left)
			require.True(t, only)
		}
		now := start.Add(kept)
		require.False(t, p.Withdrawn(now, s))
		p.RecordPause(now, s, time.Minute)
		require.True(t, p.Withdrawn(now.Add(time.Minute-time.Millisecond), s))
		require.False(t, p.Withdrawn(now.Add(time.Minute), s))
	}
}
