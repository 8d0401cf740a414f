package figserve_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"figtrail.dev/figtrail/internal/stand/figemulator"
)

const prompt = "summarise the contract of the stadium"

func (f *fixture) client() openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+f.Callers()[0]+"/v1"),
		option.WithAPIKey(f.key.Text),
		option.WithMaxRetries(0),
	)
}

func chat(tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "small",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// The OpenAI client library must receive complete answers, streamed or not.
func TestClientLibrary(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 2)
	c := f.client()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()

	whole, err := c.Chat.Completions.New(ctx, chat(12))
	require.NoError(t, err)
	require.Equal(t, figemulator.AnswerText(prompt, 12), whole.Choices[0].Message.Content)
	require.Equal(t, int64(12), whole.Usage.CompletionTokens)

	stream := c.Chat.Completions.NewStreaming(ctx, chat(12))
	var text strings.Builder
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, figemulator.AnswerText(prompt, 12), text.String())

	completion, err := c.Completions.New(ctx, openai.CompletionNewParams{
		Model: "small", MaxTokens: openai.Int(5),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	})
	require.NoError(t, err)
	require.Equal(t, figemulator.AnswerText(prompt, 5), completion.Choices[0].Text)

	models, err := c.Models.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "small", models.Data[0].ID)

	require.False(t, f.prefill().ReceivedText(f.key.Text))
	require.False(t, f.decode().ReceivedText(f.key.Text))
	f.eventually(func() bool { return f.ReservedPieces() == 0 })
}

// Every refused request must be answered with the outcome notRun and the reason, and must
// not reach an engine.
func TestRefusals(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	before := f.prefill().Requests()
	long := `{"model":"small","messages":[{"role":"user","content":"` + strings.Repeat("word ", 6000) + `"}]}`
	for _, c := range []struct {
		name, method, path, key, body string
		status                        int
		reason                        string
	}{
		{"no key", "POST", "/v1/chat/completions", "", "{}", 401, "unauthorized"},
		{"wrong key", "POST", "/v1/chat/completions", "ft_0123456789abcdef_wrong", "{}", 401, "unauthorized"},
		{"no JSON", "POST", "/v1/chat/completions", f.key.Text, "{", 400, "badRequest"},
		{"no model", "POST", "/v1/chat/completions", f.key.Text, `{"messages":[]}`, 400, "badRequest"},
		{"unknown model", "POST", "/v1/chat/completions", f.key.Text, `{"model":"x","messages":[]}`, 404, "notFound"},
		{"two answers", "POST", "/v1/chat/completions", f.key.Text, `{"model":"small","n":2,"messages":[]}`, 400, "badRequest"},
		{"field twice", "POST", "/v1/chat/completions", f.key.Text, `{"model":"small","user":"a","user":"b","messages":[]}`, 400, "badRequest"},
		{"no tokens", "POST", "/v1/chat/completions", f.key.Text, `{"model":"small","max_tokens":0,"messages":[]}`, 400, "badRequest"},
		{"long prompt", "POST", "/v1/chat/completions", f.key.Text, long, 413, "tooLarge"},
		{"wrong method", "GET", "/v1/completions", f.key.Text, "", 400, "badRequest"},
		{"no route", "GET", "/elsewhere", f.key.Text, "", 404, "notFound"},
		{"route by whole segments", "GET", "/ledger/balances", f.key.Text, "", 404, "notFound"},
		{"method not declared", "GET", "/ledger/refund", f.key.Text, "", 400, "badRequest"},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, err := http.NewRequest(c.method, "http://"+f.Callers()[0]+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			if c.key != "" {
				q.Header.Set("X-Api-Key", c.key)
			}
			a, err := http.DefaultClient.Do(q)
			require.NoError(t, err)
			defer func() { _ = a.Body.Close() }()
			body, err := io.ReadAll(a.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, a.StatusCode, string(body))
			require.Equal(t, c.reason, gjson.GetBytes(body, "error.reason").Str)
			require.Equal(t, "notRun", gjson.GetBytes(body, "error.outcome").Str)
			require.Equal(t, a.Header.Get("X-Request-Id"), gjson.GetBytes(body, "error.requestId").Str)
		})
	}
	require.Equal(t, before, f.prefill().Requests())
}

