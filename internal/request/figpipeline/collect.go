package figpipeline

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// concatenatedFields holds the fields whose strings continue from event to event; all other
// values replace the earlier ones.
var concatenatedFields = map[string]bool{
	"content":           true,
	"text":              true,
	"arguments":         true,
	"refusal":           true,
	"reasoning":         true,
	"reasoning_content": true,
}

// collector joins the events of a stream to the one answer that a caller without
// streaming expects.
type collector struct {
	answer map[string]any
}

// add joins one event.
func (c *collector) add(data gjson.Result) {
	event, ok := data.Value().(map[string]any)
	if !ok {
		return
	}
	if c.answer == nil {
		c.answer = map[string]any{}
	}
	merge(c.answer, event)
}

// body returns the joined answer. It returns an error if there were no choices.
func (c *collector) body() ([]byte, error) {
	choices, ok := c.answer["choices"].([]any)
	if !ok || len(choices) == 0 {
		return nil, errors.New("the engine's stream held no answer")
	}
	for _, v := range choices {
		finishChoice(v)
	}
	if kind, ok := c.answer["object"].(string); ok {
		c.answer["object"] = strings.TrimSuffix(kind, ".chunk")
	}
	return json.Marshal(c.answer)
}

// finishChoice turns the delta of a chat's choice into its message.
func finishChoice(v any) {
	choice, ok := v.(map[string]any)
	if !ok {
		return
	}
	delta, ok := choice["delta"].(map[string]any)
	if !ok {
		return
	}
	delete(choice, "delta")
	if _, ok := delta["role"]; !ok {
		delta["role"] = "assistant"
	}
	choice["message"] = delta
}

// merge joins the fields of next into into.
func merge(into, next map[string]any) {
	for name, v := range next {
		into[name] = mergeValue(name, into[name], v)
	}
}

func mergeValue(name string, old, next any) any {
	switch n := next.(type) {
	case nil:
		return old
	case string:
		if o, ok := old.(string); ok && concatenatedFields[name] {
			return o + n
		}
	case map[string]any:
		if o, ok := old.(map[string]any); ok {
			merge(o, n)
			return o
		}
	case []any:
		if o, ok := old.([]any); ok {
			return mergeList(o, n)
		}
	}
	return next
}

// mergeList joins elements that carry the same index, and appends all others.
func mergeList(old, next []any) []any {
	for _, v := range next {
		n, ok := v.(map[string]any)
		if !ok {
			old = append(old, v)
			continue
		}
		if o := findByIndex(old, n["index"]); o != nil {
			merge(o, n)
			continue
		}
		old = append(old, v)
	}
	return old
}

func findByIndex(list []any, index any) map[string]any {
	if index == nil {
		return nil
	}
	for _, v := range list {
		if m, ok := v.(map[string]any); ok && m["index"] == index {
			return m
		}
	}
	return nil
}
