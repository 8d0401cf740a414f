package figowner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// newPrefill returns the backend of a warm prefill server, and the current time.
func newPrefill() (*Backend, time.Time) {
	now := testStart
	b := NewBackend(figview.Server{Name: "p", Role: figview.Prefill}, &figtree.Pool{BlockTokens: 2048}, now)
	now = now.Add(HandoverPeriod)
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), PiecesTotal: 50, PiecesFree: 50})
	return b, now
}

func prefillRequest(id string, tokens int64) ReservationRequest {
	return ReservationRequest{Server: "p", ID: id, Tokens: tokens, MaxWaitMillis: 500}
}

// A prefill result that waits for the decode server must neither be cancelled nor count as work.
func TestPrefillResultIsNotCancelled(t *testing.T) {
	b, now := newPrefill()
	g := b.Reserve(now, 1, "a", prefillRequest("r1", 4000), true)
	require.Equal(t, Granted, g.Outcome)
	b.Release(now, "a", Release{Lease: 1, Tokens: 4000, PrefillMillis: 200})
	listed := func(string) HolderStatus { return HolderStatus{Listed: true, LastHeard: now} }
	for range 6 {
		now = now.Add(500 * time.Millisecond)
		b.Observe(now, &Report{
			StartedAt: testStart.Add(-time.Hour), PiecesTotal: 50, PiecesFree: 48,
			Running: []Running{{ID: "r1", Pieces: 2}},
		})
		require.Empty(t, b.Sweep(now, listed, true))
		require.Zero(t, b.InProgress())
	}
}

// A released prefill without a result must be cancelled.
func TestAbandonedPrefillIsCancelled(t *testing.T) {
	b, now := newPrefill()
	b.Reserve(now, 1, "a", prefillRequest("r1", 4000), true)
	b.Release(now, "a", Release{Lease: 1})
	cancelled := make([]string, 0, 4)
	for range 4 {
		now = now.Add(500 * time.Millisecond)
		b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), Running: []Running{{ID: "r1", Pieces: 2}}})
		cancelled = append(cancelled, b.Sweep(now, func(string) HolderStatus { return HolderStatus{Listed: true} }, true)...)
	}
	require.Contains(t, cancelled, "r1")
}

// The queue must be limited by the wait that a request accepts. Reported work beyond the owner's
// leases counts towards the queue, and a late report of work that has ended does not.
func TestPrefillQueue(t *testing.T) {
	b, now := newPrefill()
	b.Ramp.AddProgress(1e9)
	granted := 0
	for i := range 50 {
		if b.Reserve(now, uint64(i+1), "a", prefillRequest(fmt.Sprint("r", i), 1000), true).Outcome == Granted {
			granted++
		}
	}
	// Half a second of work at the default speed, and one more prompt.
	require.Equal(t, defaultPrefillSpeed/2/1000+1, granted)

	own := b.InProgress()
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), QueueTokens: own})
	require.Equal(t, own, b.InProgress(), "the report shows only leased work")
	for i := range 50 {
		b.Release(now, "a", Release{Lease: uint64(i + 1), Tokens: 1000, PrefillMillis: 50})
	}
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), QueueTokens: own})
	require.Zero(t, b.InProgress(), "the report predates the releases")
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), QueueTokens: own})
	b.Observe(now, &Report{StartedAt: testStart.Add(-time.Hour), QueueTokens: own})
	require.Equal(t, own, b.InProgress(), "the reported work has no lease")
}

// Prefills that end at the same time must form one sample.
func TestPrefillSpeed(t *testing.T) {
	b, now := newPrefill()
	for i := range 60 {
		if i%3 == 0 {
			now = now.Add(150 * time.Millisecond)
		}
		id := fmt.Sprint("r", i)
		b.Reserve(now, uint64(i+1), "a", prefillRequest(id, 1000), true)
		b.Release(now, "a", Release{Lease: uint64(i + 1), Tokens: 1000, PrefillMillis: 150})
	}
	require.InDelta(t, 20000, b.Speed.Value, 2000)
}
