package figlifecycle

import (
	"encoding/json"
	"strconv"
	"time"
)

// ErrorBody is the JSON body of every error that callers get.
type ErrorBody struct {
	// Error is the object that client libraries look for.
	Error ErrorObject `json:"error"`
}

// ErrorObject has the fields that client libraries of OpenAI know, and
// figtrail's own.
type ErrorObject struct {
	// Message is a sentence for people.
	Message string `json:"message"`
	// Type is the class of error that client libraries know.
	Type string `json:"type"`
	// Code equals Reason.
	Code string `json:"code"`
	// Param is always null.
	Param *string `json:"param"`
	// Outcome says what became of the request.
	Outcome string `json:"outcome"`
	// Reason says why.
	Reason string `json:"reason"`
	// RequestID names the request in logs.
	RequestID string `json:"requestId"`
	// Step is where it failed.
	Step string `json:"step"`
}

// Body returns the error body for a result.
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
	// The body is a plain struct of strings, whose encoding can't fail.
	b, _ := json.Marshal(r.Body())
	return b
}

// Status returns the HTTP status code for callers.
func (r *Result) Status() int { return r.Reason.Status() }

// Repeatable says that the caller can send the request again without the risk
// of running it twice.
func (r *Result) Repeatable() bool { return r.Outcome == NotRun || r.Idempotent }

// RetryAfterSeconds returns the value of the Retry-After header, rounded up to
// whole seconds, or "" if the result names no time.
func (r *Result) RetryAfterSeconds() string {
	if r.RetryAfter <= 0 {
		return ""
	}
	return strconv.FormatInt(int64((r.RetryAfter+time.Second-1)/time.Second), 10)
}
