package figdiscovery

import (
	"context"
	"maps"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// updateBatchDelay batches changes that happen shortly after each other into one load update. It
// is far shorter than the time for which a request holds engine memory, and longer than a round
// trip.
const updateBatchDelay = 8 * time.Millisecond

// maxUpdateTargets is the maximum number of members that a load update goes to at once; heartbeats
// inform the other members. It must exceed the number of instances of a deployment, because
// engines refuse requests when several instances fill them without knowing of each other's
// requests.
const maxUpdateTargets = 80

// QueueLoadUpdate queues this instance's current load at a server for the next load update to the
// other members. It does not block on the network.
func (d *Discovery) QueueLoadUpdate(lifetime string, load figview.ServerLoad) {
	d.mu.Lock()
	d.pendingLoads[lifetime] = load
	d.mu.Unlock()
	select {
	case d.updatesPending <- struct{}{}:
	default:
	}
}

// RunUpdates sends queued load updates to the other members until ctx ends. It returns nil.
func (d *Discovery) RunUpdates(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.updatesPending:
		}
		if t.Sleep(ctx, updateBatchDelay) != nil {
			return nil
		}
		n, to := d.takeUpdate()
		for _, m := range to {
			go d.sendUpdate(ctx, m, n)
		}
	}
}

// takeUpdate returns the queued changes, which it clears, and the members to send them to. A
// member whose previous update is still in flight is left out; the next heartbeat brings it the
// complete load.
func (d *Discovery) takeUpdate() (*LoadUpdate, []figview.Member) {
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &LoadUpdate{From: d.opts.Self.Name, Incarnation: d.opts.Self.Incarnation, Load: maps.Clone(d.pendingLoads)}
	clear(d.pendingLoads)
	var to []figview.Member
	for name, m := range d.members {
		if m.secondHand || now.Sub(m.lastHeard) > presenceTimeout || d.updateInFlight[name] || len(to) == maxUpdateTargets {
			continue
		}
		d.updateInFlight[name] = true
		to = append(to, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	return n, to
}

func (d *Discovery) sendUpdate(ctx context.Context, m figview.Member, n *LoadUpdate) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if _, err := d.opts.SendUpdate(ctx, m, n); err != nil {
		d.FailedExchanges.Add(1)
		d.markLost(m.Name, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.updateInFlight, m.Name)
}

// HandleUpdate records the load update of another instance.
func (d *Discovery) HandleUpdate(_ context.Context, n *LoadUpdate) (*Ack, error) {
	d.opts.OnPeerLoad(d.opts.Clock.Now(), n.From, n.Incarnation, n.Load, false)
	return &Ack{}, nil
}
