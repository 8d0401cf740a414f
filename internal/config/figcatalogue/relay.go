package figcatalogue

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// SnapshotRequest asks another instance for its active contents.
type SnapshotRequest struct {
	// HeldRevision is the revision that the sender holds; only a newer one is returned.
	HeldRevision uint64 `cbor:"1,keyasint"`
}

// Snapshot is the active contents of an instance in wire form.
type Snapshot struct {
	// Revision is the source's revision of the contents; 0, with no other field set, if it is no newer than
	// requested.
	Revision           uint64                 `cbor:"1,keyasint"`
	Declarations       *figroute.Declarations `cbor:"2,keyasint,omitempty"`
	Servers            []SnapshotServer       `cbor:"3,keyasint,omitempty"`
	DrainedDataCentres []string               `cbor:"4,keyasint,omitempty"`
}

// SnapshotServer is the wire form of a server. Clocks differ between machines, so the remaining time of the cold
// start is sent instead of its end.
type SnapshotServer struct {
	figview.Server

	Slots              int           `cbor:"Slots"`
	ColdStartRemaining time.Duration `cbor:"ColdLeft"`
	// StartedMillis is the start time in Unix milliseconds, which identifies the run of the server. The
	// encoding of a time has whole seconds.
	StartedMillis int64 `cbor:"StartedMillis,omitempty"`
}

// snapshotServer returns the wire form of a server.
func snapshotServer(s *Server, now time.Time) SnapshotServer {
	return SnapshotServer{
		Server: s.Server, Slots: s.Slots, ColdStartRemaining: max(0, s.ColdStartEnd.Sub(now)), StartedMillis: s.StartedAt.UnixMilli(),
	}
}

// Answer returns the active contents if they are newer than those of the sender.
func (c *Catalogue) Answer(_ context.Context, q *SnapshotRequest) (*Snapshot, error) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil || c.revision <= q.HeldRevision {
		return &Snapshot{}, nil
	}
	return c.snapshot(now), nil
}

// snapshot returns the active contents. c.mu must be held.
func (c *Catalogue) snapshot(now time.Time) *Snapshot {
	s := &Snapshot{Revision: c.revision, Declarations: &c.table.Declarations}
	for _, n := range c.servers {
		if n.RemovedAt.IsZero() {
			s.Servers = append(s.Servers, snapshotServer(&n, now))
		}
	}
	for name := range c.drained {
		s.DrainedDataCentres = append(s.DrainedDataCentres, name)
	}
	return s
}

// contents converts a received snapshot.
func (s *Snapshot) contents(now time.Time) *Contents {
	n := &Contents{Declarations: s.Declarations, DrainedDataCentres: s.DrainedDataCentres, Position: figview.Position{Revision: s.Revision}}
	for i := range s.Servers {
		n.Servers = append(n.Servers, s.Servers[i].server(now))
	}
	return n
}

// server converts a received server.
func (r *SnapshotServer) server(now time.Time) Server {
	s := Server{Server: r.Server, Slots: r.Slots}
	if r.StartedMillis != 0 {
		s.StartedAt = time.UnixMilli(r.StartedMillis)
	}
	if r.ColdStartRemaining > 0 {
		s.ColdStartEnd = now.Add(r.ColdStartRemaining)
	}
	return s
}

// fetchFromPeer requests the contents of another instance, which may have read newer ones from the source, and
// applies them if they are newer.
func (c *Catalogue) fetchFromPeer(ctx context.Context) {
	c.mu.Lock()
	heldRevision := c.revision
	c.mu.Unlock()
	s, from, err := c.opts.QueryPeer(ctx, &SnapshotRequest{HeldRevision: heldRevision})
	if err != nil {
		klog.V(1).InfoS("fetching contents from another instance failed", "err", err)
		return
	}
	if s.Revision <= heldRevision {
		return
	}
	klog.InfoS("contents fetched from another instance", "instance", from, "revision", s.Revision, "before", heldRevision)
	c.Replace(s.contents(c.opts.Clock.Now()))
}
