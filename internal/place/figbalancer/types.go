package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// ReportedLoadTTL is how long the load that a plain server reported counts: about the time
	// until the requests in that load have ended.
	ReportedLoadTTL = 400 * time.Millisecond
	// FailureHalfLife is the time in which a server's failure score decays by half. A
	// recovered server gets requests again within a few seconds.
	FailureHalfLife = 1500 * time.Millisecond
	// unreachableBackoff is how long a server ranks behind all reachable ones after a failed
	// connect. It doubles with each consecutive failed connect, up to maxUnreachableBackoff.
	unreachableBackoff    = 250 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	// replacedTime is how long a server gets nothing at whose address another one has answered. The list
	// drops it within that time.
	replacedTime = 10 * time.Second
	// maxDoublings bounds the shift of both backoffs; each reaches its maximum before.
	maxDoublings = 6
	// plainQueueFactor is the number of requests at a plain server, as a multiple of its slots, from which
	// it gets no more. A few requests queue there, so that a slot that becomes free is used at once.
	plainQueueFactor = 1.5
	// defaultSlots is the number of slots of a server that neither declares nor reports any.
	defaultSlots = 8
	// usableMemoryFraction is the fraction of a decode server's memory that is handed out to
	// prompts and generated tokens. The rest is for the growth of running requests: an engine
	// that runs out of memory preempts its newest request and recomputes the prompt.
	usableMemoryFraction = 0.95
	// prefillTokensPerSecond is the rate at which a prefill server computes prompts.
	// maxPrefillQueueTime bounds the work queued at one, so that a prompt doesn't wait there
	// for longer than its result would be kept.
	prefillTokensPerSecond = 55000
	maxPrefillQueueTime    = 500 * time.Millisecond
	// unattributedTTL is how long requests count that only a server reported:
	// about half the duration of a request.
	unattributedTTL = 1500 * time.Millisecond
	// unattributedRequestTokens is the memory assumed for one such request, in tokens: the
	// usual prompt length at the two sites.
	unattributedRequestTokens = 5300
	// refusalBackoff is how long an engine gets no requests after it refused one for lack of
	// capacity: about the time until one of its requests ends. It doubles with each
	// consecutive refusal, up to maxRefusalBackoff, because an engine that changes its role
	// refuses every request.
	refusalBackoff    = 250 * time.Millisecond
	maxRefusalBackoff = 2 * time.Second
	// coldIntervalFactor lengthens an instance's interval between sends to a server in a cold
	// start where the instances outnumber the server's rate, because instances don't
	// coordinate their send times.
	coldIntervalFactor = 1.25
	// failureWeight, coldStartWeight and otherDataCentreWeight are added to a server's load
	// fraction for a full failure score, a cold start and a location outside the preferred
	// data centre. A server is chosen in spite of one of these if its load fraction is lower
	// by more than the weight.
	failureWeight         = 2.0
	coldStartWeight       = 0.5
	otherDataCentreWeight = 0.08
	// unreachableWeight ranks a server behind all reachable ones.
	unreachableWeight = 100.0
	// randomWeight spreads choices among servers with about equal scores.
	randomWeight = 0.02
	// failureSmoothing is the weight of the newest result in the moving average of failures.
	failureSmoothing = 0.4
	// applicationErrorWeight is the weight of an application error, where a failed send has
	// weight 1: some requests fail on every server.
	applicationErrorWeight = 0.5
	// idleStateTTL is how long the state of a server without requests is kept after the last
	// send.
	idleStateTTL = time.Minute
)

// Query describes a request that needs a server.
type Query struct {
	View *figcatalogue.View
	// Pool is the pool's name.
	Pool string
	// Roles holds the acceptable roles.
	Roles []figview.Role
	// PreferredDataCentre is the data centre whose servers rank first, other things being
	// equal.
	PreferredDataCentre string
	// LimitPlain makes plain servers that hold plainQueueFactor times their slots lack capacity. It needs
	// the load of all instances.
	LimitPlain bool
	// Tokens is the engine memory that the request needs, in tokens; 0 for requests to plain
	// services.
	Tokens int64
	// Only returns false for servers that must not be picked; nil allows all.
	Only func(s *figcatalogue.Server) bool
	// ExcludedLifetimes holds the lifetimes of servers that already failed this request; Pick
	// skips them.
	ExcludedLifetimes []string
}

// Result describes how a send ended and the load that the server reported.
type Result struct {
	// Failed reports that the server failed the request.
	Failed bool
	// ApplicationError reports that the application answered with an error of its own.
	ApplicationError bool
	// Unreachable reports that no connection to the server could be opened.
	Unreachable bool
	// NoCapacity reports that the server refused the request for lack of capacity.
	NoCapacity bool
	// WrongServer reports that another server answers at the server's address.
	WrongServer bool
	// Running, Waiting and Slots are the load that the server reported with its answer. They
	// are set only if HasLoad is true.
	Running, Waiting, Slots int
	HasLoad                 bool
	// Answered reports that the server answered, so that it has no rate limit unless Limited is true.
	// RateLimit is the limit that it named, in requests a second of all instances.
	Answered, Limited bool
	RateLimit         float64
	// Leaving reports that the server said that it leaves.
	Leaving bool `cbor:"Leaving,omitempty"`
	// Pause is the time for which the server asked the instance for no more requests; 0 for none.
	Pause time.Duration `cbor:"Pause,omitempty"`
	// WorkPercent is how long work takes at the server now, with 100 as the usual; 0 if unknown.
	WorkPercent int `cbor:"WorkPercent,omitempty"`
	// Took is the duration of a call to a plain server or of a prefill, StepTime the mean time between two events of a
	// stream; 0 if unknown.
	Took     time.Duration `cbor:"Took,omitempty"`
	StepTime time.Duration `cbor:"StepTime,omitempty"`
}

// NoServerError is returned by Pick if no server can take the request now.
type NoServerError struct {
	// RetryAfter is the shortest time until a server skipped for its cold start, its rate limit or a pause may be
	// sent a request; 0 if none was skipped for that.
	RetryAfter time.Duration
	// NoCapacity reports that at least one server was skipped because it has no capacity for
	// the request.
	NoCapacity bool
	// Reason is the error text: why the last skipped server was skipped.
	Reason string
}

// shorten makes RetryAfter at most wait.
func (e *NoServerError) shorten(wait time.Duration) {
	if e.RetryAfter == 0 || wait < e.RetryAfter {
		e.RetryAfter = wait
	}
}

// Error returns the reason.
func (e *NoServerError) Error() string { return e.Reason }
