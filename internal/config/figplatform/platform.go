// Package figplatform is the adapter to the platform's configuration service:
// the published values and the lists of instances and backend servers. It reads
// and long-polls the service and never writes.
//
// A Platform is a struct of functions. To support another platform, set them to
// other functions; HTTP sets them for the protocol of
// docs/operations/configuration.md.
//
// # Usage
//
//	p := figplatform.HTTP("10.0.0.5:8500")
//	values, err := p.Values(ctx, revision, 5*time.Second)
//	for err == nil && values.More {
//		values, err = p.Values(ctx, values.Revision, 0)
//	}
//
// Each call has a deadline and is sent once; retries are left to the caller.
package figplatform

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Value is one published document.
type Value struct {
	// Path is the document's path in the tree of declarations.
	Path string
	// Version is the service's revision at which the document was written.
	Version uint64
	// Text is the document in YAML; empty if Deleted.
	Text string
	// Deleted marks a deletion, which has a version too.
	Deleted bool
}

// Values is one page of published values.
type Values struct {
	// Revision is the revision up to which Values holds all changes.
	Revision uint64
	// More says that the service has more values after Revision.
	More bool
	// Values holds the changed values, oldest first.
	Values []Value
}

// Instance is one row of the list of instances.
type Instance struct {
	figview.Member
	// Gone says that the row was removed from the list.
	Gone bool
}

// Instances is one response with rows of the list of instances.
type Instances struct {
	// Revision is the service's revision of the list.
	Revision uint64
	// Rows holds the rows that changed after the requested revision, or all rows if that is 0.
	Rows []Instance
}

// Server is one row of the list of backend servers.
type Server struct {
	figview.Server
	// Gone says that the row was removed from the list.
	Gone bool
}

// Servers is one response with rows of the list of backend servers.
type Servers struct {
	// Revision is the service's revision of the list.
	Revision uint64
	// Rows holds the rows that changed after the requested revision, or all rows if that is 0.
	Rows []Server
}

// Platform reads the configuration service. Each function returns the changes after a revision; if there are none,
// it waits up to wait for one.
type Platform struct {
	// Values reads the published values.
	Values func(ctx context.Context, after uint64, wait time.Duration) (*Values, error)
	// Instances reads the list of instances.
	Instances func(ctx context.Context, after uint64, wait time.Duration) (*Instances, error)
	// Servers reads the list of backend servers.
	Servers func(ctx context.Context, after uint64, wait time.Duration) (*Servers, error)
}
