package figplace

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Options holds the dependencies of a Placer. All fields are required.
type Options struct {
	// Self is the name of this instance, DataCentre the name of its data centre.
	Self, DataCentre string
	// Clock provides the current time.
	Clock figtimer.Clock
	// Random returns a uniformly distributed random number. It is called with the Placer's mutex held.
	Random func() uint64
	// View returns the published list of instances, or nil if there is none yet.
	View func() *figview.View
	// Servers returns the published list of backend servers, or nil if there is none yet.
	Servers func() *figview.Servers
	// Tree returns the configuration in force, or nil if there is none yet.
	Tree func() *figtree.Tree
	// SendToOwner sends a message to an owner and returns its reply. It is also used when this instance is
	// the owner.
	SendToOwner func(ctx context.Context, m figview.Member, q *figowner.Request) (*figowner.Reply, error)
}

// Request describes the request to place.
type Request struct {
	// ID is the request's ID, as the servers report it.
	ID string
	// Pool is the ID of the pool.
	Pool string
	// Model and Adapter are the names that the caller used, or empty.
	Model, Adapter string
	// PromptTokens is the size of the prompt, OutputTokens the limit on the output.
	PromptTokens, OutputTokens int64
	// Prefix holds the hashes of the prompt's blocks, from PrefixHashes.
	Prefix []uint64
	// Arrived is when the caller's request arrived. Zero means now.
	Arrived time.Time
	// Deadline is when the caller stops waiting. Zero means that there is no deadline.
	Deadline time.Time
	// ExcludedServers holds the names of servers on which this request has failed. If it isn't empty, the
	// request counts as a retry and needs retry budget.
	ExcludedServers []string
}

// FailureKind is the kind of a failure.
type FailureKind = figowner.FailureKind
