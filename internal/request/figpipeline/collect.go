package figpipeline

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// concatenatedFields holds the names of string fields whose values are appended from event to event.
// Objects and lists are merged. In all other fields the latest value that isn't null replaces the
// earlier one.
var concatenatedFields = map[string]bool{
	"content":           true,
	"text":              true,
	"arguments":         true,
	"refusal":           true,
	"reasoning":         true,
	"reasoning_content": true,
}

// collector builds the answer for a caller that wants no stream from the events of a stream.
type collector struct {
	answer map[string]any
}

// add merges one event into the answer. Data that isn't a JSON object is ignored.
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

// body returns the answer as JSON, or an error if the stream had no choices.
func (c *collector) body() ([]byte, error) {
	choices, ok := c.answer["choices"].([]any)
	if !ok || len(choices) == 0 {
		return nil, errors.New("the engine's stream has no choices")
	}
	for _, v := range choices {
		finishChoice(v)
	}
	if kind, ok := c.answer["object"].(string); ok {
		c.answer["object"] = strings.TrimSuffix(kind, ".chunk")
	}
	return json.Marshal(c.answer)
}

// finishChoice replaces the delta of a chat choice by a message, with the role assistant if the engine
// sent none. Choices without a delta stay as they are.
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

// merge merges the fields of next into into.
func merge(into, next map[string]any) {
	for name, v := range next {
		into[name] = mergeValue(name, into[name], v)
	}
}

// mergeValue returns the value of the field name after next has been merged into old. A null next
// keeps old.
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

// mergeList merges each object of next into the object of old with the same index, and appends all
// others.
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

// findByIndex returns the object in list whose field index equals index, or nil.
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
