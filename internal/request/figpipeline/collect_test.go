package figpipeline

import (
	"errors"
	"fmt"
	"strings"
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
				require.NoError(t, k.add(gjson.Parse(e)))
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
	require.NoError(t, k.add(gjson.Parse(`{"choices":[],"usage":{}}`)))
	_, err := k.body()
	require.Error(t, err)
}

// Events without end must not make the answer larger than its limit, and memory must be reserved before it takes it.
func TestCollectorIsBounded(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	events := map[string]func(n int) string{
		"text":   func(int) string { return `{"choices":[{"index":0,"delta":{"content":"` + long + `"}}]}` },
		"list":   func(int) string { return `{"choices":[{"a":"` + long + `"},{"a":"` + long + `"}]}` },
		"fields": func(n int) string { return fmt.Sprintf(`{"a%d":1,"b%d":%q}`, n, n, long) },
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			held := int64(0)
			c := collector{hold: func(n int64) error {
				held += n
				return nil
			}}
			read := 0
			var err error
			for n := 0; err == nil; n++ {
				e := event(n)
				read += len(e)
				err = c.add(gjson.Parse(e))
				require.True(t, c.size <= unheldCollectedBytes || held >= collectedFactor*c.size || err != nil)
			}
			require.ErrorIs(t, err, errCollectedTooLarge)
			require.Less(t, read, maxCollectedBytes+256<<10)
			full := errors.New("full")
			c = collector{hold: func(int64) error { return full }}
			for err = nil; err == nil; {
				err = c.add(gjson.Parse(event(0)))
			}
			require.Equal(t, full, err)
			require.Less(t, c.size, int64(256<<10))
		})
	}
}
