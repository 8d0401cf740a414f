package figpipeline

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

func TestCollector(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []string
		want   string
	}{
		{
			"chat",
			[]string{
				`{"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"role":"assistant","content":"a"},"finish_reason":null}]}`,
				`{"id":"1","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}`,
				`{"id":"1","object":"chat.completion.chunk","choices":[],"usage":{"completion_tokens":2}}`,
			},
			`{"id":"1","object":"chat.completion","choices":[{"index":0,"finish_reason":"stop",
			  "message":{"role":"assistant","content":"ab"}}],"usage":{"completion_tokens":2}}`,
		},
		{
			"completion with the finish reason in a later event",
			[]string{
				`{"object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":null}]}`,
				`{"object":"text_completion","choices":[{"index":0,"text":"","finish_reason":"length"}]}`,
			},
			`{"object":"text_completion","choices":[{"index":0,"text":"a","finish_reason":"length"}]}`,
		},
		{
			"tool calls are merged by index",
			[]string{
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"id":"x","function":{"name":"hold","arguments":"{\"unit\""}}]}}]}`,
				`{"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":7}"}},{"index":1,"id":"y"}]}}]}`,
			},
			`{"choices":[{"index":0,"message":{"role":"assistant","tool_calls":[
			  {"index":0,"id":"x","function":{"name":"hold","arguments":"{\"unit\":7}"}},{"index":1,"id":"y"}]}}]}`,
		},
		{
			"log probabilities are appended",
			[]string{
				`{"choices":[{"index":0,"delta":{"content":"a"},"logprobs":{"content":[{"token":"a"}]}}]}`,
				`{"choices":[{"index":0,"delta":{"content":"b"},"logprobs":{"content":[{"token":"b"}]}}]}`,
			},
			`{"choices":[{"index":0,"logprobs":{"content":[{"token":"a"},{"token":"b"}]},
			  "message":{"role":"assistant","content":"ab"}}]}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			var k collector
			for _, e := range c.events {
				k.add(gjson.Parse(e))
			}
			body, err := k.body()
			require.NoError(t, err)
			require.JSONEq(t, c.want, string(body))
		})
	}
}

// A stream without choices must give an error, not an empty answer.
func TestCollectorWithoutChoices(t *testing.T) {
	var k collector
	k.add(gjson.Parse(`{"choices":[],"usage":{}}`))
	_, err := k.body()
	require.Error(t, err)
}