// An open route must need no key. A body above the limit must be refused with 413.
func TestOpenRouteAndBodyLimit(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	base := "http://" + f.Callers()[0]
	a, err := http.Get(base + "/open/hours")
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	require.Equal(t, http.StatusOK, a.StatusCode)

	huge := bytes.NewReader(make([]byte, 9<<20))
	a, err = http.Post(base+"/open/hours", "text/plain", huge)
	if err == nil { // the connection may break while the body is still being sent
		require.NoError(t, a.Body.Close())
		require.Equal(t, http.StatusRequestEntityTooLarge, a.StatusCode)
	}
}

// Withdrawing a key must abort its running streams with an error and free the engine
// memory.
func TestWithdrawnKeyEndsStream(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := f.client()
	stream := c.Chat.Completions.NewStreaming(ctx, chat(500))
	require.True(t, stream.Next())
	f.Platform.Publish("all", f.declare(true))
	for stream.Next() {
	}
	require.Error(t, stream.Err())
	require.NoError(t, ctx.Err())
	f.eventually(func() bool { return f.decode().ReservedPieces() == 0 })
}

// A stream that its engine aborts must reach the caller as an error, never as a complete
// answer.
func TestAbortedStreamIsAnError(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	f.decode().Faults.Set(figemulator.Fault{Kind: figemulator.Cut, Count: 1})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := f.client()
	stream := c.Chat.Completions.NewStreaming(ctx, chat(50))
	tokens := 0
	for stream.Next() {
		tokens += len(stream.Current().Choices)
	}
	require.Error(t, stream.Err())
	require.Less(t, tokens, 50)
}

// After a caller disconnects, the engine must stop its request and free the memory.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	c := f.client()
	stream := c.Chat.Completions.NewStreaming(ctx, chat(500))
	require.True(t, stream.Next())
	require.Positive(t, f.decode().ReservedPieces())
	cancel()
	f.eventually(func() bool { return f.decode().ReservedPieces() == 0 })
	require.Less(t, f.lastDecode().Tokens, 500)
}

