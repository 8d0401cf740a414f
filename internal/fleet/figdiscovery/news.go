package figdiscovery

import (
	"context"
	"maps"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// updateBatchDelay gathers changes that come together into one message. It is far below
// the time that a request holds engine memory, and above that of a round trip.
const updateBatchDelay = 8 * time.Millisecond

// maxUpdateTargets bounds the members that are told of a change at once; the others hear of
// it by beats. It is above the instances of the largest deployment in sight, because
// engines that are filled by instances that don't know of each other refuse.
const maxUpdateTargets = 80

// Changed notes what this instance now has in progress at a server, to be told to
// the others at once.
func (b *Beats) Changed(lifetime string, h figview.Held) {
	b.mu.Lock()
	b.pendingLoads[lifetime] = h
	b.mu.Unlock()
	select {
	case b.updatesPending <- struct{}{}:
	default:
	}
}

// RunNews tells the others of changes until ctx ends.
func (b *Beats) RunNews(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.updatesPending:
		}
		if t.Sleep(ctx, updateBatchDelay) != nil {
			return nil
		}
		n, to := b.takeUpdate()
		for _, m := range to {
			go b.sendUpdate(ctx, m, n)
		}
	}
}

// takeUpdate returns what has changed and the members to tell. A member that has not
// yet taken the last news is left out; its next beat has all.
func (b *Beats) takeUpdate() (*News, []figview.Member) {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &News{From: b.opts.Self.Name, Incarnation: b.opts.Self.Incarnation, Held: maps.Clone(b.pendingLoads)}
	clear(b.pendingLoads)
	var to []figview.Member
	for name, m := range b.members {
		if m.secondHand || now.Sub(m.lastHeard) > presenceTimeout || b.updateInFlight[name] || len(to) == maxUpdateTargets {
			continue
		}
		b.updateInFlight[name] = true
		to = append(to, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	return n, to
}

func (b *Beats) sendUpdate(ctx context.Context, m figview.Member, n *News) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if _, err := b.opts.Tell(ctx, m, n); err != nil {
		b.Lost.Add(1)
		b.markLost(m.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.updateInFlight, m.Name)
}

// AnswerNews takes the news of another instance.
func (b *Beats) AnswerNews(_ context.Context, n *News) (*Ack, error) {
	b.opts.HeardHeld(b.opts.Clock.Now(), n.From, n.Incarnation, n.Held, false)
	return &Ack{}, nil
}
