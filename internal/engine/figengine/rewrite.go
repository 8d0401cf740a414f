package figengine

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

var (
	errNotObject = errors.New("the body is not a JSON object")
	errDuplicateField = errors.New("the body has a field twice")
)

// routerFields holds the fields that figtrail sets itself. The caller's are dropped, so
// that no caller can name another's KV cache.
var routerFields = map[string]bool{
	"stream":             true,
	"stream_options":     true,
	"kv_transfer_params": true,
	"resume_from":        true,
}

// outputLimitFields holds the fields that bound the output.
var outputLimitFields = map[string]bool{
	"max_tokens":            true,
	"max_completion_tokens": true,
}

// bodyRewrite is what a call sets in the caller's body.
type bodyRewrite struct {
	stream     bool
	maxTokens  int
	transfer   json.RawMessage
	resumeFrom int
}

// apply returns a copy of body with the fields set. All other fields stay as
// they are, byte for byte and in their order. A field that stands twice is
// refused, because the engine might read the other one.
func (w *bodyRewrite) apply(body []byte) ([]byte, error) {
	if !gjson.ValidBytes(body) {
		return nil, errNotObject
	}
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return nil, errNotObject
	}
	out := make([]byte, 0, len(body)+len(w.transfer)+256)
	out = append(out, '{')
	seen := make(map[string]bool, 16)
	duplicate := false
	object.ForEach(func(key, value gjson.Result) bool {
		name := key.String()
		duplicate = seen[name]
		seen[name] = true
		if !w.dropsField(name) {
			out = append(out, key.Raw...)
			out = append(out, ':')
			out = append(out, value.Raw...)
			out = append(out, ',')
		}
		return !duplicate
	})
	if duplicate {
		return nil, errDuplicateField
	}
	return w.appendRouterFields(out), nil
}

func (w *bodyRewrite) dropsField(name string) bool {
	return routerFields[name] || (w.maxTokens > 0 && outputLimitFields[name])
}

// appendRouterFields appends figtrail's own fields and closes the object.
func (w *bodyRewrite) appendRouterFields(out []byte) []byte {
	out = append(out, `"stream":`...)
	out = strconv.AppendBool(out, w.stream)
	if w.stream {
		out = append(out, `,"stream_options":{"include_usage":true}`...)
	}
	if w.maxTokens > 0 {
		out = append(out, `,"max_tokens":`...)
		out = strconv.AppendInt(out, int64(w.maxTokens), 10)
	}
	if w.resumeFrom > 0 {
		out = append(out, `,"resume_from":`...)
		out = strconv.AppendInt(out, int64(w.resumeFrom), 10)
	}
	if len(w.transfer) > 0 {
		out = append(out, `,"kv_transfer_params":`...)
		out = append(out, w.transfer...)
	}
	return append(out, '}')
}