// A draining instance must complete its running streams and then accept no connection.
func TestDrainCompletesStreams(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 2)
	i := f.Instances[0]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	body := `{"model":"small","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"` + prompt + `"}]}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.CallerAddress()+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	q.Header.Set("X-Api-Key", f.key.Text)
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer func() { _ = a.Body.Close() }()
	require.Equal(t, http.StatusOK, a.StatusCode)

	drained := make(chan struct{})
	go func() {
		defer close(drained)
		i.Drain(ctx)
	}()
	f.eventually(func() bool { return i.Ready() != nil })
	f.PublishInstance(i, "leaving")
	events, done := 0, false
	lines := bufio.NewScanner(a.Body)
	for lines.Scan() {
		events += strings.Count(lines.Text(), `"content"`)
		done = done || lines.Text() == "data: [DONE]"
	}
	require.NoError(t, lines.Err())
	require.True(t, done)
	require.Equal(t, 400, events)
	select {
	case <-drained:
	case <-ctx.Done():
		require.NoError(t, errors.New("the drain did not end"))
	}
	_, err = net.Dial("tcp", i.CallerAddress())
	require.Error(t, err)
}

// Requests that are aborted at the drain limit must be answered before the drain ends, since the process then ends.
func TestAbortedRequestsAreAnsweredBeforeDrainReturns(t *testing.T) {
	t.Parallel()
	const calls = 20
	f := startFixture(t, 1)
	i := f.Instances[0]
	i.DrainLimit = 500 * time.Millisecond
	f.Plains[0].Faults.Set(figemulator.Fault{Kind: figemulator.Silent})
	connections := make([]net.Conn, 0, calls)
	for range calls {
		c, err := net.Dial("tcp", i.CallerAddress())
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = fmt.Fprintf(c, "POST /ledger/refund HTTP/1.1\r\nHost: h\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\nhi", f.key.Text)
		require.NoError(t, err)
		connections = append(connections, c)
	}
	f.eventually(func() bool { return f.PlainRuns("hi") == calls })
	i.Drain(t.Context())
	for _, c := range connections {
		a, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(received(t, c))), nil)
		require.NoError(t, err)
		require.Equal(t, "outcomeUnknown", a.Header.Get("X-Figtrail-Outcome"), a.StatusCode)
		_, err = io.Copy(io.Discard, a.Body)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
	}
}

// received returns what has arrived on c, without waiting. A read with a short deadline would also fail if the test got
// no processor until then.
func received(t *testing.T, c net.Conn) []byte {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	b := make([]byte, 4<<10)
	n := 0
	var failed error
	require.NoError(t, raw.Read(func(fd uintptr) bool {
		n, failed = syscall.Read(int(fd), b)
		return true
	}))
	require.NoError(t, failed)
	return b[:n]
}

func BenchmarkOverhead(b *testing.B) {
	f := startFixture(b, 1)
	for _, c := range []struct{ name, address string }{
		{"direct", f.Plains[0].Address()},
		{"routed", f.Callers()[0]},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q, err := http.NewRequest(http.MethodGet, "http://"+c.address+"/ledger/balance", http.NoBody)
				require.NoError(b, err)
				q.Header.Set("X-Api-Key", f.key.Text)
				a, err := http.DefaultClient.Do(q)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				require.Equal(b, http.StatusOK, a.StatusCode)
			}
		})
	}
}

// If the pool's engines can resume, an answer that its engine aborts must be continued on
// another engine, and the caller must receive the exact text.
func TestAbortedStreamResumes(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	f.Platform.Publish("all", strings.Replace(f.declare(false), "stallLimit: 5s", "stallLimit: 5s\n    resume: true", 1))
	spare, err := figemulator.StartEngine(figemulator.EngineOptions{
		Name: "spare", Role: "decode", Models: []string{"small"}, Pieces: 400, PieceTokens: 2048, Batch: 400,
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = spare.Close() })
	f.Platform.SetServer(figemulator.ServerRow{
		Name: "spare", Address: spare.Address(), DataCentre: "east", Pool: "language", Role: "decode", State: "live",
		StartedAt: time.Now().Format(time.RFC3339Nano),
	})
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	c := f.client()
	resumed := func() bool {
		f.decode().Faults.Set(figemulator.Fault{Kind: figemulator.Cut, Count: 1})
		before := f.decode().Faults.Hits(figemulator.Cut)
		stream := c.Chat.Completions.NewStreaming(ctx, chat(40))
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if stream.Err() == nil {
			require.Equal(t, figemulator.AnswerText(prompt, 40), text.String())
		}
		return stream.Err() == nil && f.decode().Faults.Hits(figemulator.Cut) > before
	}
	f.eventually(resumed)
}

// What a plain server's Retry-After says is left to the caller: the answer is passed on, and the server gets more requests.
func TestRetryAfterOfServerIsPassedOn(t *testing.T) {
	t.Parallel()
	f := startFixture(t, 1)
	var calls atomic.Int64
	busy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set("Retry-After", "60")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer busy.Close()
	f.Platform.SetServer(figemulator.ServerRow{
		Name: "busy", Address: busy.Listener.Addr().String(), DataCentre: "east", Pool: "ledger", Role: "plain", State: "live",
		StartedAt: time.Now().Format(time.RFC3339Nano),
	})
	for begun := time.Now(); calls.Load() <= 5; time.Sleep(pollInterval) {
		require.Less(t, time.Since(begun), waitTimeout)
		q, err := http.NewRequest(http.MethodPost, "http://"+f.Callers()[0]+"/ledger/refund", strings.NewReader("r"))
		require.NoError(t, err)
		q.Header.Set("X-Api-Key", f.key.Text)
		a, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		if a.StatusCode == http.StatusServiceUnavailable {
			require.Equal(t, "60", a.Header.Get("Retry-After"))
		}
	}
}
