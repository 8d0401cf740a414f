package figengine

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRewrite(t *testing.T) {
	decode := bodyRewrite{stream: true, maxTokens: 9, transfer: json.RawMessage(`{"a":1}`), resumeFrom: 3}
	const decoded = `"stream":true,"stream_options":{"include_usage":true},"max_tokens":9,"resume_from":3,"kv_transfer_params":{"a":1}}`
	tests := []struct {
		name string
		w    bodyRewrite
		body string
		want string
		err  error
	}{
		{"empty object", bodyRewrite{}, ` {} `, `{"stream":false}`, nil},
		{"keeps order and bytes", bodyRewrite{}, "{\"z\" : 1.50, \"a\":\t{\"stream\":true}}", `{"z":1.50,"a":{"stream":true},"stream":false}`, nil},
		{"keeps the caller's output limit", bodyRewrite{}, `{"max_tokens":5}`, `{"max_tokens":5,"stream":false}`, nil},
		{"decode", decode, `{"stream":false,"max_tokens":1,"max_completion_tokens":2,"x":"\u00e4"}`, `{"x":"\u00e4",` + decoded, nil},
		{"another's KV cache", decode, `{"kv_transfer_params":{"remote_block_ids":[7]},"resume_from":1}`, `{` + decoded, nil},
		{"escaped field name", decode, `{"kv_transfer_p\u0061rams":{"remote_block_ids":[7]}}`, `{` + decoded, nil},
		{"duplicate", bodyRewrite{}, `{"model":"a","model":"b"}`, "", errDuplicateField},
		{"duplicate, escaped", bodyRewrite{}, `{"n":1,"\u006e":2}`, "", errDuplicateField},
		{"duplicate router field", bodyRewrite{}, `{"stream":true,"stream":false}`, "", errDuplicateField},
		{"array", bodyRewrite{}, `[]`, "", errNotObject},
		{"truncated", bodyRewrite{}, `{"a":1`, "", errNotObject},
		{"two objects", bodyRewrite{}, `{}{}`, "", errNotObject},
		{"empty body", bodyRewrite{}, ``, "", errNotObject},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, err := tt.w.apply([]byte(tt.body))
			require.ErrorIs(t, err, tt.err)
			require.Equal(t, tt.want, string(got))
		})
	}
}

// FuzzRewrite checks that apply turns every accepted body into an object with the router's values of
// its fields and with all other fields unchanged, and never modifies its input.
func FuzzRewrite(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":true,"kv_transfer_p\u0061rams":{"a":[1]},"max_tokens":3}`))
	f.Add([]byte(`{"a":1,"a":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		w := bodyRewrite{stream: true, maxTokens: 7, transfer: json.RawMessage(`{"b":2}`)}
		given := string(body)
		out, err := w.apply(body)
		require.Equal(t, given, string(body), "the caller's body was changed")
		if err != nil {
			return
		}
		var before, after map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(body, &before))
		require.NoError(t, json.Unmarshal(out, &after))
		require.NotContains(t, after, "resume_from")
		require.Equal(t, "true", string(after["stream"]))
		require.Equal(t, "7", string(after["max_tokens"]))
		require.Equal(t, `{"b":2}`, string(after["kv_transfer_params"]))
		for name, value := range before {
			if !w.dropsField(name) {
				require.Equal(t, string(value), string(after[name]))
			}
		}
	})
}

func TestRewriteCopiesLargeBodyTwice(t *testing.T) {
	body := []byte(`{"model":"m","prompt":"` + strings.Repeat("word ", 200_000) + `","stream":true}`)
	w := bodyRewrite{stream: true, maxTokens: 100, transfer: json.RawMessage(`{"a":1}`)}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := w.apply(body); err != nil {
				b.Fatal(err)
			}
		}
	})
	// One copy for the parser and one for the result, plus rounding by the allocator.
	require.Less(t, result.AllocedBytesPerOp(), int64(len(body))*9/4)
}
