package figlifecycle

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"figtrail.dev/figtrail/internal/core/figerror"
	"figtrail.dev/figtrail/internal/request/figsend"
)

func newLifecycle(idempotent bool) *Lifecycle {
	l, _ := New(context.Background(), Options{ID: "r", Idempotent: idempotent})
	return l
}

func TestOutcomes(t *testing.T) {
	notRun := &figsend.Failure{Outcome: figsend.NotRun}
	refused := &figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindRefused}
	tests := []struct {
		name   string
		before func(*Lifecycle)
		reason Reason
		want   Outcome
	}{
		{"no send", func(*Lifecycle) {}, OverBudget, NotRun},
		{"unsent", func(l *Lifecycle) { send(l).Fail(notRun) }, NoServer, NotRun},
		{"refused", func(l *Lifecycle) { send(l).Fail(refused) }, ServerFailed, NotRun},
		{"pending", func(l *Lifecycle) { send(l) }, Deadline, OutcomeUnknown},
		{"lost", func(l *Lifecycle) { send(l).Fail(errors.New("lost")) }, ServerFailed, OutcomeUnknown},
		{"ran and not relayed", func(l *Lifecycle) { send(l).OK() }, Internal, OutcomeUnknown},
		{"done without an answer", func(l *Lifecycle) { send(l).OK() }, Done, OutcomeUnknown},
		{"relayed", func(l *Lifecycle) { send(l).OK(); l.ClaimAnswer() }, Done, Answered},
		{"begun", func(l *Lifecycle) { send(l).OK(); l.ClaimAnswer() }, KeyWithdrawn, Cut},
		{"begun, caller left", func(l *Lifecycle) { send(l).OK(); l.ClaimAnswer() }, CallerGone, Cancelled},
		{"waiting, caller left", func(*Lifecycle) {}, CallerGone, Cancelled},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := newLifecycle(true)
			tt.before(l)
			require.True(t, l.End(CauseOf(tt.reason, nil)))
			require.False(t, l.End(CauseOf(Done, nil)))
			r, ended := l.Result()
			require.True(t, ended)
			require.Equal(t, tt.want, r.Outcome)
			require.Equal(t, tt.reason, r.Reason)
		})
	}
}

func send(l *Lifecycle) *Send {
	s, err := l.Send()
	if err != nil {
		panic(err)
	}
	return s
}

func TestNonIdempotentIsSentOnce(t *testing.T) {
	l := newLifecycle(false)
	send(l).Fail(&figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindConnect})
	send(l).Fail(&figsend.Failure{Outcome: figsend.NotRun, Kind: figsend.KindRefused})
	_, err := l.Send()
	require.ErrorIs(t, err, ErrNotRepeatable)

	l = newLifecycle(false)
	send(l)
	_, err = l.Send()
	require.ErrorIs(t, err, ErrNotRepeatable)
}

func TestSendAfterFirstByte(t *testing.T) {
	l := newLifecycle(true)
	_, err := l.Resume()
	require.ErrorIs(t, err, ErrAnswerState)
	send(l).OK()
	require.True(t, l.ClaimAnswer())
	_, err = l.Send()
	require.ErrorIs(t, err, ErrAnswerState)
	_, err = l.Resume()
	require.NoError(t, err)
	l.End(CauseOf(StreamCut, nil))
	_, err = l.Resume()
	require.ErrorIs(t, err, ErrEnded)
}

func TestReleasesRunInReverse(t *testing.T) {
	l := newLifecycle(true)
	var order []string
	for _, name := range []string{"a", "b", "c"} {
		l.RegisterRelease(name, func() { order = append(order, name) })
	}
	l.RegisterRelease("faulty", func() { panic("release") })
	require.True(t, l.Release("b"))
	require.False(t, l.Release("b"))
	l.End(CauseOf(Done, nil))
	require.False(t, l.RegisterRelease("late", func() { order = append(order, "late") }))
	require.Equal(t, []string{"b", "c", "a", "late"}, order)
}

func TestPanicEndsRequest(t *testing.T) {
	l := newLifecycle(false)
	released := 0
	l.RegisterRelease("memory", func() { released++ })
	func() {
		defer l.Recover()
		send(l)
		panic("handler")
	}()
	r, ended := l.Result()
	require.True(t, ended)
	require.Equal(t, Internal, r.Reason)
	require.Equal(t, OutcomeUnknown, r.Outcome)
	require.Equal(t, 1, released)
	_, reply := l.ClaimError()
	require.True(t, reply)
}

func TestConcurrentEnds(t *testing.T) {
	for range 200 {
		l, ctx := New(context.Background(), Options{})
		var answers, ends, released atomic.Int64
		var all sync.WaitGroup
		for i := range 8 {
			all.Go(func() {
				l.RegisterRelease("x", func() { released.Add(1) })
				if l.ClaimAnswer() {
					answers.Add(1)
				}
				if l.End(CauseOf(Reason(i), nil)) {
					ends.Add(1)
				}
				<-l.Done()
				if _, ok := l.ClaimError(); ok {
					answers.Add(1)
				}
			})
		}
		all.Wait()
		require.Error(t, ctx.Err())
		require.EqualValues(t, 1, answers.Load())
		require.EqualValues(t, 1, ends.Load())
		require.EqualValues(t, 8, released.Load())
	}
}

func TestErrorBody(t *testing.T) {
	l := newLifecycle(true)
	l.Advance(Queued)
	l.End(Cause{Reason: QueueFull, RetryAfter: 1500e6})
	r, ok := l.ClaimError()
	require.True(t, ok)
	require.JSONEq(t, `{"error":{"message":"Too many requests are waiting.","type":"server_error",
		"code":"queueFull","param":null,"outcome":"notRun","reason":"queueFull","requestId":"r","step":"queued"}}`, string(r.JSON()))
	require.Equal(t, "2", r.RetryAfterSeconds())
	require.Equal(t, 503, r.Status())
	r.Err = figerror.New("decode", "worker", "lost")
	require.Equal(t, "decode", r.Step())
	require.NotContains(t, string(r.JSON()), "worker")
}

func TestReasonsAreComplete(t *testing.T) {
	names := map[string]bool{}
	for _, r := range Reasons() {
		require.NotEmpty(t, r.String())
		require.False(t, names[r.String()], r)
		names[r.String()] = true
		require.GreaterOrEqual(t, r.Status(), 200)
		require.True(t, strings.HasSuffix(r.Message(), "."))
	}
}
