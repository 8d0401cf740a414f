package figengine

import (
	"encoding/json"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

var (
	errNotObject      = errors.New("request body is not a JSON object")
	errDuplicateField = errors.New("request body has a duplicate field")
)

// routerFields holds the fields that only the router may set. They are removed from the caller's body,
// so that a caller can't refer to the KV cache of another caller.
var routerFields = map[string]bool{
	"stream":             true,
	"stream_options":     true,
	"kv_transfer_params": true,
	"resume_from":        true,
}

// outputLimitFields holds the fields that limit the length of the output.
var outputLimitFields = map[string]bool{
	"max_tokens":            true,
	"max_completion_tokens": true,
}

// bodyRewrite holds the values of the router's fields in the body of a call. Zero values of maxTokens,
// resumeFrom and transfer are not written; with a zero maxTokens the caller's limits stay.
type bodyRewrite struct {
	stream     bool
	maxTokens  int
	transfer   json.RawMessage
	resumeFrom int
}

// apply returns a copy of body with the router's fields set. All other fields keep their order, and
// their names and values byte for byte. A body with a duplicate field is an error, because the engine
// might use the value that the router did not check.
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

// dropsField says whether the caller's field of that name is removed.
func (w *bodyRewrite) dropsField(name string) bool {
	return routerFields[name] || (w.maxTokens > 0 && outputLimitFields[name])
}

// appendRouterFields appends the router's fields and closes the object.
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
