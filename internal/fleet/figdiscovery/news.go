package figdiscovery

import (
	"context"
	"maps"
	"time"

	"figtrail.dev/figtrail/internal/core/figtimer"
	"figtrail.dev/figtrail/internal/fleet/figview"
)

// tellPause gathers changes that come together into one message. It is far below
// the time that a request holds engine memory, and above that of a round trip.
const tellPause = 8 * time.Millisecond

// newsTargets bounds the members that are told of a change at once; the others hear of
// it by beats. It is above the instances of the largest deployment in sight, because
// engines that are filled by instances that don't know of each other refuse.
const newsTargets = 80

// Changed notes what this instance now has in progress at a server, to be told to
// the others at once.
func (b *Beats) Changed(lifetime string, h figview.Held) {
	b.mu.Lock()
	b.news[lifetime] = h
	b.mu.Unlock()
	select {
	case b.told <- struct{}{}:
	default:
	}
}

// RunNews tells the others of changes until ctx ends.
func (b *Beats) RunNews(ctx context.Context, t *figtimer.Timer) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.told:
		}
		if t.Sleep(ctx, tellPause) != nil {
			return nil
		}
		n, to := b.takeNews()
		for _, m := range to {
			go b.tell(ctx, m, n)
		}
	}
}

// takeNews returns what has changed and the members to tell. A member that has not
// yet taken the last news is left out; its next beat has all.
func (b *Beats) takeNews() (*News, []figview.Member) {
	now := b.opts.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	n := &News{From: b.opts.Self.Name, Incarnation: b.opts.Self.Incarnation, Held: maps.Clone(b.news)}
	clear(b.news)
	var to []figview.Member
	for name, m := range b.members {
		if m.named || now.Sub(m.at) > silence || b.telling[name] || len(to) == newsTargets {
			continue
		}
		b.telling[name] = true
		to = append(to, figview.Member{Name: name, Address: m.Address, DataCentre: m.DataCentre})
	}
	return n, to
}

func (b *Beats) tell(ctx context.Context, m figview.Member, n *News) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	if _, err := b.opts.Tell(ctx, m, n); err != nil {
		b.Lost.Add(1)
		b.lose(m.Name, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.telling, m.Name)
}

// AnswerNews takes the news of another instance.
func (b *Beats) AnswerNews(_ context.Context, n *News) (*Ack, error) {
	b.opts.HeardHeld(b.opts.Clock.Now(), n.From, n.Incarnation, n.Held, false)
	return &Ack{}, nil
}
