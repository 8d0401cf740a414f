package figemulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	waitLimit    = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

func startEngine(t *testing.T, opts EngineOptions) *Engine {
	t.Helper()
	e, err := StartEngine(opts)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	return e
}

// ask sends a request and returns its status, its body and the error of reading the body.
func ask(ctx context.Context, address, path, id, body string) (int, string, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	q.Header.Set("X-Request-Id", id)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

const chatPath = "/v1/chat/completions"

func prefillBody(prompt string) string {
	return `{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}],"max_tokens":1,` +
		`"kv_transfer_params":{"do_remote_decode":true}}`
}

// decodeBody builds a decode call from a prefill's answer.
func decodeBody(t *testing.T, prompt, prefilled string) string {
	t.Helper()
	var a answerBody
	require.NoError(t, json.Unmarshal([]byte(prefilled), &a))
	params, err := json.Marshal(a.Transfer)
	require.NoError(t, err)
	return `{"model":"m","messages":[{"role":"user","content":"` + prompt + `"}],"max_tokens":8,` +
		`"stream":true,"stream_options":{"include_usage":true},"kv_transfer_params":` + string(params) + `}`
}

// streamText joins the tokens of a stream and reports whether it has its end marker.
func streamText(t *testing.T, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var c answerBody
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		for _, choice := range c.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), false
}

func TestPrefillThenDecode(t *testing.T) {
	p := startEngine(t, EngineOptions{Name: "p", Role: "prefill"})
	d := startEngine(t, EngineOptions{Name: "d", Role: "decode"})
	status, first, err := ask(t.Context(), p.Address(), chatPath, "r1", prefillBody("hello"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 1, p.ReservedPiecesBy("r1"))
	status, body, err := ask(t.Context(), d.Address(), chatPath, "r1", decodeBody(t, "hello", first))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	text, whole := streamText(t, body)
	require.True(t, whole)
	require.Equal(t, AnswerText("hello", 8), text)
	require.Contains(t, body, `"completion_tokens":8`)
	require.Zero(t, p.ReservedPieces())
	require.Zero(t, d.ReservedPieces())
	require.Equal(t, Run{ID: "r1", Text: "hello", Decodes: 1, Tokens: 8, Finished: 1}, d.Run("r1"))
	require.Equal(t, Run{ID: "r1", Text: "hello", Prefills: 1, Finished: 1}, p.Run("r1"))
	status, body, err = ask(t.Context(), d.Address(), chatPath, "r1", decodeBody(t, "hello", first))
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status)
	require.Contains(t, body, "resultGone")
}

func TestResultExpires(t *testing.T) {
	p := startEngine(t, EngineOptions{Name: "p", Role: "prefill", ResultTTL: time.Millisecond})
	_, _, err := ask(t.Context(), p.Address(), chatPath, "r1", prefillBody("hello"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.ReservedPieces() == 0 }, waitLimit, pollInterval)
}

func TestDecodeFreesOnClose(t *testing.T) {
	d := startEngine(t, EngineOptions{Name: "d", TokenInterval: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _, _, _ = ask(ctx, d.Address(), chatPath, "r1", `{"messages":[],"stream":true}`) }()
	require.Eventually(t, func() bool { return d.Run("r1").Decodes == 1 }, waitLimit, pollInterval)
	require.Positive(t, d.ReservedPieces())
	cancel()
	require.Eventually(t, func() bool { return d.ReservedPieces() == 0 }, waitLimit, pollInterval)
}

func TestDecodeIgnoresClose(t *testing.T) {
	d := startEngine(t, EngineOptions{Name: "d", TokenInterval: time.Hour})
	d.Faults.Set(Fault{Kind: IgnoreClose})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		_, _, _ = ask(ctx, d.Address(), chatPath, "r1", `{"messages":[],"stream":true}`)
		close(ended)
	}()
	require.Eventually(t, func() bool { return d.Run("r1").Decodes == 1 }, waitLimit, pollInterval)
	cancel()
	<-ended
	require.Equal(t, 1, d.ReservedPiecesBy("r1"))
	_, _, err := ask(t.Context(), d.Address(), "/cancel", "", `{"id":"r1"}`)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return d.ReservedPieces() == 0 }, waitLimit, pollInterval)
}

