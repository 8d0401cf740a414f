package figowner

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// observeIdle gives the backend an idle report of a plain server that has run for an hour.
func observeIdle(b *Backend, now time.Time) {
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour)})
}

func newPlain() *Backend {
	b := NewBackend(figview.Server{Name: "t1", Role: figview.Plain}, nil, testStart)
	observeIdle(b, testStart)
	return b
}

// A call that was granted before the breaker opened and hangs must not block the probe. The server
// answers one call very late and fails breakerThreshold others. Once the breaker's open time is over,
// a probe must be granted although the late call still runs.
func TestProbeWithHangingCall(t *testing.T) {
	b := newPlain()
	now := testStart.Add(HandoverPeriod)
	require.Equal(t, Granted, b.Reserve(now, 1, "a", ReservationRequest{ID: "late"}, true).Outcome)
	for i := range breakerThreshold {
		require.Equal(t, Granted, b.Reserve(now, uint64(2+i), "a", ReservationRequest{ID: strconv.Itoa(i)}, true).Outcome)
		b.RecordFailure(now, ServerError)
		b.Release(now, "a", Release{ID: strconv.Itoa(i)})
	}
	require.Equal(t, Unavailable, b.Reserve(now, 10, "a", ReservationRequest{ID: "early"}, true).Outcome)

	now = now.Add(minOpenTime)
	observeIdle(b, now)
	require.Equal(t, Granted, b.Reserve(now, 11, "a", ReservationRequest{ID: "probe"}, true).Outcome)
	require.Equal(t, Unavailable, b.Reserve(now, 12, "a", ReservationRequest{ID: "second"}, true).Outcome, "one probe at a time")
	b.Release(now, "a", Release{ID: "probe", Tokens: 1})
	require.Equal(t, Granted, b.Reserve(now, 13, "a", ReservationRequest{ID: "third"}, true).Outcome, "the probe succeeded")
}

// A probe that hangs must not block further probes for good. The next probe is granted after as long
// as the breaker was open, and no sooner.
func TestHangingProbeAllowsAnother(t *testing.T) {
	b := newPlain()
	now := testStart.Add(HandoverPeriod)
	b.RecordFailure(now, Unreachable)
	observeIdle(b, now.Add(time.Millisecond))
	now = now.Add(minOpenTime)
	observeIdle(b, now)
	require.Equal(t, Granted, b.Reserve(now, 1, "a", ReservationRequest{ID: "probe"}, true).Outcome)
	almost := now.Add(minOpenTime - time.Millisecond)
	observeIdle(b, almost)
	g := b.Reserve(almost, 2, "a", ReservationRequest{ID: "second"}, true)
	require.Equal(t, Unavailable, g.Outcome)
	require.EqualValues(t, minRetryDelay/time.Millisecond, g.RetryMillis)
	require.Equal(t, Granted, b.Reserve(now.Add(minOpenTime), 3, "a", ReservationRequest{ID: "third"}, true).Outcome)
}

// A plain server must serve again soon after a series of faults. The faults are those of the script
// not-run, each on a call of its own: two false refusals, a call answered after 6 s, two connections
// closed without an answer, and two truncated answers. Calls come at 100 per second and take 20 ms.
// The server must serve again within the 6 s: half of the script's bound, because the script has two
// servers.
func TestPlainServerRecoversFromFaults(t *testing.T) {
	const step, limit = 10 * time.Millisecond, 6 * time.Second
	faults := []FailureKind{Refused, Refused, CallerError, StreamFailed, StreamFailed, StreamFailed, StreamFailed}
	type call struct {
		ends  time.Time
		fault FailureKind
		fails bool
	}
	b := newPlain()
	open := map[string]call{}
	answered, number := 0, uint64(0)
	for now := testStart.Add(HandoverPeriod); now.Before(testStart.Add(HandoverPeriod + limit)); now = now.Add(step) {
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
		if b.Reserve(now, number, "a", ReservationRequest{ID: id}, true).Outcome != Granted {
			continue
		}
		c := call{ends: now.Add(2 * step)}
		if len(faults) > 0 {
			c.fault, c.fails = faults[0], true
			faults = faults[1:]
		}
		if c.fault == CallerError && c.fails {
			c.ends, c.fails = now.Add(limit), false // slow, but succeeds
		}
		open[id] = c
	}
	require.Empty(t, faults)
	require.GreaterOrEqual(t, answered, 25)
	t.Log("answered", answered)
}
