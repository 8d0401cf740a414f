package figlifecycle

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"figtrail.dev/figtrail/internal/request/figsend"
)

// trackedSend is one send together with whether it ran, which the lifecycle can't see.
type trackedSend struct {
	// send is nil once it has a result.
	send *Send
	// ran says whether a server ran the request.
	ran bool
}

// eventPlayer applies events to a lifecycle and records what happened, to check the lifecycle's
// result against it.
type eventPlayer struct {
	t           require.TestingT
	lifecycle   *Lifecycle
	ctx         context.Context
	idempotent  bool
	sends       []trackedSend
	answers     int
	ends        int
	registered  int
	released    []int
	firstResult Result
}

func newEventPlayer(t require.TestingT, idempotent bool) *eventPlayer {
	l, ctx := New(context.Background(), Options{ID: "r", Idempotent: idempotent})
	return &eventPlayer{t: t, lifecycle: l, ctx: ctx, idempotent: idempotent}
}

// apply applies one event. The lower four bits of b choose the event, the upper four are its
// argument.
func (p *eventPlayer) apply(b byte) {
	argument := int(b >> 4)
	switch b & 15 {
	case 0, 1:
		p.lifecycle.Advance(Phase(argument % int(phaseCount)))
	case 2, 3:
		p.begin(p.lifecycle.Send)
	case 4:
		p.begin(p.lifecycle.Resume)
	case 5:
		p.recordResult(argument, func(e *trackedSend) { e.ran = true; e.send.OK() })
	case 6, 7:
		p.recordResult(argument, func(e *trackedSend) { e.send.Fail(&figsend.Failure{Outcome: figsend.NotRun}) })
	case 8:
		p.recordResult(argument, func(e *trackedSend) {
			e.send.Fail(&figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindRefused})
		})
	case 9:
		p.recordResult(argument, func(e *trackedSend) {
			e.ran = argument%2 == 0
			e.send.Fail(errors.New("lost"))
		})
	case 10:
		if p.lifecycle.ClaimAnswer() {
			p.answers++
		}
	case 11:
		if _, ok := p.lifecycle.ClaimError(); ok {
			p.answers++
		}
	case 12, 13:
		p.registerRelease()
	case 14:
		p.lifecycle.Release("even")
	case 15:
		p.end(Reason(argument % int(reasonCount)))
	}
}

// begin makes a send if the lifecycle permits it.
func (p *eventPlayer) begin(send func() (*Send, error)) {
	if e, err := send(); err == nil {
		p.sends = append(p.sends, trackedSend{send: e})
	}
}

// recordResult has f record the result of the send with the index i, unless that send has a
// result already or doesn't exist.
func (p *eventPlayer) recordResult(i int, f func(*trackedSend)) {
	if i < len(p.sends) && p.sends[i].send != nil {
		f(&p.sends[i])
		p.sends[i].send = nil
	}
}

// registerRelease registers a release that records its number.
func (p *eventPlayer) registerRelease() {
	number := p.registered
	p.registered++
	name := "odd"
	if number%2 == 0 {
		name = "even"
	}
	p.lifecycle.RegisterRelease(name, func() { p.released = append(p.released, number) })
}

func (p *eventPlayer) end(r Reason) {
	if p.lifecycle.End(CauseOf(r, nil)) {
		p.ends++
		p.firstResult, _ = p.lifecycle.Result()
	}
}

// check ends the lifecycle and checks its result, with each send that has no result counted as
// run: the result doesn't change after the first End, the caller gets exactly one reply, a
// request that isn't idempotent runs at most once, NotRun is only returned if nothing ran, and
// each release runs exactly once.
func (p *eventPlayer) check() {
	p.end(Deadline)
	ran := 0
	for _, e := range p.sends {
		if e.ran || e.send != nil {
			ran++
		}
	}
	result, ended := p.lifecycle.Result()
	require.True(p.t, ended)
	require.Equal(p.t, p.firstResult, result, "the result changed after the first End")
	require.Equal(p.t, 1, p.ends)
	require.NotEqual(p.t, NoOutcome, result.Outcome)
	require.Error(p.t, p.ctx.Err())
	_, replied := p.lifecycle.ClaimError()
	if replied {
		p.answers++
	}
	require.Equal(p.t, 1, p.answers, "answers")
	if !p.idempotent {
		require.LessOrEqual(p.t, ran, 1, "runs of a request that is not idempotent")
	}
	if result.Outcome == NotRun {
		require.Zero(p.t, ran, "runs of a request with the outcome NotRun")
	}
	require.Len(p.t, p.released, p.registered, "releases")
	seen := map[int]bool{}
	for _, n := range p.released {
		require.False(p.t, seen[n], "a release ran twice")
		seen[n] = true
	}
}

func FuzzLifecycle(f *testing.F) {
	f.Add(true, []byte{2, 5, 10, 15})
	f.Add(false, []byte{2, 6, 2, 9, 2, 15, 11})
	f.Fuzz(func(t *testing.T, idempotent bool, events []byte) {
		p := newEventPlayer(t, idempotent)
		for _, b := range events {
			p.apply(b)
		}
		p.check()
	})
}

func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newEventPlayer(t, rapid.Bool().Draw(t, "idempotent"))
		for _, b := range rapid.SliceOf(rapid.Byte()).Draw(t, "events") {
			p.apply(b)
		}
		p.check()
	})
}
