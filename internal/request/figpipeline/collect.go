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

const (
	// maxCollectedBytes bounds the events that make up one answer.
	maxCollectedBytes = 16 << 20
	// unheldCollectedBytes is the size of the events up to which no memory is reserved for the answer.
	unheldCollectedBytes = 16 << 10
	// collectedFactor is how much more memory the answer may take than its events.
	collectedFactor = 4
)

var errCollectedTooLarge = errors.New("the events of the answer exceed 16 MiB")

// collector builds the answer for a caller that wants no stream from the events of a stream.
type collector struct {
	// hold reserves memory for the answer.
	hold   func(bytes int64) error
	answer map[string]any
	// size is the size of the events, held the memory reserved for the answer, in bytes.
	size, held int64
}

// add merges one event into the answer. Data that isn't a JSON object is ignored. It fails if the answer becomes too large,
// or if there is no memory for it.
func (c *collector) add(data gjson.Result) error {
	if err := c.grow(int64(len(data.Raw))); err != nil {
		return err
	}
	event, ok := data.Value().(map[string]any)
	if !ok {
		return nil
	}
	if c.answer == nil {
		c.answer = map[string]any{}
	}
	merge(c.answer, event)
	return nil
}

// grow counts n bytes of events and reserves memory for them, in steps that double.
func (c *collector) grow(n int64) error {
	c.size += n
	if c.size > maxCollectedBytes {
		return errCollectedTooLarge
	}
	if c.size <= unheldCollectedBytes || collectedFactor*c.size <= c.held {
		return nil
	}
	more := 2*collectedFactor*c.size - c.held
	if err := c.hold(more); err != nil {
		return err
	}
	c.held += more
	return nil
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
