package figowner

import (
	"context"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Options holds the dependencies of an Owner. All fields are required.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Incarnation is the start time of this process in nanoseconds since 1970. It distinguishes and orders
	// the processes that run under one instance name.
	Incarnation uint64
	// Clock is the source of time.
	Clock figtimer.Clock
	// View returns the published list of instances.
	View func() *figview.View
	// Servers returns the published list of backend servers.
	Servers func() *figview.Servers
	// Pool returns the configuration of a pool, and false if the pool is not declared.
	Pool func(id string) (*figtree.Pool, bool)
	// DataCentreDrained returns whether operators have stopped new work in a data centre.
	DataCentreDrained func(name string) bool
	// ViewFresh returns whether the view is known to be the latest published one.
	ViewFresh func() bool
	// Poll fetches a load report from a server.
	Poll func(ctx context.Context, s figview.Server) (*Report, error)
	// Cancel asks a server to cancel the request with the given ID.
	Cancel func(ctx context.Context, s figview.Server, id string) error
	// SendOrder sends an order to a server.
	SendOrder func(ctx context.Context, s figview.Server, o Order) error
}
