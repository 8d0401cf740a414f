package figowner

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// reported shows the book a report of a long-lived plain server.
func observeIdle(b *Backend, now time.Time) {
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour)})
}

func newPlain() *Backend {
	b := NewBackend(figview.Server{Name: "t1", Role: figview.Plain}, nil, testStart)
	observeIdle(b, testStart)
	return b
}

// TestProbesBesideHangingCall plays a plain server that answers one call very
// late and fails three others: once the breaker's pause is over, the late call
// must not keep the server shut.
func TestProbesBesideHangingCall(t *testing.T) {
	b := newPlain()
	now := testStart.Add(HandoverPeriod)
	require.Equal(t, Granted, b.Reserve(now, 1, "a", Ask{ID: "late"}, true).Refusal)
	for i := range breakerThreshold {
		require.Equal(t, Granted, b.Reserve(now, uint64(2+i), "a", Ask{ID: strconv.Itoa(i)}, true).Refusal)
		b.RecordFailure(now, ServerError)
		b.Release(now, "a", Release{ID: strconv.Itoa(i)})
	}
	require.Equal(t, Broken, b.Reserve(now, 10, "a", Ask{ID: "early"}, true).Refusal)

	now = now.Add(minOpenTime)
	observeIdle(b, now)
	require.Equal(t, Granted, b.Reserve(now, 11, "a", Ask{ID: "probe"}, true).Refusal)
	require.Equal(t, Broken, b.Reserve(now, 12, "a", Ask{ID: "second"}, true).Refusal, "one probe at a time")
	b.Release(now, "a", Release{ID: "probe", Tokens: 1})
	require.Equal(t, Granted, b.Reserve(now, 13, "a", Ask{ID: "third"}, true).Refusal, "the probe has worked")
}

// TestHangingProbeIsNotTheLast lets a probe hang: another one may go after as
// long a pause as the breaker's own, and no sooner.
func TestHangingProbeIsNotTheLast(t *testing.T) {
	b := newPlain()
	now := testStart.Add(HandoverPeriod)
	b.RecordFailure(now, Unreachable)
	observeIdle(b, now.Add(time.Millisecond))
	now = now.Add(minOpenTime)
	observeIdle(b, now)
	require.Equal(t, Granted, b.Reserve(now, 1, "a", Ask{ID: "probe"}, true).Refusal)
	almost := now.Add(minOpenTime - time.Millisecond)
	observeIdle(b, almost)
	g := b.Reserve(almost, 2, "a", Ask{ID: "second"}, true)
	require.Equal(t, Broken, g.Refusal)
	require.EqualValues(t, retryFloor/time.Millisecond, g.RetryMillis)
	require.Equal(t, Granted, b.Reserve(now.Add(minOpenTime), 3, "a", Ask{ID: "third"}, true).Refusal)
}

// TestPlainFaultsOneAfterAnother plays the faults of the script not-run on one
// plain server, each met by a call of its own: two false refusals, a call that is
// answered after 6 s, two connections closed without an answer, two answers cut.
// Calls come at 100 a second and take 20 ms. The server must serve again within
// the 6 s: half of the script's bound, as that has two servers.
func TestPlainFaultsOneAfterAnother(t *testing.T) {
	const step, most = 10 * time.Millisecond, 6 * time.Second
	faults := []Evidence{Refused, Refused, CallerError, Stalled, Stalled, Stalled, Stalled}
	type call struct {
		ends  time.Time
		fault Evidence
		fails bool
	}
	b := newPlain()
	open := map[string]call{}
	answered, number := 0, uint64(0)
	for now := testStart.Add(HandoverPeriod); now.Before(testStart.Add(HandoverPeriod + most)); now = now.Add(step) {
		for id, c := range open {
			switch {
			case now.Before(c.ends):
				continue
			case c.fails:
				b.RecordFailure(now, c.fault)
				b.Release(now, "a", Release{ID: id})
			default:
				answered++
				b.Release(now, "a", Release{ID: id, Tokens: 1})
			}
			delete(open, id)
		}
		if now.UnixMilli()%500 == 0 {
			observeIdle(b, now)
		}
		number++
		id := strconv.FormatUint(number, 10)
		if b.Reserve(now, number, "a", Ask{ID: id}, true).Refusal != Granted {
			continue
		}
		c := call{ends: now.Add(2 * step)}
		if len(faults) > 0 {
			c.fault, c.fails = faults[0], true
			faults = faults[1:]
		}
		if c.fault == CallerError && c.fails {
			c.ends, c.fails = now.Add(most), false // it only takes long
		}
		open[id] = c
	}
	require.Empty(t, faults)
	require.GreaterOrEqual(t, answered, 25)
	t.Log("answered", answered)
}
