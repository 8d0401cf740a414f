package figowner

import (
	"context"

	"figtrail.dev/figtrail/internal/config/figtree"
	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Options holds the seams of an Owner. All fields are needed.
type Options struct {
	// Self is the name of this instance.
	Self string
	// Incarnation is when this process started, in nanoseconds since 1970. It
	// tells the incarnations of an instance apart and orders them.
	Incarnation uint64
	// Clock is the source of time.
	Clock figtimer.Clock
	// View returns the published list of instances.
	View func() *figview.View
	// Servers returns the published list of backend servers.
	Servers func() *figview.Servers
	// Pool returns a declared pool.
	Pool func(id string) (*figtree.Pool, bool)
	// DataCentreOut says whether operators keep new work away from a data centre.
	DataCentreOut func(name string) bool
	// Fresh says whether the view is known to be the latest.
	Fresh func() bool
	// Load polls a server.
	Load func(ctx context.Context, s figview.Server) (*Report, error)
	// Cancel tells a server to drop a request.
	Cancel func(ctx context.Context, s figview.Server, id string) error
	// Order gives a server an order.
	Order func(ctx context.Context, s figview.Server, o Order) error
}
