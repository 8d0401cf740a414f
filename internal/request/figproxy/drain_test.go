package figproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// A draining instance must begin a request only if it can't be aborted, or if it came in the first third of the grace
// period.
func TestDrainRefusesWhatItMayCut(t *testing.T) {
	const grace, margin = 9 * time.Second, time.Second
	begun := time.Unix(1000, 0)
	d := DrainFrom(begun, grace, margin)
	require.Equal(t, begun.Add(8*time.Second), d.AbortAt())
	for name, c := range map[string]struct {
		at, left time.Duration
		want     bool
	}{
		"early, long":            {0, time.Hour, true},
		"just early, long":       {3*time.Second - 1, time.Hour, true},
		"late, long":             {3 * time.Second, time.Hour, false},
		"late, ends before":      {3 * time.Second, 5*time.Second - 1, true},
		"late, ends at abortion": {3 * time.Second, 5 * time.Second, false},
		"last, short":            {8*time.Second - 2, 1, true},
		"after, short":           {8 * time.Second, 1, false},
	} {
		require.Equal(t, c.want, d.MayStart(begun.Add(c.at), begun.Add(c.at+c.left)), name)
	}
	require.True(t, Drain{}.MayStart(begun, begun.Add(time.Hour)))
}

// A request that has waited until late in a drain must be refused as not run, unless a server may have it already.
func TestRequestThatWaitedTooLongIsRefusedNotCut(t *testing.T) {
	now := time.Now()
	newExchange := func() *exchange {
		return &exchange{
			Proxy: &Proxy{
				Clock:    figtimer.Clock{Now: func() time.Time { return now }},
				Draining: func() Drain { return DrainFrom(now.Add(-4*time.Second), 9*time.Second, time.Second) },
			},
			Call: &Call{}, ctx: t.Context(), route: &figroute.Route{Kind: figroute.Idempotent, MaxServers: 2},
			answerDeadline: now.Add(time.Minute),
		}
	}
	s := &figcatalogue.Server{Server: figview.Server{Name: "p0"}}
	for name, send := range map[string]func(x *exchange) error{
		"call": func(x *exchange) error {
			_, err := x.sendWhole(s)
			return err
		},
		"stream": func(x *exchange) error {
			_, err := x.openStreamAt(s, "", false)
			return err
		},
	} {
		x := newExchange()
		err := send(x)
		require.Equal(t, figsend.NotRun, figsend.OutcomeOf(err), name)
		require.False(t, x.takeRetry(s, err), name)
		require.Equal(t, figlifecycle.Draining, x.failedSendCause(err).Reason, name)
	}
	x := newExchange()
	require.Error(t, x.checkDrain("p0"))
	x.recordRan(s)
	require.NoError(t, x.checkDrain("p0"))
}
