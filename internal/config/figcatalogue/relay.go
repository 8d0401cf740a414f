package figcatalogue

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"figtrail.dev/figtrail/internal/config/figroute"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// Ask is one instance's question for what another has in force.
type Ask struct {
	// Above is the revision that the asker has; only what is newer is of use.
	Above uint64 `cbor:"1,keyasint"`
}

// Shared is what an instance has in force, on its way to another.
type Shared struct {
	// Revision is the source's when it was read; 0 if there is nothing newer.
	Revision     uint64                 `cbor:"1,keyasint"`
	Declarations *figroute.Declarations `cbor:"2,keyasint,omitempty"`
	Servers      []SnapshotServer       `cbor:"3,keyasint,omitempty"`
	Out          []string               `cbor:"4,keyasint,omitempty"`
}

// SharedServer is a server on its way to another instance. Times of day differ
// between machines, so that the cold start is told by what is left of it.
type SnapshotServer struct {
	figview.Server

	Slots              int           `cbor:"Slots"`
	ColdStartRemaining time.Duration `cbor:"ColdLeft"`
}

// Answer returns what is in force here if it is newer than what the asker has.
func (c *Catalogue) Answer(_ context.Context, q *Ask) (*Shared, error) {
	now := c.opts.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil || c.revision <= q.Above {
		return &Shared{}, nil
	}
	s := &Shared{Revision: c.revision, Declarations: &c.table.Declarations}
	for _, n := range c.servers {
		if n.GoneSince.IsZero() {
			s.Servers = append(s.Servers, SnapshotServer{Server: n.Server, Slots: n.Slots, ColdStartRemaining: max(0, n.ColdUntil.Sub(now))})
		}
	}
	for name := range c.out {
		s.Out = append(s.Out, name)
	}
	return s, nil
}

// contents turns what another instance has back into contents.
func (s *Shared) contents(now time.Time) *Contents {
	n := &Contents{Declarations: s.Declarations, Out: s.Out, Revision: s.Revision}
	for _, one := range s.Servers {
		server := Server{Server: one.Server, Slots: one.Slots}
		if one.ColdStartRemaining > 0 {
			server.ColdUntil = now.Add(one.ColdStartRemaining)
		}
		n.Servers = append(n.Servers, server)
	}
	return n
}

// askOthers takes what another instance has read since the source was lost.
func (c *Catalogue) fetchFromPeer(ctx context.Context) {
	c.mu.Lock()
	above := c.revision
	c.mu.Unlock()
	s, from, err := c.opts.Others(ctx, &Ask{Above: above})
	if err != nil {
		klog.V(1).InfoS("no other instance answered for the source", "err", err)
		return
	}
	if s.Revision <= above {
		return
	}
	klog.InfoS("taken from another instance", "instance", from, "revision", s.Revision, "before", above)
	c.Replace(s.contents(c.opts.Clock.Now()))
}
