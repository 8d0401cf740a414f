package figlifecycle

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// tracked is one send of a script with the truth that no life sees.
type tracked struct {
	send *Send
	// ran is whether a server ran it.
	ran bool
}

// script plays events against a life and keeps the truth beside it.
type script struct {
	t          require.TestingT
	life       *Life
	ctx        context.Context
	idempotent bool
	sends      []tracked
	answers    int
	ends       int
	registered int
	released   []int
	first      Result
}

func newScript(t require.TestingT, idempotent bool) *script {
	l, ctx := New(context.Background(), Options{ID: "r", Idempotent: idempotent})
	return &script{t: t, life: l, ctx: ctx, idempotent: idempotent}
}

// play runs one event. The low bits choose it, the others are its argument.
func (s *script) play(b byte) {
	argument := int(b >> 4)
	switch b & 15 {
	case 0, 1:
		s.life.Advance(Phase(argument % int(phases)))
	case 2, 3:
		s.begin(s.life.Send)
	case 4:
		s.begin(s.life.Resume)
	case 5:
		s.settle(argument, func(e *tracked) { e.ran = true; e.send.OK() })
	case 6, 7:
		s.settle(argument, func(e *tracked) { e.send.Fail(&figsend.Failure{Ran: figsend.NotRun}) })
	case 8:
		s.settle(argument, func(e *tracked) {
			e.send.Fail(&figsend.Failure{Ran: figsend.NotRun, Kind: figsend.KindRefused})
		})
	case 9:
		s.settle(argument, func(e *tracked) {
			e.ran = argument%2 == 0
			e.send.Fail(errors.New("lost"))
		})
	case 10:
		if s.life.FirstByte() {
			s.answers++
		}
	case 11:
		if _, ok := s.life.Reply(); ok {
			s.answers++
		}
	case 12, 13:
		s.hold()
	case 14:
		s.life.Release("even")
	case 15:
		s.end(Reason(argument % int(reasons)))
	}
}

func (s *script) begin(send func() (*Send, error)) {
	if e, err := send(); err == nil {
		s.sends = append(s.sends, tracked{send: e})
	}
}

// settle gives a pending send its result. A send has one result.
func (s *script) settle(i int, f func(*tracked)) {
	if i < len(s.sends) && s.sends[i].send != nil {
		f(&s.sends[i])
		s.sends[i].send = nil
	}
}

func (s *script) hold() {
	number := s.registered
	s.registered++
	name := "odd"
	if number%2 == 0 {
		name = "even"
	}
	s.life.Hold(name, func() { s.released = append(s.released, number) })
}

func (s *script) end(r Reason) {
	if s.life.End(CauseOf(r, nil)) {
		s.ends++
		s.first, _ = s.life.Result()
	}
}

// check ends the life, lets every send without a result run, and holds the
// promises against the truth.
func (s *script) check() {
	s.end(Deadline)
	ran := 0
	for _, e := range s.sends {
		if e.ran || e.send != nil {
			ran++
		}
	}
	result, ended := s.life.Result()
	require.True(s.t, ended)
	require.Equal(s.t, s.first, result, "the result changed")
	require.Equal(s.t, 1, s.ends)
	require.NotEqual(s.t, None, result.Outcome)
	require.Error(s.t, s.ctx.Err())
	_, replied := s.life.Reply()
	if replied {
		s.answers++
	}
	require.Equal(s.t, 1, s.answers, "answers")
	if !s.idempotent {
		require.LessOrEqual(s.t, ran, 1, "runs of a request that may not be repeated")
	}
	if result.Outcome == NotRun {
		require.Zero(s.t, ran, "runs of a request that was said not to have run")
	}
	require.Len(s.t, s.released, s.registered, "releases")
	seen := map[int]bool{}
	for _, n := range s.released {
		require.False(s.t, seen[n], "released twice")
		seen[n] = true
	}
}

func FuzzLife(f *testing.F) {
	f.Add(true, []byte{2, 5, 10, 15})
	f.Add(false, []byte{2, 6, 2, 9, 2, 15, 11})
	f.Fuzz(func(t *testing.T, idempotent bool, events []byte) {
		s := newScript(t, idempotent)
		for _, b := range events {
			s.play(b)
		}
		s.check()
	})
}

func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newScript(t, rapid.Bool().Draw(t, "idempotent"))
		for _, b := range rapid.SliceOf(rapid.Byte()).Draw(t, "events") {
			s.play(b)
		}
		s.check()
	})
}