func TestEngineFaults(t *testing.T) {
	cases := []struct {
		kind   FaultKind
		status int
		whole  bool
		own    bool
	}{
		{Cut, http.StatusOK, false, false},
		{Crossed, http.StatusOK, true, false},
		{Late, http.StatusOK, true, true},
		{Refuse, http.StatusTooManyRequests, false, false},
		{ReadAndClose, 0, false, false},
	}
	for _, c := range cases {
		t.Run(string(c.kind), func(t *testing.T) {
			d := startEngine(t, EngineOptions{Name: "d"})
			status, _, err := ask(t.Context(), d.Address(), "/fault", "", `{"kind":"`+string(c.kind)+`","count":1,"delay":"1ms"}`)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status)
			body := `{"messages":[{"role":"user","content":"q"}],"stream":true,"max_tokens":4}`
			status, answer, _ := ask(t.Context(), d.Address(), chatPath, "r", body)
			require.Equal(t, c.status, status)
			text, whole := streamText(t, answer)
			require.Equal(t, c.whole, whole)
			require.Equal(t, c.own, text == AnswerText("q", 4))
			_, answer, err = ask(t.Context(), d.Address(), chatPath, "r2", body)
			require.NoError(t, err)
			text, _ = streamText(t, answer)
			require.Equal(t, AnswerText("q", 4), text)
			require.Equal(t, 1, d.Faults.Hits(c.kind))
		})
	}
}

func TestLoadReportAndOrders(t *testing.T) {
	d := startEngine(t, EngineOptions{Name: "d", ChecksFence: true, ReportLag: time.Nanosecond, Models: []string{"m"}})
	status, _, err := ask(t.Context(), d.Address(), "/orders", "", `{"fence":2,"kind":"loadAdapter","name":"x"}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	status, _, err = ask(t.Context(), d.Address(), "/orders", "", `{"fence":1,"kind":"loadAdapter","name":"y"}`)
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status)
	require.Len(t, d.Orders(), 1)
	a, err := http.Get("http://" + d.Address() + "/load")
	require.NoError(t, err)
	defer func() { require.NoError(t, a.Body.Close()) }()
	var l LoadReport
	require.NoError(t, json.NewDecoder(a.Body).Decode(&l))
	require.Equal(t, 400, l.PiecesFree)
	require.Equal(t, []string{"x"}, l.Adapters)
	require.EqualValues(t, 2, l.Fence)
}

func TestColdStartViolations(t *testing.T) {
	r := newRamp(true, 100, 3)
	require.True(t, r.enter(200))
	require.Zero(t, r.Violations(), "a single request never overloads the server")
	require.True(t, r.enter(1))
	require.Equal(t, 1, r.Violations())
	require.Equal(t, 10*time.Second, r.slowed(time.Second))
	r.leave(200, true)
	require.Equal(t, time.Second, r.slowed(time.Second))
	require.True(t, r.enter(299))
	require.Equal(t, 1, r.Violations())
	require.True(t, r.enter(1))
	require.Equal(t, 2, r.Violations())
	require.False(t, r.enter(1))
	r.leave(299, false)
	require.False(t, r.overloaded())
	require.True(t, r.enter(400))
	require.Equal(t, 3, r.Violations(), "an unfinished request does not raise the work limit")
}

func TestPrefixCache(t *testing.T) {
	c := newPrefixCache(2, 4)
	require.Zero(t, c.add("abcdefgh"))
	require.Equal(t, 8, c.add("abcdefghij"))
	c.add("zzzz")
	a := c.since(0)
	require.Equal(t, []string{"stored", "stored", "evicted", "stored"}, kinds(a.Events))
	require.False(t, a.Gap)
	require.Empty(t, c.since(a.Next).Events)
	c.clear()
	require.True(t, c.since(0).Gap)
}

func kinds(events []CacheEvent) []string {
	all := make([]string, 0, len(events))
	for _, e := range events {
		all = append(all, e.Kind)
	}
	return all
}

func TestRecordsSee(t *testing.T) {
	d := startEngine(t, EngineOptions{Name: "d"})
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Address()+chatPath+"?a=b", bytes.NewBufferString("{}"))
	require.NoError(t, err)
	q.Header.Set("X-Test", "the secret one")
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	require.True(t, d.ReceivedText("secret"))
	require.True(t, d.ReceivedText("a=b"))
	require.False(t, d.ReceivedText("key"))
}
