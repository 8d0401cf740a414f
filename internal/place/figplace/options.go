package figplace

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
	"figtrail.dev/figtrail/internal/place/figowner"
)

// Options holds the seams of a Placer. All fields are needed.
type Options struct {
	// Self is the name of this instance, DataCentre where it stands.
	Self, DataCentre string
	// Clock is the source of time.
	Clock figtimer.Clock
	// Random returns random bits.
	Random func() uint64
	// View returns the published list of instances.
	View func() *figview.View
	// Servers returns the published list of backend servers.
	Servers func() *figview.Servers
	// Tree returns the declarations in force.
	Tree func() *figtree.Tree
	// Ask sends a request to an owner. It is used for this instance too.
	Ask func(ctx context.Context, m figview.Member, q *figowner.Request) (*figowner.Reply, error)
}

// Request is what a placement is wanted for.
type Request struct {
	// ID is the request's ID, as the servers report it.
	ID string
	// Pool is the ID of the pool.
	Pool string
	// Model and Adapter are the names that the caller used, or empty.
	Model, Adapter string
	// PromptTokens and OutputTokens are the size of the prompt and the output limit.
	PromptTokens, OutputTokens int64
	// Prefix holds the hashes of the prompt's blocks, from PrefixHashes.
	Prefix []uint64
	// Arrived is when the caller's request arrived; zero means now.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero means never.
	Deadline time.Time
	// Avoid holds the names of servers that failed this request before. A
	// request that avoids some counts as a retry.
	Avoid []string
}

// Evidence says what a server did wrong.
type Evidence = figowner.Evidence
