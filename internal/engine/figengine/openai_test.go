package figengine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/request/figsend"
	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const (
	// waitTimeout limits the wait for a condition or an event.
	waitTimeout = 20 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 2 * time.Millisecond
	// secret is the secret part of the caller's key.
	secret = "0123456789abcdefgh"
)

func startEngine(t *testing.T, opts figemulator.EngineOptions) (*figemulator.Engine, figview.Server) {
	t.Helper()
	e, err := figemulator.StartEngine(opts)
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.Close() })
	return e, figview.Server{Name: opts.Role, Address: e.Address()}
}

func newAdapter(t *testing.T) (Engine, *figsend.Sender) {
	t.Helper()
	s := figsend.New(figsend.Options{})
	t.Cleanup(s.Close)
	return OpenAI(s), s
}

func newRequest(id string) *ModelRequest {
	return &ModelRequest{
		ID: id, Path: "/v1/chat/completions", MaxTokens: 8, Priority: 3,
		Body: []byte(`{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":500}`),
	}
}

// readText reads a stream to its end and returns the text.
func readText(ctx context.Context, s *figsend.Stream) (string, error) {
	var b strings.Builder
	for {
		e, err := s.Next(ctx, waitTimeout)
		if err != nil {
			return b.String(), err
		}
		b.WriteString(gjson.GetBytes(e.Data, "choices.0.delta.content").Str)
	}
}

func requireKind(t *testing.T, err error, kind figsend.Kind, ran figsend.Outcome) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, kind.String(), figsend.KindOf(err).String(), err)
	require.Equal(t, ran.String(), figsend.OutcomeOf(err).String(), err)
}

func TestPrefillThenDecode(t *testing.T) {
	p, prefiller := startEngine(t, figemulator.EngineOptions{Role: "prefill", ResultTTL: time.Hour})
	d, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode"})
	e, _ := newAdapter(t)
	prompt := newRequest("r1")
	prompt.Secret = "ft_k1_" + secret
	prompt.Header = []figsend.Header{{Name: "Authorization", Value: "Bearer " + prompt.Secret}, {Name: "x-priority", Value: "0"}}
	result, err := e.Prefill(t.Context(), prefiller, prompt)
	require.NoError(t, err)
	require.Equal(t, figemulator.CountTokens("hello"), result.PromptTokens)
	stream, err := e.Decode(t.Context(), decoder, prompt, result)
	require.NoError(t, err)
	defer stream.Close()
	got, err := readText(t.Context(), stream)
	require.Equal(t, io.EOF, err)
	require.Equal(t, figemulator.AnswerText("hello", 8), got)
	require.Zero(t, p.ReservedPieces())
	require.Eventually(t, func() bool { return d.ReservedPieces() == 0 }, waitTimeout, pollInterval)

	require.False(t, p.ReceivedText(secret) || d.ReceivedText(secret))
	prompt.Body = []byte(`{"user":"` + prompt.Secret + `"}`)
	_, err = e.Decode(t.Context(), decoder, prompt, nil)
	requireKind(t, err, figsend.KindInvalid, figsend.NotRun)

	// An engine hands out a prefill result once, so a second decode with it is refused.
	_, err = e.Decode(t.Context(), decoder, newRequest("r1"), result)
	requireKind(t, err, figsend.KindRefused, figsend.NotRun)
	require.Equal(t, 1, d.Run("r1").Decodes)
}

func TestResume(t *testing.T) {
	_, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode"})
	e, _ := newAdapter(t)
	p := newRequest("r1")
	p.ResumeFrom = 3
	stream, err := e.Decode(t.Context(), decoder, p, nil)
	require.NoError(t, err)
	defer stream.Close()
	got, err := readText(t.Context(), stream)
	require.Equal(t, io.EOF, err)
	require.Equal(t, figemulator.AnswerText("hello", 8), figemulator.AnswerText("hello", 3)+got)
}

func TestCloseFreesEngineMemory(t *testing.T) {
	d, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode"})
	e, _ := newAdapter(t)
	p := newRequest("r1")
	p.MaxTokens = 100_000
	stream, err := e.Decode(t.Context(), decoder, p, nil)
	require.NoError(t, err)
	_, err = stream.Next(t.Context(), waitTimeout)
	require.NoError(t, err)
	require.NotZero(t, d.ReservedPieces())
	stream.Close()
	require.Eventually(t, func() bool { return d.ReservedPieces() == 0 && d.Run("r1").Cancelled == 1 }, waitTimeout, pollInterval)
}

