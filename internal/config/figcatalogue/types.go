package figcatalogue

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// ErrHistoryLost is returned by Source.Watch when the source no longer has the changes after the requested
// revision, so that all contents have to be read again.
var ErrHistoryLost = errors.New("source no longer has the changes after the requested revision")

// Server is one backend server with its state in the list of servers.
type Server struct {
	figview.Server

	// Slots is how many requests the server runs concurrently; 0 if unknown.
	Slots int
	// ColdStartEnd is when the server's cold start ends; zero if it isn't in one.
	ColdStartEnd time.Time
	// RemovedAt is when the server was removed from the list; zero while it is listed.
	RemovedAt time.Time
}

// Lifetime identifies one run of the server's process, as a server keeps its name across restarts.
func (s *Server) Lifetime() string {
	return s.Name + "@" + strconv.FormatInt(s.StartedAt.UnixMilli(), 36)
}

// InColdStart says whether the server is in a cold start at now.
func (s *Server) InColdStart(now time.Time) bool { return now.Before(s.ColdStartEnd) }

// Contents is everything that a source holds at one position.
type Contents struct {
	// Declarations is nil if none are published.
	Declarations *figroute.Declarations
	Servers      []Server
	// DrainedDataCentres names the data centres that operators have taken out of service.
	DrainedDataCentres []string
	// DecodeErrors holds the errors of the entries that couldn't be decoded and were skipped.
	DecodeErrors []error
	// Position is where to watch from.
	figview.Position
	// DeclarationsEpoch is the latest epoch in which the source had the declarations; 0 if that of Position.
	DeclarationsEpoch uint64
	// Doubted holds for how long servers get no work though they are listed, by name.
	Doubted map[string]time.Duration
	// KeptLeaving names the leaving servers that the source itself lists as live, KeptDataCentres the drained data
	// centres that it lacks.
	KeptLeaving, KeptDataCentres []string
	// Departed holds the servers that another instance knows to have been removed.
	Departed []Departure
	// EpochAge is how long other instances have had contents of this epoch.
	EpochAge time.Duration
	// HeardAge is how long other instances have heard nothing from the source.
	HeardAge time.Duration
}

// Change is one change of a source. One of its fields is set, except that DecodeError may be set together with
// ServerRemoved.
type Change struct {
	Declarations *figroute.Declarations
	Server       *Server
	// ServerRemoved is the name of a server that was removed from the list.
	ServerRemoved string
	// DrainedDataCentre is a data centre that was taken out of service, RestoredDataCentre one that was put back
	// into service.
	DrainedDataCentre, RestoredDataCentre string
	// DecodeError says why an entry was skipped.
	DecodeError error
}

// Add adds a change that sets an entry. Removals are ignored.
func (n *Contents) Add(c Change) {
	switch {
	case c.Declarations != nil:
		n.Declarations = c.Declarations
	case c.Server != nil:
		n.Servers = append(n.Servers, *c.Server)
	case c.DrainedDataCentre != "":
		n.DrainedDataCentres = append(n.DrainedDataCentres, c.DrainedDataCentre)
	case c.DecodeError != nil:
		n.DecodeErrors = append(n.DecodeErrors, c.DecodeError)
	}
}

// Source reads what the platform publishes. Its functions keep no state between calls.
type Source struct {
	// Name identifies the source in logs.
	Name string
	// Read returns all contents.
	Read func(ctx context.Context) (*Contents, error)
	// Watch returns the changes after a revision, and the position for the next call, whose epoch is that of the
	// answer. It waits up to wait for the first change and returns no changes if none comes.
	Watch func(ctx context.Context, after figview.Position, wait time.Duration) ([]Change, figview.Position, error)
}

// View is a snapshot of the active declarations, servers and data centres. It is immutable.
type View struct {
	// Table is nil until declarations have been read.
	Table *figroute.Table
	// Servers holds the servers by pool, including those removed within RemovedServerGrace.
	Servers map[string][]Server
	// DrainedDataCentres holds the data centres that operators have taken out of service.
	DrainedDataCentres map[string]bool
	// UpdatedAt is when the catalogue last received contents or the result of a watch, from the source or another
	// instance.
	UpdatedAt time.Time
	// Position is the source's position of the contents.
	figview.Position
}

// Usable says whether s may be sent new work: it is live, listed, and its data centre isn't drained. For servers
// removed from the list see LastResort.
func (v *View) Usable(s *Server) bool {
	return s.State == figview.Live && s.RemovedAt.IsZero() && !v.DrainedDataCentres[s.DataCentre]
}

// LastResort says whether s, which is not usable, may be sent work at now if no usable server is left: it was live
// when it was removed from the list less than RemovedServerGrace ago, and its data centre isn't drained.
func (v *View) LastResort(s *Server, now time.Time) bool {
	return s.State == figview.Live && !s.RemovedAt.IsZero() && now.Sub(s.RemovedAt) < RemovedServerGrace && !v.DrainedDataCentres[s.DataCentre]
}

// Replaced says whether another process than s is listed at the address of s and started later.
func (v *View) Replaced(s *Server) bool {
	for _, all := range v.Servers {
		for i := range all {
			o := &all[i]
			if o.Address == s.Address && o.Lifetime() != s.Lifetime() && o.StartedAt.After(s.StartedAt) {
				return true
			}
		}
	}
	return false
}

// Find returns the server of a pool with this lifetime.
func (v *View) Find(pool, lifetime string) (*Server, bool) {
	for i := range v.Servers[pool] {
		if s := &v.Servers[pool][i]; s.Lifetime() == lifetime {
			return s, true
		}
	}
	return nil, false
}
