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
	// HeldRevision and HeldEpoch are the position that the sender holds; only a newer one is returned.
	HeldRevision uint64 `cbor:"1,keyasint"`
	HeldEpoch    uint64 `cbor:"2,keyasint,omitempty"`
}

// Snapshot is the active contents of an instance in wire form.
type Snapshot struct {
	// Revision is the source's revision of the contents; 0, with no other field set, if it is no newer than
	// requested.
	Revision           uint64                 `cbor:"1,keyasint"`
	Declarations       *figroute.Declarations `cbor:"2,keyasint,omitempty"`
	Servers            []SnapshotServer       `cbor:"3,keyasint,omitempty"`
	DrainedDataCentres []string               `cbor:"4,keyasint,omitempty"`
	// Epoch is the source's epoch of the contents.
	Epoch uint64 `cbor:"5,keyasint,omitempty"`
	// DeclarationsEpoch is the latest epoch in which the source had the declarations.
	DeclarationsEpoch uint64 `cbor:"6,keyasint,omitempty"`
	// Doubted holds for how long listed servers get no work, by name; see departedDoubt.
	Doubted map[string]time.Duration `cbor:"7,keyasint,omitempty"`
	// KeptLeaving names the leaving servers that the source, which was restored from an older copy, lists as live.
	KeptLeaving []string `cbor:"8,keyasint,omitempty"`
	// Departed holds the servers that were removed lately.
	Departed []Departure `cbor:"9,keyasint,omitempty"`
	// EpochAge is how long instances have had contents of this epoch.
	EpochAge time.Duration `cbor:"10,keyasint,omitempty"`
	// HeardAge is how long instances have heard nothing from the source.
	HeardAge time.Duration `cbor:"11,keyasint,omitempty"`
	// KeptDataCentres names the drained data centres that the source, which was restored from an older copy, lacks.
	KeptDataCentres []string `cbor:"12,keyasint,omitempty"`
}

// Departure is the removal of a server, in wire form.
type Departure struct {
	Name string `cbor:"1,keyasint"`
	// LatestMillis is the start of the latest process that was removed, AnnouncedMillis that of the latest one that was
	// leaving before, in Unix milliseconds.
	LatestMillis    int64 `cbor:"2,keyasint"`
	AnnouncedMillis int64 `cbor:"3,keyasint"`
	// Epoch is that of the removal.
	Epoch uint64 `cbor:"4,keyasint"`
	// Age is the time since the removal.
	Age time.Duration `cbor:"5,keyasint"`
}

// held returns the position that the sender holds.
func (q *SnapshotRequest) held() figview.Position {
	return figview.Position{Epoch: q.HeldEpoch, Revision: q.HeldRevision}
}

// position returns the source's position of the contents.
func (s *Snapshot) position() figview.Position {
	return figview.Position{Epoch: s.Epoch, Revision: s.Revision}
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
	if c.table == nil || !c.isNews(q.held()) {
		return &Snapshot{}, nil
	}
	return c.snapshot(now), nil
}

// isNews says whether this instance has a newer position than held. Instances that know of no epochs send none; their
// position counts as one of the current epoch. c.mu must be held.
func (c *Catalogue) isNews(held figview.Position) bool {
	if held.Epoch == 0 {
		held.Epoch = c.position.Epoch
	}
	return held.Before(c.position)
}

// snapshot returns the active contents without the servers that a restored source lacks. c.mu must be held.
func (c *Catalogue) snapshot(now time.Time) *Snapshot {
	s := &Snapshot{
		Epoch: c.position.Epoch, Revision: c.position.Revision, Declarations: &c.table.Declarations, DeclarationsEpoch: c.tableEpoch,
		Departed: c.kept.departures(now), EpochAge: now.Sub(c.epochBegan), HeardAge: now.Sub(c.heardAt),
	}
	for name, until := range c.kept.doubted {
		if s.Doubted == nil {
			s.Doubted = map[string]time.Duration{}
		}
		s.Doubted[name] = until.Sub(now)
	}
	for name, n := range c.servers {
		if _, kept := c.kept.servers[name]; !kept && n.RemovedAt.IsZero() {
			s.Servers = append(s.Servers, snapshotServer(&n, now))
			if c.kept.leaving[n.Lifetime()] || c.kept.hasLeft(&n) {
				s.KeptLeaving = append(s.KeptLeaving, name)
			}
		}
	}
	for name := range c.drained {
		if _, kept := c.kept.dataCentres[name]; kept {
			s.KeptDataCentres = append(s.KeptDataCentres, name)
		} else {
			s.DrainedDataCentres = append(s.DrainedDataCentres, name)
		}
	}
	return s
}

// contents converts a received snapshot.
func (s *Snapshot) contents(now time.Time) *Contents {
	n := &Contents{
		Declarations: s.Declarations, DrainedDataCentres: s.DrainedDataCentres, Position: s.position(),
		DeclarationsEpoch: s.DeclarationsEpoch, Doubted: s.Doubted, KeptLeaving: s.KeptLeaving, Departed: s.Departed, EpochAge: s.EpochAge, HeardAge: s.HeardAge,
		KeptDataCentres: s.KeptDataCentres,
	}
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
	held := c.Position()
	s, from, err := c.opts.QueryPeer(ctx, &SnapshotRequest{HeldEpoch: held.Epoch, HeldRevision: held.Revision})
	if err != nil {
		klog.V(1).InfoS("fetching contents from another instance failed", "err", err)
		return
	}
	if !held.Before(s.position()) {
		return
	}
	klog.InfoS("contents fetched from another instance", "instance", from, "epoch", s.Epoch, "revision", s.Revision,
		"epochBefore", held.Epoch, "before", held.Revision)
	c.Replace(s.contents(c.opts.Clock.Now()))
}