func TestEngineFaults(t *testing.T) {
	tests := []struct {
		fault           figemulator.FaultKind
		prefill, decode figsend.Kind
		ran             figsend.Outcome
	}{
		{figemulator.Crossed, figsend.KindMismatched, figsend.KindMismatched, figsend.OutcomeUnknown},
		{figemulator.Refuse, figsend.KindRefused, figsend.KindRefused, figsend.NotRun},
		{figemulator.ReadAndClose, figsend.KindIncomplete, figsend.KindIncomplete, figsend.OutcomeUnknown},
		{figemulator.Silent, figsend.KindDeadline, figsend.KindDeadline, figsend.OutcomeUnknown},
		{figemulator.Cut, figsend.KindOther, figsend.KindIncomplete, figsend.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault), func(t *testing.T) {
			p, prefiller := startEngine(t, figemulator.EngineOptions{Role: "prefill"})
			d, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode"})
			e, sender := newAdapter(t)
			p.Faults.Set(figemulator.Fault{Kind: tt.fault, Count: 1})
			d.Faults.Set(figemulator.Fault{Kind: tt.fault, Count: 1})
			prompt := newRequest("r1")
			limit := func() {
				if tt.fault == figemulator.Silent {
					prompt.Deadline = time.Now().Add(100 * time.Millisecond)
				}
			}
			limit()
			if tt.prefill != figsend.KindOther {
				_, err := e.Prefill(t.Context(), prefiller, prompt)
				requireKind(t, err, tt.prefill, tt.ran)
				require.LessOrEqual(t, p.Run("r1").Prefills, 1)
			}
			limit()
			stream, err := e.Decode(t.Context(), decoder, prompt, nil)
			if err == nil {
				_, err = readText(t.Context(), stream)
				stream.Close()
			}
			requireKind(t, err, tt.decode, tt.ran)
			require.LessOrEqual(t, d.Run("r1").Decodes, 1)
			require.Equal(t, tt.fault == figemulator.Crossed, sender.Mismatched.Load() == 2)
		})
	}
}

// An engine that is shut down before the first token can answer with status 200 and an empty body.
// That must be an error, not an empty answer.
func TestSuccessWithoutStream(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(server.Close)
	e, _ := newAdapter(t)
	to := figview.Server{Name: "d", Address: server.Listener.Addr().String()}
	_, err := e.Decode(t.Context(), to, newRequest("r1"), nil)
	requireKind(t, err, figsend.KindIncomplete, figsend.OutcomeUnknown)
	_, err = e.Prefill(t.Context(), to, newRequest("r1"))
	requireKind(t, err, figsend.KindIncomplete, figsend.OutcomeUnknown)
}

func TestEngineErrorIsAnAnswer(t *testing.T) {
	_, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode"})
	e, _ := newAdapter(t)
	p := newRequest("r1")
	p.Path = "/v1/none"
	stream, err := e.Decode(t.Context(), decoder, p, nil)
	require.NoError(t, err)
	require.Equal(t, 404, stream.Answer.Status)
	_, err = e.Prefill(t.Context(), decoder, p)
	requireKind(t, err, figsend.KindStatus, figsend.OutcomeUnknown)
	p.Body = []byte(`[]`)
	_, err = e.Decode(t.Context(), decoder, p, nil)
	requireKind(t, err, figsend.KindInvalid, figsend.NotRun)
}

func TestControlCalls(t *testing.T) {
	p, prefiller := startEngine(t, figemulator.EngineOptions{
		Role: "prefill", ChecksFence: true, BlockBytes: 4, Models: []string{"m"},
		ReportLag: time.Nanosecond, ResultTTL: time.Hour,
	})
	d, decoder := startEngine(t, figemulator.EngineOptions{Role: "decode", ResultTTL: time.Hour})
	e, _ := newAdapter(t)
	ctx := t.Context()
	result, err := e.Prefill(ctx, prefiller, newRequest("r1"))
	require.NoError(t, err)

	load, err := e.Load(ctx, prefiller)
	require.NoError(t, err)
	require.Equal(t, []string{"m"}, load.Models)
	require.Equal(t, []Running{{ID: "r1", Pieces: 1}}, load.Running)
	require.Equal(t, 1, load.PiecesTotal-load.PiecesFree)
	require.False(t, load.StartedAt.IsZero())

	require.NoError(t, e.SendOrder(ctx, prefiller, &Order{Fence: 5, Kind: "loadAdapter", Name: "a"}))
	requireKind(t, e.SendOrder(ctx, prefiller, &Order{Fence: 4, Kind: "loadModel", Name: "b"}), figsend.KindStatus, figsend.OutcomeUnknown)
	require.Len(t, p.Orders(), 1)

	events, err := e.Events(ctx, prefiller, 0)
	require.NoError(t, err)
	require.Len(t, events.Events, 1)
	require.Equal(t, "stored", events.Events[0].Kind)
	events, err = e.Events(ctx, prefiller, events.Next)
	require.NoError(t, err)
	require.Empty(t, events.Events)

	exported, err := e.Export(ctx, prefiller, "r1")
	require.NoError(t, err)
	require.JSONEq(t, string(result.Transfer), string(exported.Transfer))
	require.NoError(t, e.Import(ctx, decoder, exported))
	require.Equal(t, 1, d.ReservedPiecesBy("r1"))
	require.NoError(t, e.Cancel(ctx, decoder, "r1"))
	require.Zero(t, d.ReservedPieces())
}
