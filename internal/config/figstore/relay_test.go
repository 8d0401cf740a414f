package figstore

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/config/figplatform"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// storeOf returns a store that holds a list of instances and one value of the given version.
func storeOf(version uint64) *Store {
	s := New(Options{Self: "a"})
	rows := []InstanceChange{{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}}
	s.applyReply(&Reply{Instances: &ListChanges[InstanceChange]{Revision: 1, All: true, Rows: rows}, AgeMillis: -1}, s.started)
	s.applyValues(&figplatform.Values{Revision: version, Values: []figplatform.Value{
		{Path: "a/x", Version: version, Text: document(1)},
	}}, s.started)
	return s
}

// A notification, and any other request, that shows newer data queues a pull from its sender.
func TestNotificationQueuesPull(t *testing.T) {
	for _, c := range []struct {
		name   string
		q      Request
		queued int
	}{
		{"newer value", Request{From: "b", Highest: 6, Instances: 1}, 1},
		{"newer list", Request{From: "b", Highest: 5, Instances: 2}, 1},
		{"newer servers", Request{From: "b", Highest: 5, Instances: 1, Servers: 1}, 1},
		{"nothing newer", Request{From: "b", Highest: 5, Instances: 1}, 0},
		{"not listed", Request{From: "c", Highest: 6}, 0},
	} {
		for _, notify := range []bool{false, true} {
			s := storeOf(5)
			c.q.Notify = notify
			r, err := s.Answer(context.Background(), &c.q)
			require.NoError(t, err)
			require.Equal(t, notify, r.Digest == 0, c.name)
			require.Equal(t, c.queued, s.pulls.Len(), c.name)
		}
	}
}

func TestPullIfBehind(t *testing.T) {
	highest, digest := storeOf(5).Digest()
	for _, c := range []struct {
		name                  string
		highest, digest, view uint64
		queued                int
	}{
		{"the same", highest, digest, 1, 0},
		{"newer value", highest + 1, 0, 1, 1},
		{"newer list", highest, digest, 2, 1},
		{"another value of the same version", highest, digest + 1, 1, 1},
		{"behind", highest - 1, digest + 1, 1, 0},
	} {
		s := storeOf(5)
		s.PullIfBehind(figview.Member{Name: "b"}, c.highest, c.digest, c.view)
		require.Equal(t, c.queued, s.pulls.Len(), c.name)
	}
}

func TestPickAcrossDataCentres(t *testing.T) {
	ranked := []figview.Member{
		{Name: "a", DataCentre: "x"}, {Name: "b", DataCentre: "x"}, {Name: "c", DataCentre: "y"}, {Name: "d", DataCentre: "x"},
	}
	names := func(n int) (all []string) {
		for _, m := range pickAcrossDataCentres(append([]figview.Member(nil), ranked...), n) {
			all = append(all, m.Name)
		}
		return all
	}
	require.Equal(t, []string{"a", "c"}, names(2))
	require.Equal(t, []string{"a", "c", "b"}, names(3))
	require.Len(t, names(9), 4)
}

// The maximum wait grows with failures up to its limit, and the wait varies with the random number.
func TestBackoff(t *testing.T) {
	highest := backoff{random: func() float64 { return 1 }}
	last := highest.next()
	for range 20 {
		wait := highest.next()
		require.GreaterOrEqual(t, wait, last)
		require.LessOrEqual(t, wait, maxRetryWait+minRetryWait)
		last = wait
	}
	lowest := backoff{random: func() float64 { return 0 }, failures: 20}
	require.Less(t, lowest.next(), last)
	highest.reset()
	require.LessOrEqual(t, highest.next(), 2*minRetryWait)
}

// A store isn't ready before a ready peer has sent all its values.
func TestReadyByPeer(t *testing.T) {
	s := New(Options{Self: "a"})
	for _, r := range []Reply{{}, {Ready: true, More: true}, {Ready: true}} {
		s.countPull(&r, nil)
		s.updateReady()
		require.Equal(t, r.Ready && !r.More, s.Ready())
	}
}

// The functions called while serving requests must not block while a change is merged.
func TestReadsTakeNoLock(t *testing.T) {
	s := storeOf(5)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 1, s.Tree().AccountCount())
	require.Len(t, s.View().Members, 2)
	require.Empty(t, s.Servers().All)
	require.False(t, s.Ready())
	require.True(t, s.Confirmed().IsZero())
}
