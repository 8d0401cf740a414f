package figproxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/place/figquarantine"
)

// A search for a replacement must end without a placement if a part of the prompt has been quarantined meanwhile.
func TestQuarantineEndsSearch(t *testing.T) {
	const part, pool = "bad0bad0", "models"
	now := time.Unix(1000, 0)
	clock := figtimer.Clock{Now: func() time.Time { return now }}
	table := figquarantine.NewTable()
	for _, lifetime := range []string{"d0", "d1", "d2"} {
		table.RecordCrash(now, pool, lifetime, []string{part}, 0)
	}
	now = now.Add(time.Minute)
	quarantine := figquarantine.New(figquarantine.Options{Clock: clock, MayTry: func(string) bool { return false }})
	_, err := quarantine.HandleExchange(t.Context(), &figquarantine.Update{Records: table.Records(now)})
	require.NoError(t, err)
	require.Equal(t, []string{part}, quarantine.Quarantined())

	retries := &RetryBudgets{Floor: 1, Members: func(time.Time) int { return 1 }}
	x := &exchange{
		Proxy: &Proxy{Clock: clock, Quarantine: quarantine, Retries: retries},
		Call:  &Call{CallerMetadata: CallerMetadata{SharedParts: []string{part}}},
		pool:  pool,
	}
	require.False(t, (&silenceWatch{}).replaceOnce(x))
	require.True(t, retries.Available(now, pool))
}

// A silent server must be given up before the request is sent to a third one, even if the timer that ends its overlap is late.
func TestFirstServerIsGivenUpBeforeThirdSend(t *testing.T) {
	gaveUp := false
	outer := &silenceWatch{giveUp: func() { gaveUp = true }, sending: true}
	nested := &silenceWatch{outer: outer, giveUp: func() {}, sending: true}
	nested.startOverlap(&exchange{Proxy: &Proxy{Timer: figtimer.New(figtimer.System())}})
	require.True(t, gaveUp)
	require.Equal(t, watchReplaced, outer.phase)
	require.Equal(t, watchPending, nested.phase)
}
