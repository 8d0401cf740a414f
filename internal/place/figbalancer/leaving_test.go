package figbalancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server that has said that it leaves is picked no more, whatever else it answers, until it has restarted.
func TestLeavingServerIsNotPicked(t *testing.T) {
	p, v := newPicker(1), plainView(1, nil)
	s := v.Servers["desk"][0]
	running := p.Begin(start, v, &s, 0)
	p.Begin(start, v, &s, 0).RecordNotices(start, Result{Answered: true, Leaving: true})
	require.True(t, p.Withdrawn(start, &s))
	running.End(start, Result{Answered: true})
	for _, after := range []time.Duration{0, time.Minute, time.Hour} {
		_, err := p.Pick(start.Add(after), plainQuery(v))
		var none *NoServerError
		require.ErrorAs(t, err, &none)
		require.False(t, none.NoCapacity, "waiting is of no use")
		require.Equal(t, []string{s.Lifetime()}, p.WithdrawnServers(start.Add(after), v, "desk", 1))
		require.Empty(t, p.WithdrawnServers(start.Add(after), v, "m", 1))
	}
	v.Servers["desk"][0].RemovedAt = start
	_, err := p.Pick(start, plainQuery(v))
	require.Error(t, err, "not as a last resort either")
	v.Servers["desk"][0].RemovedAt = time.Time{}
	v.Servers["desk"][0].StartedAt = start.Add(time.Second)
	_, err = p.Pick(start, plainQuery(v))
	require.NoError(t, err)
}

// A leaving server is remembered as long as it is listed and leavingTTL longer.
func TestLeavingServerIsRemembered(t *testing.T) {
	p, v := newPicker(1), plainView(2, nil)
	s, other := v.Servers["desk"][0], v.Servers["desk"][1]
	p.RecordLeaving(start, &s)
	now := start
	for range 5 {
		now = now.Add(leavingTTL)
		p.Begin(now, v, &other, 0).Release()
		require.True(t, p.Withdrawn(now, &s))
	}
	v.Servers["desk"] = v.Servers["desk"][1:]
	p.Begin(now.Add(leavingTTL-time.Second), v, &other, 0).Release()
	require.True(t, p.Withdrawn(now, &s), "an old copy of the list may still contain it")
	p.Begin(now.Add(leavingTTL+time.Second), v, &other, 0).Release()
	require.Empty(t, p.notices)
	require.False(t, p.Withdrawn(now.Add(leavingTTL+time.Second), &s))
}

// Of many servers that leave only those that the list still offers are named, up to the limit.
func TestWithdrawnServersAreLimited(t *testing.T) {
	p, v := newPicker(1), plainView(50, nil)
	for i := range v.Servers["desk"] {
		p.RecordLeaving(start, &v.Servers["desk"][i])
	}
	require.Len(t, p.WithdrawnServers(start, v, "desk", 32), 32)
	require.Equal(t, 50, p.WithdrawnCount(start))
	v.DrainedDataCentres["east"] = true
	require.Empty(t, p.WithdrawnServers(start, v, "desk", 32))
}

// A restored list may name an earlier start of a server that leaves; requests for it reach the process that leaves.
func TestEarlierEntryOfLeavingServer(t *testing.T) {
	p, v := newPicker(1), plainView(1, nil)
	s := &v.Servers["desk"][0]
	p.RecordLeaving(start, s)
	s.StartedAt = start.Add(-time.Minute)
	require.True(t, p.Withdrawn(start, s))
	require.Equal(t, []string{s.Lifetime()}, p.WithdrawnServers(start, v, "desk", 1))
	_, err := p.Pick(start, plainQuery(v))
	require.Error(t, err)
	p.RecordLeaving(start, s)
	s.StartedAt = start
	require.True(t, p.Withdrawn(start, s))
	s.StartedAt = start.Add(time.Minute)
	require.False(t, p.Withdrawn(start, s))
}
