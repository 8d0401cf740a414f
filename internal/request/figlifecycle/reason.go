package figlifecycle

import "net/http"

// statusCallerGone is the status logged if the caller closed the connection, as in nginx. It
// is never sent.
const statusCallerGone = 499

// Reason says why a request ended.
type Reason uint8

const (
	// Internal means that figtrail itself failed, for example by a panic.
	Internal Reason = iota
	// Done means that the whole answer was relayed.
	Done
	// OverBudget means that the account's rate limit doesn't allow the request now.
	OverBudget
	// OverBurst means that the request costs more than the account's burst, so that the rate
	// limit never allows it.
	OverBurst
	// BudgetUnavailable means that the account's budget can't be used now, because the
	// instances that hold it can't be reached or don't know whether they still hold it.
	BudgetUnavailable
	// QueueFull means that too many requests are waiting for room.
	QueueFull
	// Deadline means that the request's deadline passed.
	Deadline
	// NoServer means that no backend server can take the request.
	NoServer
	// Draining means that the instance is shutting down.
	Draining
	// BadRequest means that the request is invalid.
	BadRequest
	// Unauthorized means that the request carries no valid key.
	Unauthorized
	// Forbidden means that the key's account may not use the route.
	Forbidden
	// NotFound means that no route matches.
	NotFound
	// TooLarge means that the request or its answer exceeds a limit.
	TooLarge
	// ServerFailed means that a backend server failed or refused the request.
	ServerFailed
	// StreamCut means that a backend server's stream broke off before it was complete.
	StreamCut
	// KeyWithdrawn means that the key was revoked while the request was being served.
	KeyWithdrawn
	// Quarantined means that the prompt contains a part on which backend servers crash.
	Quarantined
	// SlowCaller means that the caller read the answer too slowly.
	SlowCaller
	// CallerGone means that the caller closed the connection.
	CallerGone
	// reasonCount is the number of reasons.
	reasonCount
)

// reasonInfo is a reason as callers get it: name, HTTP status, OpenAI error class and message.
type reasonInfo struct {
	name    string
	status  int
	class   string
	message string
}

const (
	classRequest = "invalid_request_error"
	classAuth    = "authentication_error"
	classRate    = "rate_limit_error"
	classServer  = "server_error"
)

var reasonTable = [reasonCount]reasonInfo{
	Internal:          {"internal", http.StatusInternalServerError, classServer, "The router failed."},
	Done:              {"done", http.StatusOK, "", "The request was answered."},
	OverBudget:        {"overBudget", http.StatusTooManyRequests, classRate, "The account's token rate is used up."},
	OverBurst:         {"overBurst", http.StatusRequestEntityTooLarge, classRequest, "The request needs more tokens than the account's burst."},
	BudgetUnavailable: {"budgetUnavailable", http.StatusServiceUnavailable, classServer, "The account's budget can't be reached."},
	QueueFull:         {"queueFull", http.StatusServiceUnavailable, classServer, "Too many requests are waiting."},
	Deadline:          {"deadline", http.StatusGatewayTimeout, classServer, "The request's time limit passed."},
	NoServer:          {"noServer", http.StatusServiceUnavailable, classServer, "No backend server can take the request."},
	Draining:          {"draining", http.StatusServiceUnavailable, classServer, "The instance is shutting down."},
	BadRequest:        {"badRequest", http.StatusBadRequest, classRequest, "The request is not valid."},
	Unauthorized:      {"unauthorized", http.StatusUnauthorized, classAuth, "The key is missing or not valid."},
	Forbidden:         {"forbidden", http.StatusForbidden, classAuth, "The key does not allow this request."},
	NotFound:          {"notFound", http.StatusNotFound, classRequest, "There is no such route."},
	TooLarge:          {"tooLarge", http.StatusRequestEntityTooLarge, classRequest, "The request or its answer is too large."},
	ServerFailed:      {"serverFailed", http.StatusBadGateway, classServer, "The backend server failed."},
	StreamCut:         {"streamCut", http.StatusBadGateway, classServer, "The backend server's answer was cut."},
	KeyWithdrawn:      {"keyWithdrawn", http.StatusUnauthorized, classAuth, "The key was withdrawn."},
	Quarantined:       {"quarantined", http.StatusServiceUnavailable, classServer, "Backend servers crash on a part of this prompt."},
	SlowCaller:        {"slowCaller", http.StatusRequestTimeout, classRequest, "The caller read the answer too slowly."},
	CallerGone:        {"callerGone", statusCallerGone, classRequest, "The caller closed the connection."},
}

// String returns the name used in answers, logs and metrics.
func (r Reason) String() string { return reasonTable[r].name }

// Status returns the HTTP status code for callers.
func (r Reason) Status() int { return reasonTable[r].status }

// Message returns the default sentence for the error body.
func (r Reason) Message() string { return reasonTable[r].message }

// Reasons returns all reasons, for example to initialize metrics.
func Reasons() []Reason {
	all := make([]Reason, 0, reasonCount)
	for r := range reasonCount {
		all = append(all, r)
	}
	return all
}
