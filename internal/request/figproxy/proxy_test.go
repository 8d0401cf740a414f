package figproxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/limit/figqueue"
	"figtrail.dev/figtrail/internal/place/figbalancer"
	"figtrail.dev/figtrail/internal/request/figlifecycle"
	"figtrail.dev/figtrail/internal/request/figsend"
)

// 503, 429, 408 and 421 promise that a request has not run and never will. No result
// with another outcome may get one of them.
func TestStatusKeepsItsPromise(t *testing.T) {
	promises := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	refusedBefore := map[figlifecycle.Reason]bool{
		figlifecycle.OverBudget: true, figlifecycle.BadRequest: true, figlifecycle.Unauthorized: true, figlifecycle.NotFound: true, figlifecycle.TooLarge: true,
	}
	for _, reason := range figlifecycle.Reasons() {
		for _, outcome := range []figlifecycle.Outcome{figlifecycle.OutcomeUnknown, figlifecycle.Cut, figlifecycle.Cancelled} {
			if refusedBefore[reason] {
				continue // such a request is refused before anything is sent
			}
			status := StatusOf(&figlifecycle.Result{Cause: figlifecycle.Cause{Reason: reason}, Outcome: outcome})
			require.NotContains(t, promises, status, "%s, %s", reason, outcome)
		}
	}
	for reason, want := range map[figlifecycle.Reason]int{
		figlifecycle.OverBudget: 429, figlifecycle.NoServer: 503, figlifecycle.QueueFull: 503, figlifecycle.ServerFailed: 503, figlifecycle.Deadline: 503,
		figlifecycle.NotFound: 404, figlifecycle.Unauthorized: 401,
	} {
		require.Equal(t, want, StatusOf(&figlifecycle.Result{Cause: figlifecycle.Cause{Reason: reason}, Outcome: figlifecycle.NotRun}), reason)
	}
	require.Equal(t, http.StatusGatewayTimeout, StatusOf(&figlifecycle.Result{Cause: figlifecycle.Cause{Reason: figlifecycle.Deadline}, Outcome: figlifecycle.OutcomeUnknown}))
}

// A request must be placed while its first event can be on time; one that has come
// back too late for that waits behind the others, for a third of the target.
func TestTiming(t *testing.T) {
	const limit, target = 14 * time.Second, 900 * time.Millisecond
	now := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		patience     time.Duration
		prompt       int64
		deadline     time.Duration
		targetMissed bool
	}{
		"fresh":                 {limit, 5500, 720 * time.Millisecond, false},
		"no patience told":      {0, 5500, 720 * time.Millisecond, false},
		"more than the limit":   {time.Hour, 5500, 720 * time.Millisecond, false},
		"back after 400 ms":     {limit - 400*time.Millisecond, 5500, 320 * time.Millisecond, false},
		"back after 2 s":        {12 * time.Second, 5500, 300 * time.Millisecond, true},
		"a prompt that is long": {limit, 110000, 300 * time.Millisecond, true},
	} {
		got := placementTimingOf(now, c.patience, limit, target, c.prompt)
		require.Equal(t, c.targetMissed, got.targetMissed, name)
		require.Equal(t, c.deadline, got.deadline.Sub(now), name)
	}
}

// A request that nobody tried to place, since others waited before it, found its
// queue full: servers there are.
func TestReason(t *testing.T) {
	ended := &figqueue.Refusal{Account: "acme", Reason: figqueue.Ended}
	none := &figbalancer.NoServer{Reason: "none is listed"}
	full := &figbalancer.NoServer{Full: true}
	for name, c := range map[string]struct {
		err  error
		want figlifecycle.Reason
	}{
		"none listed":         {none, figlifecycle.NoServer},
		"none, then late":     {errors.CombineErrors(none, ended), figlifecycle.NoServer},
		"all full":            {full, figlifecycle.QueueFull},
		"all full, then late": {errors.CombineErrors(full, ended), figlifecycle.QueueFull},
		"never tried":         {ended, figlifecycle.QueueFull},
		"another":             {errors.New("x"), figlifecycle.NoServer},
	} {
		require.Equal(t, c.want, placementReason(c.err), name)
	}
}

func TestFollows(t *testing.T) {
	for _, c := range []struct {
		last, id string
		want     bool
	}{
		{"", "1", true}, {"1", "2", true}, {"9", "10", true}, {"2", "2", false}, {"3", "2", false}, {"3", "", true}, {"a", "a", true},
	} {
		require.Equal(t, c.want, follows([]byte(c.last), []byte(c.id)), "%s then %s", c.last, c.id)
	}
}

// No window of all instances may see more than operators tolerate: half at once, the
// other half within the window.
func TestToleranceAddsUp(t *testing.T) {
	a := &figroute.Account{Rate: 1000, Burst: 3000}
	o := Tolerance{Window: 8 * time.Second, Overage: 0.25, Slack: 5000}
	l := o.limiterLimits(a)
	all := o.Overage*(a.Rate*8+a.Burst) + o.Slack
	require.LessOrEqual(t, l.SpareBurst+l.SpareRate*8, all)
	require.Greater(t, l.SpareBurst+l.SpareRate*8, all/2)
	require.Zero(t, Tolerance{}.limiterLimits(a).SpareBurst)
	require.Zero(t, o.limiterLimits(&figroute.Account{}).SpareBurst, "without a rate there is nothing beyond it")
}

// The floor of the retry budget is shared by the instances.
func TestRetriesAreShared(t *testing.T) {
	now := time.Unix(1000, 0)
	members := 9
	r := &Retries{Fraction: 0.14, Floor: 40, Members: func(time.Time) int { return members }}
	taken := func(pool string) int {
		n := 0
		for r.Take(now, pool) {
			n++
		}
		return n
	}
	require.Equal(t, 4, taken("a"))
	require.Equal(t, 4, taken("b"), "each pool has its own")
	for range 100 {
		r.RecordRequest(now, "a")
	}
	r.Spend(now, "a")
	require.Equal(t, 13, taken("a"))
	members = 1
	require.Equal(t, 36, taken("b"))
}

// A caller isn't asked to come back into an outage that has only begun, nor kept away
// for longer than outages last.
func TestStartWait(t *testing.T) {
	for away, want := range map[time.Duration]time.Duration{0: minOutageRetryAfter, time.Second: time.Second, time.Minute: maxOutageRetryAfter} {
		require.Equal(t, want, outageRetryAfter(away))
	}
}

// A send that meets the request's limit ends it as one that was too late, whether or
// not the request's context has noticed.
func TestFailedByItsLimit(t *testing.T) {
	for kind, want := range map[figsend.Kind]figlifecycle.Reason{
		figsend.KindDeadline: figlifecycle.Deadline, figsend.KindCut: figlifecycle.ServerFailed,
	} {
		require.Equal(t, want, (&exchange{}).failedSendCause(&figsend.Failure{Kind: kind}).Reason)
	}
}
