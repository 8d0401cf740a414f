package figlifecycle

import (
	"encoding/json"
	"strconv"
	"time"
)

// ErrorBody is the JSON body of each error answer to a caller.
type ErrorBody struct {
	// Error is the object that OpenAI client libraries read.
	Error ErrorObject `json:"error"`
}

// ErrorObject has the error fields of the OpenAI API, followed by figtrail's own.
type ErrorObject struct {
	// Message is a sentence for human readers.
	Message string `json:"message"`
	// Type is the error class of the OpenAI API.
	Type string `json:"type"`
	// Code equals Reason.
	Code string `json:"code"`
	// Param is always null; the OpenAI API has the field.
	Param *string `json:"param"`
	// Outcome is the name of the request's Outcome.
	Outcome string `json:"outcome"`
	// Reason is the name of the Reason why the request ended.
	Reason string `json:"reason"`
	// RequestID is the request id, as in the logs.
	RequestID string `json:"requestId"`
	// Step is the step at which the request failed.
	Step string `json:"step"`
}

// Body returns the error body for the result. The message is Detail, or the reason's sentence
// if Detail is empty.
func (r *Result) Body() ErrorBody {
	message := r.Reason.Message()
	if r.Detail != "" {
		message = r.Detail
	}
	name := r.Reason.String()
	return ErrorBody{Error: ErrorObject{
		Message:   message,
		Type:      reasonTable[r.Reason].class,
		Code:      name,
		Outcome:   r.Outcome.String(),
		Reason:    name,
		RequestID: r.ID,
		Step:      r.Step(),
	}}
}

// JSON returns the encoded error body.
func (r *Result) JSON() []byte {
	// Encoding can't fail: the body holds only strings and a nil pointer.
	b, _ := json.Marshal(r.Body())
	return b
}

// Status returns the HTTP status code for the result's reason.
func (r *Result) Status() int { return r.Reason.Status() }

// Repeatable says that the caller can safely retry the request: it did not run, or it is
// idempotent.
func (r *Result) Repeatable() bool { return r.Outcome == NotRun || r.Idempotent }

// RetryAfterSeconds returns the value of the Retry-After header, rounded up to whole seconds,
// or "" if RetryAfter isn't set.
func (r *Result) RetryAfterSeconds() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10)
}
