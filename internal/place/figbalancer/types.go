package figbalancer

import (
	"time"

	"figtrail.dev/figtrail/internal/config/figcatalogue"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

const (
	// ReportedLoadTTL is how long a reported load is believed: about the time in which
	// the requests that it counts have ended.
	ReportedLoadTTL = 400 * time.Millisecond
	// FailureHalfLife is the time in which a server's failures weigh half as much.
	// It brings a server that has recovered back within a few seconds.
	FailureHalfLife = 1500 * time.Millisecond
	// unreachableBackoff is how long a server that can't be connected to is left
	// alone at first; the time doubles up to maxUnreachableBackoff.
	unreachableBackoff    = 250 * time.Millisecond
	maxUnreachableBackoff = 2 * time.Second
	// maxDoublings bounds how often a pause doubles; the limits are reached before.
	maxDoublings = 6
	// defaultSlots is the number of slots of a server that doesn't say.
	defaultSlots = 8
	// usableMemoryFraction is the part of an engine's memory that is given out to prompts and
	// what has been generated. The rest is for growth: running requests grow while
	// others end, and an engine that runs out puts off the newest and computes its
	// prompt again.
	usableMemoryFraction = 0.95
	// prefillTokensPerSecond is the number of prompt tokens that an engine computes in a
	// second, and maxPrefillQueueTime the longest work that a prefill server is given, so
	// that a prompt doesn't wait there for longer than its result would be kept.
	prefillTokensPerSecond = 55000
	maxPrefillQueueTime    = 500 * time.Millisecond
	// unattributedTTL is how long requests that a server reports, and that no instance
	// has told of, are counted: about half of what a request takes.
	unattributedTTL = 1500 * time.Millisecond
	// unattributedRequestTokens is the memory that such a request is taken to have, in tokens:
	// the usual prompt of the two sites.
	unattributedRequestTokens = 5300
	// refusalBackoff is how long an engine that refused for want of room is left alone:
	// about the time in which one of its requests ends. It doubles with each further
	// refusal, up to maxRefusalBackoff: an engine that changes its role refuses all.
	refusalBackoff    = 250 * time.Millisecond
	maxRefusalBackoff = 2 * time.Second
	// peerLoadTTL is how long another instance's requests count after it was last
	// heard of. Servers drop the requests of an instance that has died.
	peerLoadTTL = 3 * time.Second
	// coldIntervalFactor lengthens the pause between an instance's sends to a server in a cold
	// start where there are more instances than its rate, because their moments aren't
	// agreed.
	coldIntervalFactor = 1.25
	// failureWeight, coldStartWeight and otherDataCentreWeight turn failures, a cold start and
	// another data centre into the load for which they would be accepted.
	failureWeight         = 2.0
	coldStartWeight       = 0.5
	otherDataCentreWeight = 0.08
	// unreachableWeight puts a server behind all others.
	unreachableWeight = 100.0
	// randomWeight spreads choices among servers that are about equal.
	randomWeight = 0.02
	// failureSmoothing is the weight of the newest result in the part of failed sends.
	failureSmoothing = 0.4
	// applicationErrorWeight is what an application's own error weighs against a failed send: some
	// requests fail on every server.
	applicationErrorWeight = 0.5
	// idleStateTTL drops what is known of servers without use for so long.
	idleStateTTL = time.Minute
)

// Query asks for a server.
type Query struct {
	View *figcatalogue.View
	// Pool is the pool's name.
	Pool string
	// Roles holds the roles that will do.
	Roles []figview.Role
	// Near is the data centre to prefer.
	Near string
	// Tokens is the engine memory that the request needs, in tokens; 0 for calls to
	// plain services.
	Tokens int64
	// Avoid holds lifetimes of servers that failed this request.
	Avoid []string
}

// Result is how a send ended.
type Result struct {
	// Failed says that the server failed it.
	Failed bool
	// Erred says that its application answered with an error of its own.
	Erred bool
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Full says that the server refused it for want of room.
	Full bool
	// Running, Waiting and Slots are the load that the answer reported, if Known.
	Running, Waiting, Slots int
	Known                   bool
}

// NoServer is the error of a pool without a server for the request.
type NoServer struct {
	// Wait is when to try again; 0 if it isn't known.
	Wait time.Duration
	// Full says that there are servers, all without room for the request.
	Full bool
	// Reason says why there is none.
	Reason string
}

// Error returns the reason.
func (e *NoServer) Error() string { return e.Reason }
