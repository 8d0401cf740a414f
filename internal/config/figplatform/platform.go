// Package figplatform is the adapter to the platform's configuration service:
// the published values and the lists of instances and backend servers. It is
// read and watched only; nothing is written.
//
// A Platform is a plain struct with function fields. Another platform is met by
// filling them with other functions; HTTP fills them for the protocol of
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
// Each call is sent once, has a deadline and never retries by itself: the caller
// decides when the service is asked again.
package figplatform

import (
	"context"
	"time"

	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Value is one published document.
type Value struct {
	// Path is its path in the tree of declarations.
	Path string
	// Version is the revision at which it was written.
	Version uint64
	// Text is the YAML text; empty if deleted.
	Text string
	// Deleted values leave a version behind.
	Deleted bool
}

// Values is one answer about published values.
type Values struct {
	// Revision is the service's revision that Values leads up to.
	Revision uint64
	// More says that the service has more values after Revision.
	More bool
	// Values holds what has changed, oldest first.
	Values []Value
}

// Instance is one row of the list of instances.
type Instance struct {
	figview.Member
	// Gone rows leave the list.
	Gone bool
}

// Instances is one answer about the list of instances.
type Instances struct {
	// Revision is the service's revision of the list.
	Revision uint64
	// Rows holds the rows changed since the revision asked for; all rows after zero.
	Rows []Instance
}

// Server is one row of the list of backend servers.
type Server struct {
	figview.Server
	// Gone rows leave the list.
	Gone bool
}

// Servers is one answer about the list of backend servers.
type Servers struct {
	// Revision is the service's revision of the list.
	Revision uint64
	// Rows holds the rows changed since the revision asked for; all rows after zero.
	Rows []Server
}

// Platform reads the configuration service. Each function returns what has
// changed after a revision, and waits up to wait for a change if there is none.
type Platform struct {
	// Values reads the published values.
	Values func(ctx context.Context, after uint64, wait time.Duration) (*Values, error)
	// Instances reads the list of instances.
	Instances func(ctx context.Context, after uint64, wait time.Duration) (*Instances, error)
	// Servers reads the list of backend servers.
	Servers func(ctx context.Context, after uint64, wait time.Duration) (*Servers, error)
}
