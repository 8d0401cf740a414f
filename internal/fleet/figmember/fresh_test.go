package figmember

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFresh(t *testing.T) {
	const view = 5
	v := viewOf(view, "a", "b", "c", "d")
	answer := func(s *state, name string, held uint64) {
		b := &Heartbeat{From: name, Incarnation: 1, View: held, Newest: held, AgeMillis: -1}
		s.receiveAnswer(b, epoch, epoch, held)
	}
	// delayedAnswer receives the answer to a heartbeat that was sent at epoch, 400 ms after that.
	delayedAnswer := func(s *state, name string, age int64) {
		b := &Heartbeat{From: name, Incarnation: 1, View: view, AgeMillis: age}
		s.receiveAnswer(b, epoch, epoch.Add(400*time.Millisecond), view)
	}
	confirmed := func(s *state) { s.recordOwnConfirmation(epoch, view) }
	majority := func(s *state) { answer(s, "b", view); answer(s, "c", view) }
	peerConfirmed := func(s *state) { delayedAnswer(s, "b", 1500) }
	for _, c := range []struct {
		name   string
		happen func(s *state)
		at     time.Duration
		fresh  bool
	}{
		{"no heartbeat and no confirmation", func(*state) {}, 0, false},
		{"confirmed", confirmed, DefaultFreshness, true},
		{"confirmed long ago", confirmed, DefaultFreshness + 1, false},
		{"confirmation for an older list", func(s *state) { s.recordConfirmation(epoch, view-1, view, 0) }, 0, true},
		{"confirmation for a newer list", func(s *state) { s.recordConfirmation(epoch, view+1, view, 0) }, 0, false},
		{"confirmed, newer list known", func(s *state) {
			confirmed(s)
			s.receive(&Heartbeat{From: "b", Incarnation: 1, View: view, Newest: view + 1}, epoch)
		}, 0, false},
		{"confirmed, newer list held by a peer", func(s *state) {
			confirmed(s)
			s.receive(&Heartbeat{From: "b", Incarnation: 1, View: view + 1}, epoch)
		}, 0, false},
		{"age of a peer's confirmation counts from the send time", peerConfirmed, 600 * time.Millisecond, false},
		{"peer's confirmation", peerConfirmed, 400 * time.Millisecond, true},
		{"half of the members", func(s *state) { answer(s, "b", view) }, 0, false},
		{"a majority", majority, DefaultFreshness, true},
		{"a majority long ago", majority, DefaultFreshness + 1, false},
		{"a majority, one of them with an older list", func(s *state) { answer(s, "b", view); answer(s, "c", view-1) }, 0, false},
		{"a majority, newer list known", func(s *state) {
			majority(s)
			s.applyAck(ViewAck{Member: hashOf("d"), Incarnation: 1, View: view + 1}, epoch)
		}, 0, false},
		{
			"age of a majority's answers counts from the send time", func(s *state) { delayedAnswer(s, "b", -1); delayedAnswer(s, "c", -1) },
			DefaultFreshness + 200*time.Millisecond, false,
		},
		{"a majority, one of them by a delayed heartbeat of a dead process", func(s *state) {
			answer(s, "b", view)
			s.receiveAnswer(&Heartbeat{From: "c", Incarnation: 2, View: view - 1, AgeMillis: -1}, epoch, epoch, view)
			s.receive(&Heartbeat{From: "c", Incarnation: 1, View: view}, epoch)
		}, 0, false},
		{"heartbeats of a majority that may have been sent long ago", func(s *state) {
			for _, name := range []string{"b", "c", "d"} {
				s.receive(&Heartbeat{From: name, Incarnation: 1, View: view}, epoch)
			}
		}, 0, false},
		{"unlisted instances don't count", func(s *state) { answer(s, "x", view); answer(s, "y", view) }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := stateOf("a")
			s.recordOwnVersion(view, epoch)
			c.happen(s)
			require.Equal(t, c.fresh, s.fresh(v, epoch.Add(c.at)))
		})
	}
}

func TestFreshWithoutList(t *testing.T) {
	s := stateOf("a")
	s.recordOwnConfirmation(epoch, 0)
	require.False(t, s.fresh(viewOf(0), epoch))
}
